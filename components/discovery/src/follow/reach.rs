//! Whether all peers can be reached while the store does not answer.

use std::collections::VecDeque;

use clock::Millis;

/// Last polls of peers that count, and for how long.
const POLLS: usize = 8;
const MAX_AGE: Millis = Millis(8_000);
/// Polls that are needed to tell.
const MIN_POLLS: usize = 6;
/// One peer may have ended. A daemon that is cut off with a third of all would get so few
/// failures in one of 400 cases.
const MAX_FAILURES: usize = 1;

/// The outcomes of the last polls, each of a peer chosen by chance.
#[derive(Debug, Default)]
pub struct Reach {
    polls: VecDeque<(Millis, bool)>,
}

impl Reach {
    /// Records a poll.
    pub fn record(&mut self, is_reached: bool, now: Millis) {
        self.polls.push_back((now, is_reached));
        while self.polls.len() > POLLS {
            self.polls.pop_front();
        }
    }

    /// Whether nearly all polls reached a peer lately.
    pub fn is_whole(&self, now: Millis) -> bool {
        let recent = self.polls.iter();
        let recent = recent.filter(|(at, _)| now.since(*at) < MAX_AGE);
        let failures = recent.clone().filter(|(_, is_reached)| !is_reached).count();
        recent.count() >= MIN_POLLS && failures <= MAX_FAILURES
    }
}
