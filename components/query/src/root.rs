//! The root: takes a caller's search and answers it.

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
use upstreams::{Failure, Pools, Reason, Verdict, spread};
use uuid::Uuid;
use xxhash_rust::xxh3::Xxh3;

use crate::answer::SearchAnswer;
use crate::merge::Merge;
use crate::outcomes::Outcomes;
use crate::owner::{LocalOwner, Owner, RemoteOwner};
use crate::plan::{Version, choose_version};
use crate::refusal::{Kind, Refusal, Result};
use crate::scatter::{Scatter, view_key};
use crate::serve::Server;
use crate::views::Views;
use crate::waits::{Waits, is_too_long};

const CONCURRENCY_RETRY: Millis = Millis(50);
const NO_SNAPSHOT_RETRY: Millis = Millis(500);
// A search that lacks its snapshot starts again only with this much time.
const MIN_TIME_FOR_ROUND: Millis = Millis(10);
const ROUNDS: usize = 2;

/// Decides whether this daemon may take new work.
#[async_trait(?Send)]
pub trait Gate {
    /// Returns once the revision in force is confirmed, or refuses.
    async fn pass(&self) -> Result<()>;
}

/// A search as a caller asks it.
#[derive(Clone, Debug)]
pub struct SearchRequest {
    /// The caller's identifier of the request.
    pub request_id: String,
    /// Name of the service.
    pub service: String,
    /// Time for the answer; the service's deadline if absent.
    pub budget: Option<Millis>,
    /// The shards to search; all if absent.
    pub shards: Option<Vec<String>>,
    /// The query for the upstreams.
    pub body: Bytes,
}

/// The root's side of a daemon.
pub struct Root {
    pub(crate) members: Rc<Members>,
    pub(crate) pools: Rc<Pools>,
    pub(crate) ledger: Rc<Ledger>,
    pub(crate) outcomes: Rc<Outcomes>,
    pub(crate) server: Rc<Server>,
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
    /// Returns a root that has no catalog yet; with `is_local` it is the
    /// owner of everything.
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
            catalog: RefCell::default(),
            gate,
            views: Rc::default(),
            waits: Waits::default(),
            is_local,
            ranks: RefCell::default(),
            in_flight: RefCell::default(),
        }
    }

    /// The catalog in force.
    pub fn catalog(&self) -> Rc<Catalog> {
        self.catalog.borrow().clone()
    }

    /// Puts a catalog in force for new requests.
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

    /// The number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight
            .borrow()
            .values()
            .map(|count| count.get())
            .sum()
    }

    /// Answers a search.
    ///
    /// # Errors
    ///
    /// The refusal tells whether any part of the search ran.
    pub async fn search(&self, request: &SearchRequest) -> Result<SearchAnswer> {
        let started = Millis::now();
        let result = self.search_until(request, started).await;
        let service = request.service.clone();
        match &result {
            Ok(answer) => {
                let elapsed = Millis::now().since(started).0 as f64 / 1_000.0;
                let asked = answer.covered.len() + answer.missing.len();
                let ratio = answer.covered.len() as f64 / asked.max(1) as f64;
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

    async fn search_until(&self, request: &SearchRequest, started: Millis) -> Result<SearchAnswer> {
        let topology = self.find_service(&request.service)?;
        let service = &topology.service;
        let deadline = started + request.budget.unwrap_or(service.deadline_ms);
        let asked = asked_shards(&topology, request)?;
        let _in_flight = self.admit(&topology)?;
        let fingerprint = fingerprint(&request.service, &request.body);
        self.check_quarantine(fingerprint)?;
        self.gate.pass().await?;
        let request_id = Uuid::new_v4().simple().to_string();
        let groups = asked_groups(&topology, &asked);
        self.check_wait(&topology, &groups, deadline - started)?;
        self.refresh_views(&topology, &groups, deadline).await;
        let mut tried: Vec<u64> = Vec::new();
        let mut best: Option<(Version, Merge)> = None;
        while let Some(version) = self.choose(&topology, &groups, &asked, &tried) {
            let body = request.body.clone();
            let search = Scatter {
                root: self,
                topology: &topology,
                request_id: &request_id,
                version: &version,
            };
            let merge = search.run(&asked, body, fingerprint, deadline).await;
            let is_last = tried.len() + 1 >= ROUNDS || !merge.lacks_snapshot();
            tried.push(version.snapshot);
            let is_better = best
                .as_ref()
                .is_none_or(|(_, old)| merge.covered_count() > old.covered_count());
            if is_better {
                best = Some((version, merge));
            }
            if is_last || Millis::now() + MIN_TIME_FOR_ROUND >= deadline {
                break;
            }
        }
        let Some((version, merge)) = best else {
            return Err(no_snapshot(&request.service));
        };
        self.answer(request, &topology, version, merge, asked.len())
    }

    fn answer(
        &self,
        request: &SearchRequest,
        topology: &Topology,
        version: Version,
        merge: Merge,
        asked: usize,
    ) -> Result<SearchAnswer> {
        let needed = (asked * usize::from(topology.service.coverage_percent))
            .div_ceil(100)
            .max(1);
        let covered_count = merge.covered_count();
        let main = merge.main_failure();
        if covered_count < needed || (covered_count < asked && main.reason == Reason::Quarantined) {
            let mut refusal = Refusal::from_failure(&main, Kind::CoverageTooLow);
            if refusal.kind == Kind::CoverageTooLow {
                refusal.detail = format!(
                    "{covered_count} of {asked} shards covered, {needed} needed; {}",
                    refusal.detail
                );
            }
            return Err(refusal);
        }
        let (covered, missing, rows) = merge.finish();
        Ok(SearchAnswer {
            request_id: request.request_id.clone(),
            service: request.service.clone(),
            revision: self.catalog().revision(),
            partitioning: version.partitioning,
            snapshot: version.snapshot,
            complete: missing.is_empty(),
            covered,
            missing,
            rows,
        })
    }

    pub(crate) fn find_service(&self, name: &str) -> Result<Rc<Topology>> {
        let catalog = self.catalog();
        if catalog.revision() == 0 {
            let detail = "no configuration is in force on this daemon yet";
            return Err(Refusal::not_run(Kind::Unready, detail, NO_SNAPSHOT_RETRY));
        }
        let found = catalog.services.get(name).cloned();
        found.ok_or_else(|| {
            Refusal::invalid(
                Kind::UnknownService,
                format!("service `{name}` is not declared"),
            )
        })
    }

    /// Counts a request in, or refuses it at once.
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
            let spread = Millis(rand::random_range(
                CONCURRENCY_RETRY.0..=2 * CONCURRENCY_RETRY.0,
            ));
            return Err(Refusal::not_run(Kind::Overloaded, detail, spread));
        }
        count.set(count.get() + 1);
        Ok(InFlight(count))
    }

    /// Refuses a search whose owners told a wait that is too long.
    fn check_wait(&self, topology: &Topology, groups: &[usize], budget: Millis) -> Result<()> {
        let keys: Vec<String> = groups.iter().map(|&g| view_key(topology, g)).collect();
        let wait = self.waits.longest(&keys, Millis::now());
        match is_too_long(wait, budget) {
            false => Ok(()),
            true => {
                let detail = format!("sub-requests wait {wait} for a slot");
                Err(Refusal::not_run(
                    Kind::Overloaded,
                    detail,
                    spread(wait.0 as f64),
                ))
            }
        }
    }

    pub(crate) fn check_quarantine(&self, fingerprint: u64) -> Result<()> {
        match self
            .pools
            .shared
            .suspects
            .verdict(fingerprint, Millis::now())
        {
            Verdict::Quarantined { expires_in } => {
                let failure = Failure {
                    retry_after: expires_in,
                    ..Failure::not_run(Reason::Quarantined)
                };
                Err(Refusal::from_failure(&failure, Kind::Quarantined))
            }
            Verdict::Clear | Verdict::Suspect => Ok(()),
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

    /// Name of the daemon that owns a group.
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

    fn choose(
        &self,
        topology: &Topology,
        groups: &[usize],
        asked: &[String],
        tried: &[u64],
    ) -> Option<Version> {
        let keys: Vec<String> = groups.iter().map(|&g| view_key(topology, g)).collect();
        let holdings = self.views.holdings(&keys, Millis::now());
        choose_version(&topology.service.partitioning, asked, &holdings, tried)
    }
}

/// Returns the groups of the asked shards, each once.
fn asked_groups(topology: &Topology, asked: &[String]) -> Vec<usize> {
    let shards = asked.iter().filter_map(|s| topology.find_shard(s));
    let mut groups: Vec<usize> = shards.map(|s| topology.group_of[s]).collect();
    groups.sort_unstable();
    groups.dedup();
    groups
}

/// Returns the asked shards, each once and in the order of the shard map.
fn asked_shards(topology: &Topology, request: &SearchRequest) -> Result<Vec<String>> {
    let all = topology.service.shards.iter().map(|s| s.name.clone());
    let Some(asked) = &request.shards else {
        return Ok(all.collect());
    };
    if let Some(unknown) = asked.iter().find(|s| topology.find_shard(s).is_none()) {
        let detail = format!("service `{}` has no shard `{unknown}`", request.service);
        return Err(Refusal::invalid(Kind::BadRequest, detail));
    }
    let list: Vec<String> = all.filter(|s| asked.contains(s)).collect();
    match list.is_empty() {
        true => Err(Refusal::invalid(
            Kind::BadRequest,
            "`shards` names no shard",
        )),
        false => Ok(list),
    }
}

fn no_snapshot(service: &str) -> Refusal {
    let detail = format!("no snapshot of service `{service}` is known to be held");
    Refusal::not_run(Kind::CoverageTooLow, detail, NO_SNAPSHOT_RETRY)
}

/// Digest of what a caller sent, the same for a request that is sent again.
pub(crate) fn fingerprint(service: &str, body: &[u8]) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(service.as_bytes());
    hasher.update(&[0]);
    hasher.update(body);
    hasher.digest()
}
