//! The platform's list of instances as a source of members.

use std::rc::Rc;

use clock::Millis;
use slog::{info, warn};
use store::{InstanceList, InstanceState};

use crate::member::{Member, State};
use crate::members::Members;

const LIST_INTERVAL: Millis = Millis(5_000);
/// Applies until the first other daemon is known.
const ALONE_LIST_INTERVAL: Millis = Millis(500);

impl Members {
    /// Reads the platform's list of instances at intervals, until the daemon
    /// stops.
    pub async fn follow_list(self: Rc<Self>, list: Rc<dyn InstanceList>) {
        let mut unreadable = Vec::new();
        loop {
            match list.list().await {
                Ok(listing) => {
                    self.seed(&listing.instances);
                    if listing.unreadable != unreadable {
                        self.log_unreadable(&listing.unreadable);
                        unreadable = listing.unreadable;
                    }
                }
                Err(e) => info!(self.log, "instance list not read"; "error" => %e),
            }
            let pause = if self.is_alone() {
                ALONE_LIST_INTERVAL
            } else {
                LIST_INTERVAL
            };
            compio::time::sleep(pause.into()).await;
        }
    }

    fn log_unreadable(&self, reasons: &[String]) {
        let first = reasons.first().map(String::as_str);
        warn!(self.log, "entries of the instance list ignored"; "count" => reasons.len(),
            "first" => first);
    }

    fn seed(&self, instances: &[store::Instance]) {
        let now = Millis::now();
        let live = instances.iter().filter(|i| i.state == InstanceState::Live);
        for instance in live {
            let member = Member {
                id: instance.id.clone(),
                address: instance.address,
                domain: instance.domain.clone(),
                incarnation: 0,
                // The list lags, so an instance stays suspect until it answers.
                state: State::Suspect,
                revision: 0,
            };
            self.table.borrow_mut().seed(member, now);
        }
    }
}
