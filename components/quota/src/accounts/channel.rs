//! The messages of a daemon to one allocator.

use clock::Millis;

use crate::message::Request;

/// An allocator that has not answered a message within this time is slow.
const SLOW_TIME: Millis = Millis(10);

/// The messages to one allocator.
#[derive(Default)]
pub(super) struct Channel {
    /// The message without an answer, and when it was sent.
    pub(super) sent: Option<(Millis, Vec<Request>)>,
    /// Whether the last message was not answered.
    pub(super) is_silent: bool,
    /// Whether a request has waited in vain for the answer to a message.
    pub(super) is_slow: bool,
    /// Before this time nothing is sent.
    pub(super) ask_at: Millis,
}

impl Channel {
    /// Whether the allocator should have answered by now.
    pub(super) fn is_overdue(&self, now: Millis) -> bool {
        let sent = self.sent.as_ref();
        self.is_silent || sent.is_some_and(|(at, _)| now.since(*at) >= SLOW_TIME)
    }
}
