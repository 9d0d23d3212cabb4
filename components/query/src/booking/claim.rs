//! The claim of a booking's key.

use clock::Millis;
use ledger::{LedgerRequest, Verdict};
use schema::ClaimRequest;
use upstreams::Ran;
use uuid::Uuid;

use super::{Booking, LEDGER_RETRY_AFTER};
use crate::owner::peer_result;
use crate::refusal::{Kind, Refusal};
use crate::server::decode_verdict;

impl Booking<'_> {
    pub(super) fn claim_request(&self) -> LedgerRequest {
        LedgerRequest {
            service: self.request.service.clone(),
            key: self.request.key.clone(),
            nonce: Uuid::new_v4().simple().to_string(),
            claimer: self.root.members.me().id,
            retention: self.topology.service.retention_ms,
            deadline: self.deadline(),
            release: false,
        }
    }

    /// Claims a key through the daemon that writes its bucket, or directly if
    /// that daemon does not answer; with the same nonce, both make one claim.
    pub(super) async fn claim(&self, claim: LedgerRequest) -> Verdict {
        let root = self.root;
        let bucket = claim.key.bucket(&claim.service);
        let owners = root.owners(&bucket, "");
        let me = root.members.me().id;
        let Some(writer) = owners.first().filter(|m| m.id != me) else {
            return root.ledger.submit(claim).await;
        };
        let left = claim.deadline.since(Millis::now());
        let message = ClaimRequest {
            service: claim.service.clone(),
            key: claim.key.text.clone(),
            nonce: claim.nonce.clone(),
            claimer: me,
            budget_ms: left.0,
        };
        let mut client = root.members.client(writer.address);
        // Leaves half of the time for the direct claim.
        let timeout = Millis(left.0 / 2);
        match peer_result(compio::time::timeout(timeout.into(), client.claim(message)).await) {
            Ok(reply) => decode_verdict(reply),
            Err(_) => root.ledger.submit(claim).await,
        }
    }
}

/// Returns the refusal of a booking without a claim; `new_keys_in` is the time after
/// which new keys are accepted.
pub(super) fn claim_refusal(verdict: &Verdict, new_keys_in: Millis) -> Refusal {
    match verdict {
        Verdict::TooOld => Refusal::invalid(
            Kind::KeyOutsideWindow,
            "the Idempotency-Key is older than the retention time of keys",
        ),
        Verdict::ClaimLost => Refusal {
            kind: Kind::KeyClaimed,
            ran: Ran::Unknown,
            detail: "the store lost its latest claims, perhaps one of this key".to_owned(),
            retry_after: (new_keys_in > Millis::ZERO).then_some(new_keys_in),
        },
        Verdict::Future => Refusal::invalid(
            Kind::KeyOutsideWindow,
            "the Idempotency-Key contains a time in the future",
        ),
        Verdict::Full => Refusal::not_run(
            Kind::LedgerUnavailable,
            "the ledger bucket of the key is full for now",
            LEDGER_RETRY_AFTER,
        ),
        _ => Refusal::not_run(
            Kind::LedgerUnavailable,
            "the store did not confirm the claim in time",
            LEDGER_RETRY_AFTER,
        ),
    }
}
