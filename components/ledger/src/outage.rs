//! Outages of the store. From the first call that fails, claims are refused at once until
//! the store answers a probe, so that no caller waits for the time-out of a call again.

use std::future::pending;
use std::rc::Rc;

use clock::Millis;
use futures_util::stream::{FuturesUnordered, Stream, StreamExt};
use slog::{debug, info};

use crate::epoch::EPOCH_KEY;
use crate::queue::Ledger;

/// Time between the starts of probes. A probe may hang longer than the outage lasts, so
/// the next one does not wait for it.
const PROBE_INTERVAL: Millis = Millis(500);

impl Ledger {
    /// Refuses claims from now on until the store answers a probe.
    pub(crate) fn record_outage(self: &Rc<Self>) {
        if self.is_out.replace(true) {
            return;
        }
        info!(self.log, "store does not answer, claims are refused");
        compio::runtime::spawn(self.clone().end_outage()).detach();
    }

    /// Sends probes until one is answered.
    async fn end_outage(self: Rc<Self>) {
        let mut probes = FuturesUnordered::new();
        loop {
            let answered = wait_for_answer(&mut probes);
            match compio::time::timeout(PROBE_INTERVAL.into(), answered).await {
                Ok(()) => break,
                Err(_) => probes.push(self.probe()),
            }
        }
        self.is_out.set(false);
        info!(self.log, "store answers again, claims are made");
    }

    /// Returns whether the store answers a call.
    async fn probe(&self) -> bool {
        match self.store.get(EPOCH_KEY).await {
            Ok(_) => true,
            Err(e) => {
                debug!(self.log, "probe of the store failed"; "error" => %e);
                false
            }
        }
    }
}

/// Completes with the first probe that is answered.
async fn wait_for_answer(probes: &mut (impl Stream<Item = bool> + Unpin)) {
    while let Some(is_answered) = probes.next().await {
        if is_answered {
            return;
        }
    }
    pending().await
}
