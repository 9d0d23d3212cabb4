//! Bookings: claims the key in the ledger, then dispatches the booking once.

use std::rc::Rc;

use bytes::Bytes;
use catalog::Topology;
use clock::Millis;
use ledger::{Key, LedgerRequest, Verdict};
use schema::{DispatchReply, DispatchRequest};
use telemetry::names;
use upstreams::{Failure, Ran, Reason};
use uuid::Uuid;
use xxhash_rust::xxh3::xxh3_64;

use crate::answer::BookingAnswer;
use crate::merge::decode_result;
use crate::owner::PeerError;
use crate::refusal::{Kind, Refusal, Result};
use crate::root::{Root, fingerprint};

use claim::claim_refusal;

mod claim;
mod replay;

const LEDGER_RETRY_AFTER: Millis = Millis(1_000);
// An owner must answer this much earlier than the root.
const HOP_MARGIN: Millis = Millis(3);
// A dispatch starts only if more time than this is left.
const MIN_DISPATCH_TIME: Millis = Millis(5);

/// A caller's booking.
#[derive(Clone, Debug)]
pub struct BookRequest {
    /// The caller's identifier of the request.
    pub request_id: String,
    /// Name of the service.
    pub service: String,
    /// The idempotency key.
    pub key: Key,
    /// Time limit for the answer; the service's deadline if absent.
    pub timeout: Option<Millis>,
    /// The shard to book on; chosen by a hash of the key if absent.
    pub shard: Option<String>,
    /// The body that is sent to the upstream.
    pub body: Bytes,
}

impl Root {
    /// Runs a booking at most once and returns its answer.
    ///
    /// The future must be polled to completion: the caller may disconnect,
    /// but the booking must not be abandoned halfway.
    ///
    /// # Errors
    ///
    /// The refusal states whether the booking ran.
    pub async fn book(&self, request: &BookRequest) -> Result<BookingAnswer> {
        let result = self.run_booking(request, Millis::now()).await;
        match &result {
            Err(refusal) if refusal.kind != Kind::UnknownService => {
                let (service, reason) = (request.service.clone(), refusal.kind.name());
                metrics::counter!(names::REFUSALS_TOTAL, "service" => service, "reason" => reason)
                    .increment(1);
            }
            _ => {}
        }
        result
    }

    async fn run_booking(&self, request: &BookRequest, started: Millis) -> Result<BookingAnswer> {
        let (_, topology) = self.find_service(&request.service).await?;
        let service = &topology.service;
        if !service.bookings {
            let detail = format!("service `{}` takes no bookings", request.service);
            return Err(Refusal::invalid(Kind::BookingsOff, detail));
        }
        let shard = choose_shard(&topology, request)?;
        let deadline = self
            .exit
            .deadline(started, request.timeout, service.deadline_ms)?;
        let _in_flight = self.admit(&topology)?;
        let fingerprint = fingerprint(&request.service, &request.body);
        self.check_quarantine(fingerprint)?;
        let booking = Booking {
            root: self,
            request,
            topology: &topology,
            shard,
            fingerprint,
            requested_deadline: deadline,
        };
        booking.run().await
    }
}

/// An admitted booking.
struct Booking<'a> {
    root: &'a Root,
    request: &'a BookRequest,
    topology: &'a Rc<Topology>,
    shard: String,
    fingerprint: u64,
    requested_deadline: Millis,
}

impl Booking<'_> {
    async fn run(&self) -> Result<BookingAnswer> {
        let claim = self.claim_request();
        match self.claim(claim.clone()).await {
            Verdict::Claimed => {
                let reply = self.dispatch_claimed(claim).await;
                booking_answer(self.request, &self.shard, reply, false)
            }
            Verdict::Duplicate { claimer } => self.replay(&claimer).await,
            other => {
                // The claim may still be made until its own deadline.
                let left = claim.deadline.since(Millis::now());
                self.root.ledger.release_later(claim, left);
                Err(claim_refusal(&other, self.root.ledger.new_keys_in()))
            }
        }
    }

    /// Returns the deadline within the time that this process has left, which is
    /// known only once it shuts down.
    fn deadline(&self) -> Millis {
        self.root.exit.bound(self.requested_deadline)
    }

    /// Dispatches a booking whose key this attempt has claimed.
    async fn dispatch_claimed(&self, claim: LedgerRequest) -> DispatchReply {
        let outcomes = &self.root.outcomes;
        let (service, key) = (&self.request.service, &self.request.key.text);
        outcomes.begin(service, key, Millis::now());
        let has_time = Millis::now() + MIN_DISPATCH_TIME < self.deadline();
        let reply = match has_time {
            true => self.dispatch().await,
            false => not_run_reply(Reason::Timeout),
        };
        outcomes.end(service, key, &reply, Millis::now());
        if Ran::from(reply.ran) == Ran::No {
            self.root.ledger.release_later(claim, Millis::ZERO);
        }
        reply
    }

    /// Sends a booking to the owner of its shard, and to the next owner only if
    /// it is known not to have reached the one before.
    async fn dispatch(&self) -> DispatchReply {
        let topology = self.topology;
        let group = topology
            .find_shard(&self.shard)
            .map_or(0, |s| topology.group_of[s]);
        let owners = self
            .root
            .owners(&topology.group_key(group), topology.group_domain(group));
        for member in owners.iter() {
            let time_left = self.deadline().since(Millis::now() + HOP_MARGIN);
            if time_left == Millis::ZERO {
                break;
            }
            let message = self.dispatch_request(time_left);
            match self
                .root
                .owner(member)
                .dispatch(message, time_left + HOP_MARGIN)
                .await
            {
                Ok(reply) => return reply,
                Err(PeerError::Unsent) => {}
                Err(PeerError::Lost) => {
                    let ran = Ran::Unknown.into();
                    return DispatchReply {
                        ran,
                        ..not_run_reply(Reason::OwnerUnreachable)
                    };
                }
            }
        }
        not_run_reply(Reason::OwnerUnreachable)
    }

    fn dispatch_request(&self, time_left: Millis) -> DispatchRequest {
        DispatchRequest {
            request_id: Uuid::new_v4().simple().to_string(),
            service: self.request.service.clone(),
            revision: self.topology.revision,
            partitioning: self.topology.service.partitioning.clone(),
            shard: self.shard.clone(),
            key: self.request.key.text.clone(),
            budget_ms: time_left.0,
            body: self.request.body.to_vec(),
            fingerprint: self.fingerprint,
        }
    }
}

fn choose_shard(topology: &Topology, request: &BookRequest) -> Result<String> {
    let shards = &topology.service.shards;
    match &request.shard {
        Some(name) if topology.find_shard(name).is_some() => Ok(name.clone()),
        Some(name) => {
            let detail = format!("service `{}` has no shard `{name}`", request.service);
            Err(Refusal::invalid(Kind::BadRequest, detail))
        }
        None => {
            let index = xxh3_64(request.key.text.as_bytes()) as usize % shards.len();
            Ok(shards[index].name.clone())
        }
    }
}

fn not_run_reply(reason: Reason) -> DispatchReply {
    DispatchReply {
        ran: Ran::No.into(),
        reason: reason.name().to_owned(),
        ..DispatchReply::default()
    }
}

fn booking_answer(
    request: &BookRequest,
    shard: &str,
    reply: DispatchReply,
    replayed: bool,
) -> Result<BookingAnswer> {
    let ran = Ran::from(reply.ran);
    let body = Bytes::from(reply.body);
    match decode_result(&body).filter(|_| reply.done) {
        Some(result) => Ok(BookingAnswer {
            request_id: request.request_id.clone(),
            service: request.service.clone(),
            shard: shard.to_owned(),
            key: request.key.text.clone(),
            replayed,
            result,
        }),
        None => {
            let reason = Reason::find(&reply.reason).unwrap_or(Reason::UpstreamError);
            let failure = Failure {
                ran,
                retry_after: Millis(reply.retry_after_ms),
                ..Failure::not_run(reason)
            };
            let fallback = match ran {
                Ran::No => Kind::NotRun,
                Ran::Yes => Kind::Rejected,
                Ran::Unknown => Kind::OutcomeUnknown,
            };
            Err(Refusal::from_failure(&failure, fallback))
        }
    }
}
