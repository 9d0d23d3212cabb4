//! Handles the calls that daemons send to each other for searches and
//! bookings.

use std::rc::Rc;

use catalog::{Objective, Topology};
use clock::Millis;
use ledger::{Key, Ledger, LedgerRequest, Verdict};
use schema::claim_reply::Verdict as Code;
use schema::{
    ClaimReply, ClaimRequest, DispatchReply, DispatchRequest, OutcomeReply, OutcomeRequest, Part,
    ScatterReply, ScatterRequest, SurveyReply, SurveyRequest,
};
use upstreams::{
    Answer, Call, DataVersion, Failure, NativeMessage, Pools, Ran, Reason, RetryPolicy, Service,
};

use crate::exit_time::ExitTime;
use crate::outcomes::{BookingState, Outcomes};

const LATENCY_ATTEMPTS: usize = 3;
const COVERAGE_ATTEMPTS: usize = 6;

/// Handles the surveys, sub-requests and claims of peers, and those of this
/// daemon's own root.
pub struct Server {
    /// The upstreams.
    pub pools: Rc<Pools>,
    /// The ledger.
    pub ledger: Rc<Ledger>,
    /// Stored outcomes of bookings.
    pub outcomes: Rc<Outcomes>,
    /// When this process ends, if it shuts down.
    pub exit: Rc<ExitTime>,
}

impl Server {
    /// Returns the snapshots that the upstreams of some shards hold.
    pub fn survey(&self, request: &SurveyRequest) -> SurveyReply {
        let Some(pool) = self.pools.find(&request.service) else {
            return SurveyReply::default();
        };
        let topology = pool.topology();
        let shards: Vec<usize> = request
            .shards
            .iter()
            .filter_map(|s| topology.find_shard(s))
            .collect();
        SurveyReply {
            revision: topology.revision,
            holdings: holdings(&pool, &topology, &shards),
        }
    }

    /// Runs the sub-requests of a search.
    pub async fn scatter(&self, request: ScatterRequest) -> ScatterReply {
        let Some(pool) = self.pools.find(&request.service) else {
            return refused_reply(&Failure::not_run(Reason::PartitioningUnknown));
        };
        let Some(topology) = pool.find_topology(&request.partitioning) else {
            return refused_reply(&Failure::not_run(Reason::PartitioningUnknown));
        };
        let shards: Option<Vec<usize>> = request
            .shards
            .iter()
            .map(|s| topology.find_shard(s))
            .collect();
        let Some(shards) = shards else {
            return refused_reply(&Failure::not_run(Reason::PartitioningUnknown));
        };
        let message = NativeMessage {
            request_id: request.request_id,
            partitioning: request.partitioning,
            snapshot: request.snapshot,
            key: None,
            body: request.body.into(),
        };
        let version = DataVersion {
            partitioning: message.partitioning.clone(),
            snapshot: message.snapshot,
        };
        let call = Call {
            version: Some(version),
            fingerprint: request.fingerprint,
            ..self.call(message.clone(), request.budget_ms, &topology)
        };
        let outcome = pool.search(&topology, &call, &shards).await;
        let wait_ms = pool.shard_wait(&topology, &shards).0;
        let results = match outcome {
            Ok(results) => results,
            Err(failure) => {
                return ScatterReply {
                    wait_ms,
                    ..refused_reply(&failure)
                };
            }
        };
        let parts = shards
            .iter()
            .zip(results)
            .map(|(&s, r)| part(&message, &topology.service.shards[s].name, r));
        ScatterReply {
            parts: parts.collect(),
            holdings: holdings(&pool, &topology, &shards),
            wait_ms,
            revision: topology.revision,
            ..ScatterReply::default()
        }
    }

    /// Returns the call of a message that is to be answered within `budget_ms`.
    fn call(&self, message: NativeMessage, budget_ms: u64, topology: &Topology) -> Call {
        let deadline = self.exit.bound(Millis::now() + Millis(budget_ms));
        Call {
            message: Rc::new(message),
            version: None,
            fingerprint: 0,
            priority: 0,
            deadline,
            rate_by: deadline,
            draw: rand::random(),
            caller_left: Rc::default(),
            permission: Rc::new(upstreams::Permanent),
            workspace: None,
            may_have_run: Rc::default(),
            attempts: Rc::default(),
            policy: retry_policy(topology),
        }
    }

    /// Runs a booking.
    pub async fn dispatch(&self, request: DispatchRequest) -> DispatchReply {
        let found = self.pools.find(&request.service).and_then(|pool| {
            let topology = pool.find_topology(&request.partitioning)?;
            let shard = topology.find_shard(&request.shard)?;
            Some((pool, topology, shard))
        });
        let Some((pool, topology, shard)) = found else {
            return dispatch_reply(Err(Failure::not_run(Reason::PartitioningUnknown)));
        };
        let message = NativeMessage {
            request_id: request.request_id,
            partitioning: request.partitioning,
            snapshot: 0,
            key: Some(request.key),
            body: request.body.into(),
        };
        let call = Call {
            fingerprint: request.fingerprint,
            ..self.call(message, request.budget_ms, &topology)
        };
        dispatch_reply(pool.book(&topology, &call, shard).await)
    }

    /// Claims an idempotency key.
    pub async fn claim(&self, request: ClaimRequest) -> ClaimReply {
        let Ok(key) = Key::parse(&request.key) else {
            return claim_reply(Verdict::Unavailable);
        };
        let Some(pool) = self.pools.find(&request.service) else {
            return claim_reply(Verdict::Unavailable);
        };
        let retention = pool.topology().service.retention_ms;
        let request = LedgerRequest {
            service: request.service,
            key,
            nonce: request.nonce,
            claimer: request.claimer,
            retention,
            deadline: self.exit.bound(Millis::now() + Millis(request.budget_ms)),
            release: false,
        };
        claim_reply(self.ledger.submit(request).await)
    }

    /// Returns the stored outcome of a booking.
    pub fn outcome(&self, request: &OutcomeRequest) -> OutcomeReply {
        match self.outcomes.find(&request.service, &request.key) {
            None => OutcomeReply::default(),
            Some(BookingState::Running) => OutcomeReply {
                known: true,
                running: true,
                reply: None,
            },
            Some(BookingState::Done(reply)) => OutcomeReply {
                known: true,
                running: false,
                reply: Some(reply),
            },
        }
    }
}

/// Returns the limits on attempts, hedges and retries of a service's requests.
fn retry_policy(topology: &Topology) -> RetryPolicy {
    let service = &topology.service;
    let prefers_coverage = service.objective == Objective::Coverage;
    RetryPolicy {
        attempts: match prefers_coverage {
            false => LATENCY_ATTEMPTS,
            true => COVERAGE_ATTEMPTS,
        },
        hedge_percent: service.hedge_percent,
        retry_percent: service.retry_percent,
        awaits_replicas: prefers_coverage,
        hedge_within: None,
    }
}

fn holdings(pool: &Service, topology: &Topology, shards: &[usize]) -> Vec<schema::Holding> {
    let held = pool.holdings(topology, shards).into_iter();
    let message = |h: upstreams::Holding| schema::Holding {
        partitioning: h.partitioning,
        snapshot: h.snapshot,
        shards: h.shards,
    };
    held.map(message).collect()
}

fn refused_reply(failure: &Failure) -> ScatterReply {
    ScatterReply {
        refused: true,
        reason: failure.reason.name().to_owned(),
        retry_after_ms: failure.retry_after.0,
        ..ScatterReply::default()
    }
}

fn part(message: &NativeMessage, shard: &str, result: upstreams::Result<Answer>) -> Part {
    let part = Part {
        request_id: message.request_id.clone(),
        shard: shard.to_owned(),
        snapshot: message.snapshot,
        partitioning: message.partitioning.clone(),
        ..Part::default()
    };
    match result {
        Ok(answer) => Part {
            covered: true,
            ran: Ran::Yes.into(),
            rows: answer.into_body().into(),
            ..part
        },
        Err(f) => Part {
            reason: f.reason.name().to_owned(),
            ran: f.ran.into(),
            retry_after_ms: f.retry_after.0,
            ..part
        },
    }
}

fn dispatch_reply(result: upstreams::Result<Answer>) -> DispatchReply {
    match result {
        Ok(answer) => DispatchReply {
            ran: Ran::Yes.into(),
            done: true,
            body: answer.into_body().into(),
            ..DispatchReply::default()
        },
        Err(f) => DispatchReply {
            ran: f.ran.into(),
            reason: f.reason.name().to_owned(),
            retry_after_ms: f.retry_after.0,
            ..DispatchReply::default()
        },
    }
}

fn claim_reply(verdict: Verdict) -> ClaimReply {
    let code = match &verdict {
        Verdict::Claimed => Code::Claimed,
        Verdict::Duplicate { .. } => Code::Duplicate,
        Verdict::TooOld => Code::TooOld,
        Verdict::ClaimLost => Code::ClaimLost,
        Verdict::Future => Code::Future,
        Verdict::Full => Code::Full,
        // A claim never returns `Released`.
        Verdict::Released | Verdict::Unavailable => Code::Unavailable,
    };
    let claimer = match verdict {
        Verdict::Duplicate { claimer } => claimer,
        _ => String::new(),
    };
    ClaimReply {
        verdict: code.into(),
        claimer,
    }
}

/// Decodes the verdict of a peer's reply.
pub(crate) fn decode_verdict(reply: ClaimReply) -> Verdict {
    match reply.verdict() {
        Code::Claimed => Verdict::Claimed,
        Code::Duplicate => Verdict::Duplicate {
            claimer: reply.claimer,
        },
        Code::TooOld => Verdict::TooOld,
        Code::ClaimLost => Verdict::ClaimLost,
        Code::Future => Verdict::Future,
        Code::Full => Verdict::Full,
        Code::Unavailable => Verdict::Unavailable,
    }
}
