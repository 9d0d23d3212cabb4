//! Confirms the revision in force before new work, after a pause of this
//! process or a time without contact.

use std::rc::Rc;

use async_trait::async_trait;
use clock::Millis;
use futures_util::future::{Either, join_all, select};
use members::Members;
use query::{Gate, Kind, Refusal, Result};

use crate::sync::Sync;

const CONFIRM_TIMEOUT: Millis = Millis(400);
const CHECK_INTERVAL: Millis = Millis(5);
const PEERS_ASKED: usize = 3;
const RETRY_AFTER: Millis = Millis(500);

/// Lets requests pass while the revision in force is confirmed.
pub(crate) struct ConfirmGate {
    pub(crate) sync: Rc<Sync>,
    pub(crate) members: Rc<Members>,
}

#[async_trait(?Send)]
impl Gate for ConfirmGate {
    async fn check(&self) -> Result<()> {
        if self.sync.is_confirmed() {
            return Ok(());
        }
        let asking = std::pin::pin!(self.ask());
        let waiting = std::pin::pin!(self.wait());
        let is_confirmed = match select(asking, waiting).await {
            Either::Left(((), waiting)) => waiting.await,
            Either::Right((is_confirmed, _)) => is_confirmed,
        };
        if is_confirmed {
            return Ok(());
        }
        let detail = "neither the store nor a peer confirmed the revision in force";
        Err(Refusal::not_run(Kind::Unready, detail, RETRY_AFTER))
    }
}

impl ConfirmGate {
    /// Asks some peers and the store at the same time.
    async fn ask(&self) {
        let peers = self.members.reachable();
        let asked = join_all(
            peers
                .iter()
                .take(PEERS_ASKED)
                .map(|p| self.members.exchange(p)),
        );
        let store = async {
            let sent = Millis::now();
            let Ok((_, head)) = self.sync.repository.read_head().await else {
                return;
            };
            if self.sync.install_head(head).await.is_ok() {
                self.members.confirmation.confirm(sent);
            }
        };
        futures_util::future::join(asked, store).await;
    }

    async fn wait(&self) -> bool {
        let end = Millis::now() + CONFIRM_TIMEOUT;
        while Millis::now() < end {
            if self.sync.is_confirmed() {
                return true;
            }
            compio::time::sleep(CHECK_INTERVAL.into()).await;
        }
        false
    }
}
