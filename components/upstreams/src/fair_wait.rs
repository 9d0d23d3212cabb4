//! How long a new request of a workspace is expected to wait for a slot. No I/O.

use clock::Millis;

/// Factor of the wait at the rate of a flow's last grants. The rate varies, and a request
/// that waits in vain only delays others.
const PACE_MARGIN: f64 = 1.2;

/// What a new request has to wait for in the queue.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Outlook {
    /// Waiting requests that go before it.
    pub ahead: usize,
    /// The wait at the rate of its flow's last grants, if the flow waits already. It
    /// includes those that arrive later and go before it.
    pub paced: Option<Millis>,
}

/// The slots that the requests of a queue wait for.
#[derive(Clone, Copy, Debug)]
pub struct SlotSupply {
    /// Requests that may run at a time.
    pub slots: usize,
    /// Requests that run.
    pub busy: usize,
    /// Mean time that a request holds a slot, in milliseconds.
    pub mean_ms: f64,
}

impl Outlook {
    /// Returns the wait of the request after `before` others of a flow whose grants are
    /// `gap_ms` apart.
    pub(crate) fn pace(gap_ms: f64, before: usize) -> Millis {
        Millis((gap_ms * PACE_MARGIN * (before + 1) as f64) as u64)
    }
}

impl SlotSupply {
    /// Returns the expected wait; zero if there are no slots to wait for.
    pub fn wait(&self, outlook: &Outlook) -> Millis {
        let excess = (self.busy + outlook.ahead + 1).saturating_sub(self.slots);
        if self.slots == 0 || excess == 0 {
            return Millis::ZERO;
        }
        let wait_ms = excess as f64 / self.slots as f64 * self.mean_ms;
        Millis(wait_ms.ceil() as u64).max(outlook.paced.unwrap_or_default())
    }

    /// Whether a request that waits this long ends too late. One that need not wait is
    /// sent in any case: if upstreams became slow, only new answers show that they have
    /// recovered.
    pub fn is_late(&self, wait: Millis, time_left: Millis) -> bool {
        wait > Millis::ZERO && (wait.0 as f64 + self.mean_ms) > time_left.0 as f64
    }
}
