//! Confirms the revision in force before new requests, after a pause of this
//! process or a time without contact with the store and peers.

use std::rc::Rc;

use async_trait::async_trait;
use clock::Millis;
use futures_util::future::{Either, join_all, select};
use members::Members;
use query::{Gate, Kind, Refusal, Result};

use crate::sync::CatalogSync;

const CONFIRM_TIMEOUT: Millis = Millis(400);
const CHECK_INTERVAL: Millis = Millis(5);
const MAX_CONFIRM_PEERS: usize = 3;
const UNCONFIRMED_RETRY_AFTER: Millis = Millis(500);

/// Admits requests while the revision in force is confirmed.
pub(crate) struct ConfirmGate {
    pub(crate) sync: Rc<CatalogSync>,
    pub(crate) members: Rc<Members>,
}

#[async_trait(?Send)]
impl Gate for ConfirmGate {
    async fn check(&self) -> Result<()> {
        if self.sync.is_confirmed() {
            return Ok(());
        }
        let requests = std::pin::pin!(self.request_confirmation());
        let confirmation = std::pin::pin!(self.wait_for_confirmation());
        let is_confirmed = match select(requests, confirmation).await {
            Either::Left(((), confirmation)) => confirmation.await,
            Either::Right((is_confirmed, _)) => is_confirmed,
        };
        if is_confirmed {
            return Ok(());
        }
        let detail = "neither the store nor a peer confirmed the revision in force";
        Err(Refusal::not_run(
            Kind::Unready,
            detail,
            UNCONFIRMED_RETRY_AFTER,
        ))
    }
}

impl ConfirmGate {
    /// Sends heartbeats to some peers and reads the head from the store, both at
    /// the same time.
    async fn request_confirmation(&self) {
        let peers = self.members.reachable();
        let heartbeats = join_all(
            peers
                .iter()
                .take(MAX_CONFIRM_PEERS)
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
        futures_util::future::join(heartbeats, store).await;
    }

    async fn wait_for_confirmation(&self) -> bool {
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
