//! The times of a shutdown.

use clock::Millis;

/// Time between the last deadline and the cut, in which requests that reached their
/// deadline end themselves.
const SETTLE_TIME: Millis = Millis(100);
/// Time for the answers of the requests that were cut.
const ANSWER_TIME: Millis = Millis(500);

/// When each step of a shutdown happens at the latest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Schedule {
    /// No new connections are accepted from now on.
    pub close_at: Millis,
    /// Requests that arrive during the shutdown have deadlines up to this time.
    pub finish_by: Millis,
    /// Requests still in flight are cut: they are answered as not finished.
    pub cut_at: Millis,
}

impl Schedule {
    /// Plans a shutdown that was requested at `stopped`: the daemon serves for
    /// `grace`, and then takes up to `drain` for requests in flight.
    pub fn new(stopped: Millis, grace: Millis, drain: Millis) -> Self {
        let close_at = stopped + grace;
        let finish_by = close_at + drain;
        Self {
            close_at,
            finish_by,
            cut_at: finish_by + SETTLE_TIME,
        }
    }

    /// Returns when the process exits at the latest, once no requests are in flight
    /// or the rest has been cut.
    pub fn exit_at(&self, cut: Millis) -> Millis {
        cut.min(self.cut_at) + ANSWER_TIME
    }
}
