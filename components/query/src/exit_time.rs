//! Bounds requests by the time at which this process ends, so that a shutdown cuts
//! none that it has admitted.

use std::cell::Cell;

use clock::Millis;

use crate::refusal::{Kind, Refusal, Result};

const LEAVING_RETRY_AFTER: Millis = Millis(500);

/// The time by which this process must have finished its requests; unknown until
/// it begins to shut down.
#[derive(Default)]
pub struct ExitTime(Cell<Option<Millis>>);

impl ExitTime {
    /// Sets the time.
    pub fn set(&self, at: Millis) {
        self.0.set(Some(at));
    }

    /// Returns the earlier of a deadline and this time.
    pub fn bound(&self, deadline: Millis) -> Millis {
        self.0.get().map_or(deadline, |at| at.min(deadline))
    }

    /// Returns the deadline of a request that arrived at `started`, within the time
    /// that this process has left.
    ///
    /// A request is expected to need the service's declared deadline, or the
    /// caller's timeout if that is shorter. A longer timeout is cut to the time left.
    ///
    /// # Errors
    ///
    /// Refuses the request as not run if less time is left than it may need.
    pub fn deadline(
        &self,
        started: Millis,
        timeout: Option<Millis>,
        declared: Millis,
    ) -> Result<Millis> {
        let deadline = started + timeout.unwrap_or(declared);
        let need = timeout.unwrap_or(declared).min(declared);
        match self.0.get() {
            Some(at) if at.since(started) < need => Err(too_late(at.since(started), need)),
            _ => Ok(self.bound(deadline)),
        }
    }
}

fn too_late(left: Millis, need: Millis) -> Refusal {
    let detail =
        format!("this daemon is shutting down: {left} are left and the request may need {need}");
    Refusal::not_run(Kind::Unready, detail, LEAVING_RETRY_AFTER)
}
