//! The expected wait of a new request of a workspace at a pool, and the log line of one
//! that the queue did not serve.

use clock::Millis;

use crate::call::Call;
use crate::fair_wait::SlotSupply;
use crate::placement::AcquireError;
use crate::pool::Pool;

/// The expected wait of a new request at a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExpectedWait {
    /// Time until it gets a slot.
    pub wait: Millis,
    /// Whether it would end after its deadline.
    pub is_late: bool,
}

impl Pool {
    /// Returns how long a new request of a workspace would wait for a slot here.
    pub fn fair_wait(&self, call: &Call, now: Millis) -> ExpectedWait {
        let upstreams = self.entries().into_iter();
        let available = upstreams.filter(|(key, _)| self.is_available(*key));
        let mut supply = SlotSupply {
            slots: 0,
            busy: 0,
            mean_ms: self.latency.borrow().mean_ms(),
        };
        for (_, upstream) in available {
            supply.slots += upstream.limit();
            supply.busy += upstream.busy();
        }
        let wait = supply.wait(&self.queue.outlook(call));
        ExpectedWait {
            wait,
            is_late: supply.is_late(wait, call.deadline.since(now)),
        }
    }

    /// Logs why the queue did not serve a request of a workspace.
    pub(crate) fn log_unqueued(&self, call: &Call, error: AcquireError) {
        let reason = match error {
            AcquireError::QueueFull => "queue full",
            AcquireError::Displaced => "displaced",
            AcquireError::Timeout => "too late",
            AcquireError::NoReplica | AcquireError::RateLimited => return,
        };
        let Some(workspace) = &call.workspace else {
            return;
        };
        self.shared.log_limiter.write(|| {
            slog::info!(self.shared.log, "request not queued to its turn";
                "request_id" => call.message.id(), "service" => &self.name, "reason" => reason,
                "workspace" => &**workspace, "rank" => call.priority, "queued" => self.queue.len(),
                "queue_limit" => self.queue_limit.get(),
                "left_ms" => call.deadline.since(Millis::now()).0);
        });
    }
}
