//! The times of a graceful shutdown, and the deadlines of requests meanwhile. They
//! answer callers that keep their connections, or that the load balancer still
//! sends, while the process has little time left. No I/O.

use clock::Millis;
use routes::Delivery;

/// Time until the load balancer sends no new connections: it needs two failed
/// readiness checks, one second apart, and some time to distribute the change.
const BALANCER_DELAY: Millis = Millis(2_500);
/// Part of the grace period that is reserved for the exit of the process.
const EXIT_RESERVE: Millis = Millis(400);
/// Part of the grace period that is reserved for requests that still run when
/// connections are closed.
const CLOSE_RESERVE: Millis = Millis(1_500);
/// Time reserved for writing the last answers and reading them on a slow link.
const ANSWER_RESERVE: Millis = Millis(300);
/// Requests time out this long before those that are left are refused, so that
/// their answers tell what is known of them.
const TIMEOUT_MARGIN: Millis = Millis(100);

/// The times of a graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownSchedule {
    /// Time until which the load balancer may send new connections.
    pub unlisted_at: Millis,
    /// Time at which connections are closed, those with a request in flight
    /// after its answer.
    pub close_at: Millis,
    /// Latest deadline of a request.
    pub request_deadline: Millis,
    /// Time at which the requests that are left are refused.
    pub answer_by: Millis,
    /// Time at which the process exits.
    pub exit_at: Millis,
}

impl ShutdownSchedule {
    /// Returns the schedule after a stop signal at `started` if the process is
    /// killed `grace_period` later.
    pub fn new(started: Millis, grace_period: Millis) -> Self {
        let exit_at = started + (grace_period - EXIT_RESERVE);
        let before_exit = |reserve: Millis| started.max(exit_at - reserve);
        Self {
            unlisted_at: started + BALANCER_DELAY,
            close_at: before_exit(CLOSE_RESERVE),
            request_deadline: before_exit(ANSWER_RESERVE + TIMEOUT_MARGIN),
            answer_by: before_exit(ANSWER_RESERVE),
            exit_at,
        }
    }

    /// Returns the deadline of a request that would else have to end by
    /// `deadline`; `None` if it is to be refused, because too little time is left, so that
    /// another daemon can serve it.
    ///
    /// A request needs the time that such requests usually take at most, its route's
    /// `objective`. One that must not be repeated needs all its time as soon as the load
    /// balancer sends nothing more: the outcome of one that is cut off is unknown for good,
    /// and its caller reaches another daemon at once.
    pub fn deadline(
        &self,
        now: Millis,
        delivery: Delivery,
        objective: Millis,
        deadline: Millis,
    ) -> Option<Millis> {
        let usual_end = deadline.min(now + objective);
        let ends_by = match delivery {
            Delivery::AtMostOnce if now >= self.unlisted_at => deadline,
            Delivery::AtMostOnce | Delivery::Idempotent => usual_end,
        };
        (ends_by <= self.request_deadline).then(|| deadline.min(self.request_deadline))
    }
}
