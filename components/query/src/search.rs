//! Runs one search on the root: plans it on one revision, runs it at one
//! snapshot and answers it.

use std::rc::Rc;

use catalog::Topology;
use clock::Millis;
use upstreams::{DataVersion, Reason, jittered_wait};
use uuid::Uuid;

use crate::answer::SearchAnswer;
use crate::merge::Merge;
use crate::plan::choose_version;
use crate::refusal::{Kind, Refusal, Result};
use crate::root::{Root, SearchRequest, fingerprint};
use crate::scatter::{Scatter, view_key};
use crate::waits::is_too_long;

const NO_SNAPSHOT_RETRY_AFTER: Millis = Millis(500);
// A second round starts only if more time than this is left.
const MIN_ROUND_TIME: Millis = Millis(10);
const MAX_ROUNDS: usize = 2;

/// A search with its plan.
struct Search<'a> {
    root: &'a Root,
    request: &'a SearchRequest,
    revision: u64,
    topology: Rc<Topology>,
    requested: Vec<String>,
    groups: Vec<usize>,
    /// Keys of the groups' views and waits.
    keys: Vec<String>,
    deadline: Millis,
}

impl Root {
    /// Plans and runs a search that arrived at `started`.
    pub(crate) async fn run_search(
        &self,
        request: &SearchRequest,
        started: Millis,
    ) -> Result<SearchAnswer> {
        let (revision, topology) = self.find_service(&request.service).await?;
        let declared = topology.service.deadline_ms;
        let deadline = self.exit.deadline(started, request.timeout, declared)?;
        let requested = requested_shards(&topology, request)?;
        let groups = groups_of(&topology, &requested);
        let keys = groups.iter().map(|&g| view_key(&topology, g)).collect();
        let _in_flight = self.admit(&topology)?;
        let search = Search {
            root: self,
            request,
            revision,
            topology,
            requested,
            groups,
            keys,
            deadline,
        };
        search.run(deadline - started).await
    }
}

impl Search<'_> {
    async fn run(&self, time_left: Millis) -> Result<SearchAnswer> {
        let fingerprint = fingerprint(&self.request.service, &self.request.body);
        self.root.check_quarantine(fingerprint)?;
        self.check_wait(time_left)?;
        self.root
            .refresh_views(&self.topology, &self.groups, self.deadline)
            .await;
        let (version, merge) = self.run_rounds(fingerprint).await?;
        self.answer(version, merge)
    }

    /// Refuses a search if the wait that an owner reported is too long.
    fn check_wait(&self, time_left: Millis) -> Result<()> {
        let wait = self.root.waits.longest(&self.keys, Millis::now());
        if !is_too_long(wait, time_left) {
            return Ok(());
        }
        let detail = format!("sub-requests wait {wait} for a slot");
        Err(Refusal::not_run(
            Kind::Overloaded,
            detail,
            jittered_wait(wait.0 as f64),
        ))
    }

    /// Runs the search, and once more at another snapshot if owners do not hold
    /// the first one. Parts of two rounds are never merged.
    async fn run_rounds(&self, fingerprint: u64) -> Result<(DataVersion, Merge)> {
        let request_id = Uuid::new_v4().simple().to_string();
        let mut tried: Vec<u64> = Vec::new();
        let mut best: Option<(DataVersion, Merge)> = None;
        while let Some(version) = self.choose(&tried) {
            let scatter = Scatter {
                root: self.root,
                topology: &self.topology,
                request_id: &request_id,
                version: &version,
            };
            let body = self.request.body.clone();
            let merge = scatter
                .run(&self.requested, body, fingerprint, self.deadline)
                .await;
            tried.push(version.snapshot);
            let is_last = tried.len() >= MAX_ROUNDS || !merge.lacks_snapshot();
            best = Some(better_round(best, version, merge));
            if is_last || Millis::now() + MIN_ROUND_TIME >= self.deadline {
                break;
            }
        }
        best.ok_or_else(|| no_snapshot(&self.request.service))
    }

    fn choose(&self, tried: &[u64]) -> Option<DataVersion> {
        let holdings = self.root.views.holdings(&self.keys, Millis::now());
        choose_version(
            &self.topology.service.partitioning,
            &self.requested,
            &holdings,
            tried,
        )
    }

    /// Returns the covered shards, or a refusal if they are too few.
    fn answer(&self, version: DataVersion, merge: Merge) -> Result<SearchAnswer> {
        let requested = self.requested.len();
        let percent = usize::from(self.topology.service.coverage_percent);
        let needed = (requested * percent).div_ceil(100).max(1);
        let covered_count = merge.covered_count();
        let main = merge.main_failure();
        if covered_count < needed
            || (covered_count < requested && main.reason == Reason::Quarantined)
        {
            let mut refusal = Refusal::from_failure(&main, Kind::CoverageTooLow);
            if refusal.kind == Kind::CoverageTooLow {
                let counts =
                    format!("{covered_count} of {requested} shards covered, {needed} needed");
                refusal.detail = format!("{counts}; {}", refusal.detail);
            }
            return Err(refusal);
        }
        let (covered, missing, rows) = merge.finish();
        Ok(SearchAnswer {
            request_id: self.request.request_id.clone(),
            service: self.request.service.clone(),
            revision: self.revision,
            partitioning: version.partitioning,
            snapshot: version.snapshot,
            complete: missing.is_empty(),
            covered,
            missing,
            rows,
        })
    }
}

/// Keeps the round that covers more shards, and records in it whether the
/// other one ran.
fn better_round(
    old: Option<(DataVersion, Merge)>,
    version: DataVersion,
    merge: Merge,
) -> (DataVersion, Merge) {
    let Some(old) = old else {
        return (version, merge);
    };
    let new = (version, merge);
    let is_new_better = new.1.covered_count() > old.1.covered_count();
    let (mut kept, other) = if is_new_better {
        (new, old)
    } else {
        (old, new)
    };
    kept.1.record_discarded(other.1.ran());
    kept
}

/// Returns the groups of the requested shards, each once.
fn groups_of(topology: &Topology, requested: &[String]) -> Vec<usize> {
    let shards = requested.iter().filter_map(|s| topology.find_shard(s));
    let mut groups: Vec<usize> = shards.map(|s| topology.group_of[s]).collect();
    groups.sort_unstable();
    groups.dedup();
    groups
}

/// Returns the requested shards, each once and in the order of the shard map.
fn requested_shards(topology: &Topology, request: &SearchRequest) -> Result<Vec<String>> {
    let all = topology.service.shards.iter().map(|s| s.name.clone());
    let Some(requested) = &request.shards else {
        return Ok(all.collect());
    };
    if let Some(unknown) = requested.iter().find(|s| topology.find_shard(s).is_none()) {
        let detail = format!("service `{}` has no shard `{unknown}`", request.service);
        return Err(Refusal::invalid(Kind::BadRequest, detail));
    }
    let list: Vec<String> = all.filter(|s| requested.contains(s)).collect();
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
    Refusal::not_run(Kind::CoverageTooLow, detail, NO_SNAPSHOT_RETRY_AFTER)
}
