//! The root of a request: the daemon that accepts it from the caller,
//! scatters it to the owners and answers it.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use async_trait::async_trait;
use bytes::Bytes;
use catalog::{Catalog, Topology};
use clock::Millis;
use ledger::Ledger;
use members::{Member, Members};
use telemetry::names;
use upstreams::Pools;
use xxhash_rust::xxh3::Xxh3;

use crate::answer::SearchAnswer;
use crate::exit_time::ExitTime;
use crate::outcomes::Outcomes;
use crate::owner::{LocalOwner, Owner, RemoteOwner};
use crate::refusal::{Kind, Refusal, Result};
use crate::server::Server;
use crate::views::Views;
use crate::waits::Waits;

const CONCURRENCY_RETRY_AFTER: Millis = Millis(50);
const UNREADY_RETRY_AFTER: Millis = Millis(500);

/// Decides whether this daemon may take new work.
#[async_trait(?Send)]
pub trait Gate {
    /// Waits until the revision in force is confirmed, or returns a refusal.
    async fn check(&self) -> Result<()>;
}

/// A caller's search.
#[derive(Clone, Debug)]
pub struct SearchRequest {
    /// The caller's identifier of the request.
    pub request_id: String,
    /// Name of the service.
    pub service: String,
    /// Time limit for the answer; the service's deadline if absent.
    pub timeout: Option<Millis>,
    /// The shards to search; all if absent.
    pub shards: Option<Vec<String>>,
    /// The body that is sent to the upstreams.
    pub body: Bytes,
}

/// Runs callers' requests on this daemon.
pub struct Root {
    pub(crate) members: Rc<Members>,
    pub(crate) pools: Rc<Pools>,
    pub(crate) ledger: Rc<Ledger>,
    pub(crate) outcomes: Rc<Outcomes>,
    pub(crate) server: Rc<Server>,
    pub(crate) exit: Rc<ExitTime>,
    pub(crate) catalog: RefCell<Rc<Catalog>>,
    pub(crate) gate: Rc<dyn Gate>,
    pub(crate) views: Rc<Views>,
    pub(crate) waits: Waits,
    pub(crate) is_local: bool,
    ranks: RefCell<RankCache>,
    in_flight: RefCell<HashMap<String, Rc<Cell<usize>>>>,
}

#[derive(Default)]
struct RankCache {
    epoch: u64,
    owners: HashMap<String, Rc<Vec<Member>>>,
}

/// Counts a request in flight until it is dropped.
pub(crate) struct InFlight(Rc<Cell<usize>>);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Root {
    /// Returns a root without a catalog; with `is_local`, this daemon owns all
    /// groups.
    pub fn new(
        members: &Rc<Members>,
        server: &Rc<Server>,
        gate: Rc<dyn Gate>,
        is_local: bool,
    ) -> Self {
        Self {
            members: members.clone(),
            pools: server.pools.clone(),
            ledger: server.ledger.clone(),
            outcomes: server.outcomes.clone(),
            server: server.clone(),
            exit: server.exit.clone(),
            catalog: RefCell::default(),
            gate,
            views: Rc::default(),
            waits: Waits::default(),
            is_local,
            ranks: RefCell::default(),
            in_flight: RefCell::default(),
        }
    }

    /// Returns the catalog in force.
    pub fn catalog(&self) -> Rc<Catalog> {
        self.catalog.borrow().clone()
    }

    /// Puts a catalog in force for new requests, and drops the state of services
    /// and shard maps that are not in it.
    pub fn install(&self, catalog: &Rc<Catalog>) {
        *self.catalog.borrow_mut() = catalog.clone();
        self.ranks.borrow_mut().owners.clear();
        self.views.retain(|key| {
            let mut parts = key.split('/');
            let topology = parts.next().and_then(|name| catalog.services.get(name));
            topology.is_some_and(|t| parts.next() == Some(t.service.partitioning.as_str()))
        });
        self.in_flight
            .borrow_mut()
            .retain(|name, _| catalog.services.contains_key(name));
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight
            .borrow()
            .values()
            .map(|count| count.get())
            .sum()
    }

    /// Runs a search and returns its answer.
    ///
    /// # Errors
    ///
    /// The refusal states whether any part of the search ran.
    pub async fn search(&self, request: &SearchRequest) -> Result<SearchAnswer> {
        let started = Millis::now();
        let result = self.run_search(request, started).await;
        let service = request.service.clone();
        match &result {
            Ok(answer) => {
                let elapsed = Millis::now().since(started).0 as f64 / 1_000.0;
                let requested = answer.covered.len() + answer.missing.len();
                let ratio = answer.covered.len() as f64 / requested.max(1) as f64;
                metrics::histogram!(names::SEARCH_SECONDS, "service" => service.clone())
                    .record(elapsed);
                metrics::histogram!(names::COVERAGE_RATIO, "service" => service).record(ratio);
            }
            Err(refusal) if refusal.kind == Kind::UnknownService => {}
            Err(refusal) => {
                let reason = refusal.kind.name();
                metrics::counter!(names::REFUSALS_TOTAL, "service" => service, "reason" => reason)
                    .increment(1);
            }
        }
        result
    }

    /// Finds a service in the revision in force once that is confirmed, and
    /// returns it with the revision.
    pub(crate) async fn find_service(&self, name: &str) -> Result<(u64, Rc<Topology>)> {
        if self.catalog().revision() > 0 {
            self.gate.check().await?;
        }
        let catalog = self.catalog();
        if catalog.revision() == 0 {
            let detail = "no configuration is in force on this daemon yet";
            return Err(Refusal::not_run(Kind::Unready, detail, UNREADY_RETRY_AFTER));
        }
        let found = catalog.services.get(name).cloned();
        let revision = catalog.revision();
        found.map(|topology| (revision, topology)).ok_or_else(|| {
            Refusal::invalid(
                Kind::UnknownService,
                format!("service `{name}` is not declared"),
            )
        })
    }

    /// Counts a request as in flight, or refuses it at once if the service is at
    /// its concurrency limit.
    pub(crate) fn admit(&self, topology: &Topology) -> Result<InFlight> {
        let service = &topology.service;
        let count = self
            .in_flight
            .borrow_mut()
            .entry(service.name.clone())
            .or_default()
            .clone();
        if count.get() >= service.concurrency {
            let detail = format!("{} requests are in flight on this daemon", count.get());
            let retry_after = Millis(rand::random_range(
                CONCURRENCY_RETRY_AFTER.0..=2 * CONCURRENCY_RETRY_AFTER.0,
            ));
            return Err(Refusal::not_run(Kind::Overloaded, detail, retry_after));
        }
        count.set(count.get() + 1);
        Ok(InFlight(count))
    }

    pub(crate) fn check_quarantine(&self, fingerprint: u64) -> Result<()> {
        let crashes = &self.pools.shared.crashes;
        match crashes.quarantine_failure(fingerprint, Millis::now()) {
            Some(failure) => Err(Refusal::from_failure(&failure, Kind::Quarantined)),
            None => Ok(()),
        }
    }

    /// Ranks the daemons that can own a group, best first.
    pub(crate) fn owners(&self, key: &str, domain: &str) -> Rc<Vec<Member>> {
        if self.is_local {
            return Rc::new(vec![self.members.me()]);
        }
        let epoch = self.members.epoch();
        let mut ranks = self.ranks.borrow_mut();
        if ranks.epoch != epoch {
            *ranks = RankCache {
                epoch,
                owners: HashMap::new(),
            };
        }
        let rank = || Rc::new(self.members.owners(key, domain));
        ranks
            .owners
            .entry(key.to_owned())
            .or_insert_with(rank)
            .clone()
    }

    /// Whether this daemon owns a group.
    pub fn is_owner(&self, topology: &Topology, group: usize) -> bool {
        self.owner_name(topology, group)
            .is_some_and(|name| name == self.members.me().id)
    }

    /// Returns the name of the daemon that owns a group.
    pub fn owner_name(&self, topology: &Topology, group: usize) -> Option<String> {
        let owners = self.owners(&topology.group_key(group), topology.group_domain(group));
        owners.first().map(|m| m.id.clone())
    }

    pub(crate) fn owner(&self, member: &Member) -> Box<dyn Owner> {
        match member.id == self.members.me().id {
            true => Box::new(LocalOwner {
                server: self.server.clone(),
            }),
            false => Box::new(RemoteOwner {
                client: self.members.client(member.address),
            }),
        }
    }
}

/// Returns a digest of a caller's request, the same for each retry of it.
pub(crate) fn fingerprint(service: &str, body: &[u8]) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(service.as_bytes());
    hasher.update(&[0]);
    hasher.update(body);
    hasher.digest()
}
