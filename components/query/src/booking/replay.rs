//! The answer to a booking whose key was claimed before.

use clock::Millis;
use schema::OutcomeRequest;
use upstreams::Ran;

use super::{Booking, LEDGER_RETRY_AFTER, booking_answer};
use crate::answer::BookingAnswer;
use crate::outcomes::BookingState;
use crate::owner::peer_result;
use crate::refusal::{Kind, Refusal, Result};

const RUNNING_RETRY_AFTER: Millis = Millis(100);
const OUTCOME_TIMEOUT: Millis = Millis(500);

impl Booking<'_> {
    /// Answers a booking whose key was claimed before from the outcome that the
    /// claimer has stored.
    pub(super) async fn replay(&self, claimer: &str) -> Result<BookingAnswer> {
        match self.find_outcome(claimer).await {
            Some(BookingState::Done(reply)) => {
                booking_answer(self.request, &self.shard, reply, true)
            }
            Some(BookingState::Running) => {
                Err(key_claimed("the booking is running", RUNNING_RETRY_AFTER))
            }
            None => Err(key_claimed(
                "the key was claimed before and the outcome is not known",
                LEDGER_RETRY_AFTER,
            )),
        }
    }

    async fn find_outcome(&self, claimer: &str) -> Option<BookingState> {
        let (service, key) = (&self.request.service, &self.request.key.text);
        let members = &self.root.members;
        if claimer == members.me().id {
            return self.root.outcomes.find(service, key);
        }
        let member = members.find(claimer)?;
        let mut client = members.client(member.address);
        let message = OutcomeRequest {
            service: service.clone(),
            key: key.clone(),
        };
        let call = compio::time::timeout(OUTCOME_TIMEOUT.into(), client.outcome(message));
        let reply = peer_result(call.await).ok()?;
        match reply.reply {
            _ if !reply.known => None,
            _ if reply.running => Some(BookingState::Running),
            reply => reply.map(BookingState::Done),
        }
    }
}

fn key_claimed(detail: &str, retry_after: Millis) -> Refusal {
    let retry_after = Some(retry_after);
    Refusal {
        kind: Kind::KeyClaimed,
        ran: Ran::Unknown,
        detail: detail.to_owned(),
        retry_after,
    }
}
