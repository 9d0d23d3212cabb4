//! Forwards a request to its upstreams and builds the caller's response.

mod evacuated;
mod lateness;
mod rates;
mod search;

use std::cell::Cell;
use std::pin::pin;
use std::rc::Rc;

use bytes::Bytes;
use clock::Millis;
use futures_util::future::{Either, select};
use http::{Response, StatusCode};
use routes::{Delivery, Target};
use upstreams::{Call, Failure, Pool, Ran, Shard, UpstreamKey};

pub use self::lateness::late_wait;
use self::lateness::refuse_late;
use self::rates::rate_wait;
use self::search::gather_shards;
use crate::call_retry::with_call_retry;
use crate::identity::Identity;
use crate::quotas::Admission;
use crate::refusal::{Cause, Refusal, Result, promises_not_run};
use crate::routed_request::{Origin, RoutedRequest, caller_response, with_retry_after};
use crate::state::Gateway;

/// Time after which another upstream of a service without one may have started.
const UPSTREAM_START_TIME: Millis = Millis(1_000);

/// Callers that wait for the end of a backoff are spread over this time.
const BACKOFF_SPREAD_MS: u64 = 500;

/// A service as one shard; all its upstreams are the replicas.
struct ServiceShard<'a>(&'a Pool);

impl Shard for ServiceShard<'_> {
    fn name(&self) -> &str {
        &self.0.name
    }

    fn replicas(&self) -> Vec<UpstreamKey> {
        self.0.keys()
    }
}

/// The admission of a request by its workspace's quota. If the request is dropped, its token
/// counts as used if an upstream may have run it.
struct Running {
    admission: Option<Admission>,
    may_have_run: Rc<Cell<bool>>,
}

impl Running {
    /// Returns the token of a request that did not run.
    fn finish(mut self, result: &Result<Response<Bytes>>) {
        // Another daemon may have refused it, whose answer is the result then.
        let is_unrun = match result {
            Ok(_) => !self.may_have_run.get(),
            Err(refusal) => refusal.ran == Ran::No,
        };
        match self.admission.take() {
            Some(admission) if !is_unrun => admission.spend(),
            _ => {}
        }
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        match self.admission.take() {
            Some(admission) if self.may_have_run.get() => admission.spend(),
            _ => {}
        }
    }
}

/// Admits a request by the quota of its workspace. What another daemon vouches for was
/// admitted there.
async fn admit(gateway: &Gateway, request: &RoutedRequest) -> Result<Running> {
    let objective = request.entry.route.objective;
    let admission = match &request.identity {
        Identity::Key(_, workspace) => Some(gateway.quotas.admit(workspace, objective).await?),
        Identity::Anonymous | Identity::Vouched(..) => None,
    };
    Ok(Running {
        admission,
        may_have_run: request.call.may_have_run.clone(),
    })
}

/// Serves a routed request, subject to quarantine and to the quota of its workspace.
pub(crate) async fn run(gateway: &Gateway, request: &RoutedRequest) -> Result<Response<Bytes>> {
    let (fingerprint, deadline) = (request.call.fingerprint, request.call.deadline);
    let shared = gateway.fleet.shared();
    let checked = shared.check_quarantine(fingerprint, deadline).await;
    checked.map_err(|failure| Refusal::from_failure(&failure))?;
    let running = admit(gateway, request).await?;
    let result = match request.origin {
        Origin::Caller => run_with_links(gateway, request).await,
        Origin::Peer => run_here(gateway, request).await,
    };
    running.finish(&result);
    result
}

/// Serves a caller's request by this daemon's own links, or by another daemon's if they
/// are lost, before or while it runs, or if others have served its callers by a newer
/// configuration meanwhile. A request that must not be repeated stays here once it may have
/// been sent.
async fn run_with_links(gateway: &Gateway, request: &RoutedRequest) -> Result<Response<Bytes>> {
    let links = &gateway.fleet.shared().links;
    if links.are_cut() || gateway.peer_forwarder.is_ahead_of(request.version) {
        return gateway.peer_forwarder.forward(request).await;
    }
    if matches!(request.entry.route.target, Target::Gather(_)) {
        let delegated = gateway.peer_forwarder.delegate(request).await;
        if let Some(result) = delegated {
            return result;
        }
    }
    let running = Box::pin(run_here(gateway, request));
    let running = match select(running, pin!(links.wait_for_loss())).await {
        Either::Left((result, _)) => return result,
        Either::Right((_, running)) => running,
    };
    let is_repeatable = request.entry.route.delivery == Delivery::Idempotent;
    if !is_repeatable && request.call.may_have_run.get() {
        return running.await;
    }
    drop(running);
    gateway.peer_forwarder.forward(request).await
}

/// Serves a request by this daemon's own links, subject to the route's concurrency
/// limit.
async fn run_here(gateway: &Gateway, request: &RoutedRequest) -> Result<Response<Bytes>> {
    let route = &request.entry.route;
    let workspace = request.call.workspace.as_ref();
    let permit = gateway.limiters.admit(route, workspace).map_err(|wait| {
        let refusal = Refusal {
            is_untaken: true,
            ..Refusal::not_run(Cause::Overloaded, "the limit of the route is reached")
        };
        with_call_retry(refusal, wait, &request.call)
    })?;
    let result = serve(gateway, request).await;
    let now = Millis::now();
    match &result {
        Ok(_) => permit.finish(Some(now.since(request.arrived)), route, now),
        Err(refusal) if refusal.is_overload => permit.finish(None, route, now),
        Err(_) => drop(permit),
    }
    result
}

async fn serve(gateway: &Gateway, request: &RoutedRequest) -> Result<Response<Bytes>> {
    match &request.entry.route.target {
        Target::Service(service) => forward_to_service(gateway, request, service).await,
        Target::Split(services) => {
            let service = request.entry.splitter.next(services);
            let no_weight = || Refusal::not_run(Cause::NoUpstream, "no service has a weight");
            forward_to_service(gateway, request, service.ok_or_else(no_weight)?).await
        }
        Target::Gather(gather) => gather_shards(gateway, request, gather).await,
    }
}

/// Forwards a request to one upstream of a service.
async fn forward_to_service(
    gateway: &Gateway,
    request: &RoutedRequest,
    service: &str,
) -> Result<Response<Bytes>> {
    let no_upstream = || {
        let detail = format!("no upstream of {service} is known");
        let refusal = Refusal::not_run(Cause::NoUpstream, detail);
        with_retry_after(refusal, UPSTREAM_START_TIME, request.call.deadline)
    };
    let pool = gateway.fleet.pool(service).ok_or_else(no_upstream)?;
    refuse_late(&request.call, &[Some(pool.clone())], 1)?;
    let shard = ServiceShard(&pool);
    let result = match request.entry.route.delivery {
        Delivery::Idempotent => pool.fetch(&shard, &request.call).await,
        Delivery::AtMostOnce => pool.dispatch(&shard, &request.call).await,
    };
    let answer = match result {
        Ok(answer) => answer,
        Err(failure) => match request.forwarded.error_response.take() {
            Some(answer) if failure.ran != Ran::No => answer,
            _ => return Err(to_refusal(request, &failure, &pool)),
        },
    };
    match request.entry.route.delivery {
        Delivery::AtMostOnce if promises_not_run(answer.status()) => {
            Err(false_promise(service, answer.status()))
        }
        Delivery::AtMostOnce | Delivery::Idempotent => Ok(caller_response(answer)),
    }
}

/// Returns the refusal of a request that an upstream has run and answered with a status that
/// promises the opposite.
fn false_promise(service: &str, status: StatusCode) -> Refusal {
    let detail = format!("an upstream of {service} answered {status} and may have run it");
    Refusal {
        ran: Ran::Unknown,
        ..Refusal::not_run(Cause::UpstreamFailed, detail)
    }
}

fn to_refusal(request: &RoutedRequest, failure: &Failure, pool: &Pool) -> Refusal {
    let refusal = Refusal::from_failure(failure);
    match failure.ran {
        // Waiting does not help against these.
        Ran::No if matches!(refusal.cause, Cause::Quarantined | Cause::UnknownKey) => refusal,
        Ran::No => with_expected_wait(refusal, &[Some(pool)], &request.call),
        Ran::Yes | Ran::Unknown => refusal,
    }
}

/// Sets the time after which the caller should retry: when a slot is expected to be
/// free in all services, when an upstream may have started where none is left, or when
/// a backoff ends where all upstreams asked for one. Only the last is known, so that it
/// is set even if the caller has less time left.
fn with_expected_wait(refusal: Refusal, pools: &[Option<&Pool>], call: &Call) -> Refusal {
    let now = Millis::now();
    let known = pools.iter().flatten();
    let backoff = known.clone().filter_map(|p| p.shortest_backoff(now)).max();
    let wait = known.map(|p| expected_wait(p, call, now)).max();
    let refusal = with_call_retry(refusal, wait.unwrap_or(UPSTREAM_START_TIME), call);
    match backoff {
        Some(left) if left > Millis::ZERO => Refusal {
            retry_after: Some(left + Millis(rand::random_range(0..BACKOFF_SPREAD_MS))),
            ..refusal
        },
        _ => refusal,
    }
}

fn expected_wait(pool: &Pool, call: &Call, now: Millis) -> Millis {
    let slot_wait = match call.workspace {
        Some(_) => pool.fair_wait(call, now).wait,
        None => Millis(pool.expected_wait(&pool.keys(), 1) as u64),
    };
    match pool.shortest_backoff(now) {
        Some(_) => slot_wait.max(rate_wait(pool, now)),
        None => UPSTREAM_START_TIME,
    }
}
