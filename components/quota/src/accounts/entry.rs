//! One workspace with its allocator, and the answers of that.

use std::rc::Rc;

use clock::Millis;

use super::{Decision, Failure, SILENCE_PAUSE};
use crate::account::{Account, Admitted};
use crate::message::{Answer, Request};

/// A daemon that is not the allocator by its own list is asked again after this time, in
/// which it may have got the newer list.
const LIST_PAUSE: Millis = Millis(250);

/// One workspace with a quota.
#[derive(Default)]
pub(super) struct Entry {
    pub(super) account: Account,
    pub(super) allocator: Option<Rc<str>>,
    /// Whether the allocator says that it is none.
    pub(super) is_disowned: bool,
}

impl Entry {
    /// Decides about a request without the allocator.
    pub(super) fn use_share(&mut self, failure: Failure, now: Millis) -> Decision {
        if self.account.take_share(now) {
            return Decision::Admitted(Admitted::Share);
        }
        let wait = self.account.share_wait(now).unwrap_or(SILENCE_PAUSE);
        Decision::Refused(failure, wait)
    }

    /// Takes the part of an answer for this workspace, or that there was none.
    pub(super) fn finish(
        &mut self,
        request: &Request,
        answer: Option<&Answer>,
        sent: Millis,
        now: Millis,
    ) {
        let Some(answer) = answer else {
            self.account.record_loss();
            return;
        };
        let mut grants = answer.grants.iter();
        let grant = grants.find(|g| g.workspace == request.workspace);
        self.is_disowned = grant.is_none();
        match grant {
            Some(grant) => self.account.apply(grant, request, sent, now),
            None => self.account.postpone(now + LIST_PAUSE),
        }
    }
}
