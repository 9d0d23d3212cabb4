//! When a search over many shards is answered: with all parts, with enough of
//! them, or not at all. No I/O.

use clock::Millis;

/// Two round trips to a caller, one for a new connection and one for the
/// request: the objective is counted from the caller's first attempt.
const WAY_TO_CALLER: Millis = Millis(12);
/// Share of the objective for merging, on a busy machine.
const MERGING_SHARE: f64 = 0.03;

/// How long after its arrival a search is answered with what is there, so
/// that its caller has the answer within the objective.
pub fn partial_answer_after(objective: Millis) -> Millis {
    let merging = Millis((objective.0 as f64 * MERGING_SHARE) as u64);
    objective.since(WAY_TO_CALLER + merging)
}

/// The parts of a search so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Progress {
    /// Shards that are asked.
    pub total: usize,
    /// Shards that must be covered.
    pub required: usize,
    /// Shards whose part is there.
    pub covered: usize,
    /// Shards whose part will not come.
    pub failed: usize,
    /// Whether a full answer would now be too late to be worth more than a
    /// partial one.
    pub is_overdue: bool,
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Wait for more parts.
    Wait,
    /// Answer with the parts that are there.
    Answer,
    /// Give up: the needed coverage can't be reached any more.
    GiveUp,
}

impl Progress {
    /// Decides with the parts that are there: all of them are waited for
    /// until the search is overdue, the needed ones for as long as they can
    /// come.
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
