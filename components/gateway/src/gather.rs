//! Decides when a search over many shards is answered: with the parts of all
//! shards, with those of enough shards, or not at all. No I/O.

use clock::Millis;

/// Time reserved for the round trips of the connection and of the request, for a
/// caller 3 ms away (one way): callers often open a new connection for a request,
/// and their objective counts from the moment at which they start to connect.
const CALLER_ROUND_TRIPS: Millis = Millis(12);
/// Share of the objective that is reserved for merging on a busy machine.
const MERGE_SHARE: f64 = 0.03;

/// Returns the time after the arrival of a search at which it is answered with
/// the parts received so far, so that the answer reaches the caller within the
/// objective.
pub fn partial_answer_after(objective: Millis) -> Millis {
    let merge_time = Millis((objective.0 as f64 * MERGE_SHARE) as u64);
    objective.since(CALLER_ROUND_TRIPS + merge_time)
}

/// Progress of a search over many shards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Progress {
    /// Shards that the search is sent to.
    pub total: usize,
    /// Minimum number of shards that the answer must cover.
    pub required: usize,
    /// Shards whose part has arrived.
    pub covered: usize,
    /// Shards that failed.
    pub failed: usize,
    /// Whether it is too late for a full answer to be worth more than a partial
    /// one.
    pub is_overdue: bool,
}

/// The next step of a search.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Wait for more parts.
    Wait,
    /// Answer with the parts received so far.
    Answer,
    /// Give up: the required coverage can no longer be reached.
    GiveUp,
}

impl Progress {
    /// Returns the next step: waits for all parts until the search is overdue,
    /// then only for the required coverage, and gives up once that can no longer
    /// be reached.
    pub fn next_step(&self) -> Step {
        let is_settled = self.covered + self.failed >= self.total;
        let is_enough = self.covered >= self.required;
        match () {
            () if self.total - self.failed < self.required => Step::GiveUp,
            () if is_enough && (is_settled || self.is_overdue) => Step::Answer,
            () => Step::Wait,
        }
    }
}
