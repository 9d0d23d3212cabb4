//! Sends the sub-requests of a search to their owners, in one call to each
//! owner, and to the next owner if one does not answer.

use std::collections::BTreeMap;
use std::rc::Rc;

use bytes::Bytes;
use catalog::Topology;
use clock::Millis;
use futures_util::future::{Either, join_all, select};
use futures_util::stream::{FuturesUnordered, StreamExt};
use members::Member;
use schema::{ScatterReply, ScatterRequest, SurveyRequest};
use upstreams::{DataVersion, Failure, Holding, Ran, Reason};

use crate::merge::Merge;
use crate::owner::PeerError;
use crate::root::Root;
use crate::views::{Freshness, Views};

// An owner must answer this much earlier than the root.
const HOP_MARGIN: Millis = Millis(3);
const SURVEY_TIMEOUT: Millis = Millis(200);
// A peer that answers nothing for this long after a call is probed.
const PROBE_DELAY: Millis = Millis(40);
// Interval at which a waiting call checks whether its peer is responsive.
const LIVENESS_INTERVAL: Millis = Millis(25);

/// One round of a search, at one version.
pub(crate) struct Scatter<'a> {
    pub(crate) root: &'a Root,
    pub(crate) topology: &'a Rc<Topology>,
    pub(crate) request_id: &'a str,
    pub(crate) version: &'a DataVersion,
}

/// The groups with the same first owner, and their requested shards.
struct Batch {
    owners: Rc<Vec<Member>>,
    groups: Vec<usize>,
    shards: Vec<String>,
}

impl Scatter<'_> {
    /// Runs the round; shards without a reply by the deadline fail as timed out.
    pub(crate) async fn run(
        &self,
        requested: &[String],
        body: Bytes,
        fingerprint: u64,
        deadline: Millis,
    ) -> Merge {
        let mut merge = Merge::new(self.request_id, self.version, requested);
        let mut running: FuturesUnordered<_> = self
            .batches(requested)
            .into_iter()
            .map(|batch| self.send(batch, body.clone(), fingerprint, deadline))
            .collect();
        let left = deadline.since(Millis::now());
        let mut timer = Box::pin(compio::time::sleep(left.into()));
        loop {
            match select(running.next(), timer).await {
                Either::Left((Some((batch, ran, reply)), rest)) => {
                    merge.record_discarded(ran);
                    self.add_reply(&mut merge, &batch, reply);
                    timer = rest;
                }
                Either::Left((None, _)) => return merge,
                Either::Right(_) => break,
            }
        }
        drop(running);
        merge.fail_rest(requested, &Failure::unknown(Reason::Timeout));
        merge
    }

    fn batches(&self, requested: &[String]) -> Vec<Batch> {
        let mut by_group: BTreeMap<usize, Vec<String>> = BTreeMap::new();
        for shard in requested {
            let index = self.topology.find_shard(shard);
            if let Some(index) = index {
                by_group
                    .entry(self.topology.group_of[index])
                    .or_default()
                    .push(shard.clone());
            }
        }
        let mut by_owner: BTreeMap<String, Batch> = BTreeMap::new();
        for (group, shards) in by_group {
            let key = self.topology.group_key(group);
            let owners = self.root.owners(&key, self.topology.group_domain(group));
            let first = owners.first().map_or(String::new(), |m| m.id.clone());
            let batch = by_owner.entry(first).or_insert_with(|| Batch {
                owners,
                groups: Vec::new(),
                shards: Vec::new(),
            });
            batch.groups.push(group);
            batch.shards.extend(shards);
        }
        by_owner.into_values().collect()
    }

    /// Sends a batch to its owner, or to the next one if that does not answer;
    /// also returns whether an owner that did not answer may have run it.
    async fn send(
        &self,
        batch: Batch,
        body: Bytes,
        fingerprint: u64,
        deadline: Millis,
    ) -> (Batch, Ran, Result<ScatterReply, Failure>) {
        let mut ran = Ran::No;
        for member in batch.owners.iter() {
            let time_left = deadline.since(Millis::now() + HOP_MARGIN);
            if time_left == Millis::ZERO {
                break;
            }
            let request = ScatterRequest {
                request_id: self.request_id.to_owned(),
                service: self.topology.service.name.clone(),
                revision: self.topology.revision,
                partitioning: self.version.partitioning.clone(),
                snapshot: self.version.snapshot,
                shards: batch.shards.clone(),
                budget_ms: time_left.0,
                body: body.to_vec(),
                fingerprint,
            };
            match self.call(member, request, time_left + HOP_MARGIN).await {
                Ok(reply) => return (batch, ran, Ok(reply)),
                Err(PeerError::Unsent) => {}
                Err(PeerError::Lost) => ran = Ran::Unknown,
            }
        }
        let failure = Failure {
            ran,
            ..Failure::not_run(Reason::OwnerUnreachable)
        };
        (batch, ran, Err(failure))
    }

    /// Calls an owner, and abandons the call once the peer misses a heartbeat or
    /// does not answer a probe.
    async fn call(
        &self,
        member: &Member,
        request: ScatterRequest,
        timeout: Millis,
    ) -> Result<ScatterReply, PeerError> {
        let members = &self.root.members;
        let owner = self.root.owner(member);
        let mut call = owner.scatter(request, timeout);
        if member.id == members.me().id {
            return call.await;
        }
        let sent = Millis::now();
        loop {
            let check = std::pin::pin!(compio::time::sleep(LIVENESS_INTERVAL.into()));
            match select(call, check).await {
                Either::Left((Ok(reply), _)) => {
                    members.record_reply(&member.id);
                    return Ok(reply);
                }
                Either::Left((Err(e), _)) => return Err(e),
                Either::Right((_, rest)) => call = rest,
            }
            if !members.is_responsive(&member.id) {
                return Err(PeerError::Lost);
            }
            if Millis::now().since(sent) >= PROBE_DELAY {
                members.probe(&member.id, sent);
            }
        }
    }

    fn add_reply(&self, merge: &mut Merge, batch: &Batch, reply: Result<ScatterReply, Failure>) {
        let reply = match reply {
            Ok(reply) => reply,
            Err(failure) => return merge.fail_rest(&batch.shards, &failure),
        };
        let (now, wait) = (Millis::now(), Millis(reply.wait_ms));
        for &group in &batch.groups {
            self.root
                .waits
                .set(&view_key(self.topology, group), wait, now);
        }
        if reply.refused {
            let reason = Reason::find(&reply.reason).unwrap_or(Reason::Overloaded);
            let retry_after = Millis(reply.retry_after_ms);
            let failure = Failure {
                retry_after,
                ..Failure::not_run(reason)
            };
            return merge.fail_rest(&batch.shards, &failure);
        }
        self.update_views(&batch.groups, reply.holdings);
        reply.parts.into_iter().for_each(|part| merge.add(part));
        merge.fail_rest(&batch.shards, &Failure::unknown(Reason::Mismatch));
    }

    fn update_views(&self, groups: &[usize], holdings: Vec<schema::Holding>) {
        update_views(&self.root.views, self.topology, groups, holdings);
    }
}

/// Returns the key of a group's view and wait. It includes the partitioning,
/// because each shard map has its own groups.
pub(crate) fn view_key(topology: &Topology, group: usize) -> String {
    let service = &topology.service;
    format!("{}/{}/{group}", service.name, service.partitioning)
}

/// Stores the holdings that an owner reported for some groups.
fn update_views(
    views: &Views,
    topology: &Topology,
    groups: &[usize],
    holdings: Vec<schema::Holding>,
) {
    let now = Millis::now();
    for &group in groups {
        let in_group = |s: &String| {
            topology
                .find_shard(s)
                .is_some_and(|i| topology.group_of[i] == group)
        };
        let held = holdings.iter().map(|h| Holding {
            partitioning: h.partitioning.clone(),
            snapshot: h.snapshot,
            shards: h.shards.iter().filter(|s| in_group(s)).cloned().collect(),
        });
        views.set(&view_key(topology, group), held.collect(), now);
    }
}

impl Root {
    /// Surveys the groups that have no valid view, and waits for the replies;
    /// stale views are refreshed in the background.
    pub(crate) async fn refresh_views(
        &self,
        topology: &Rc<Topology>,
        groups: &[usize],
        deadline: Millis,
    ) {
        let now = Millis::now();
        let mut unknown = Vec::new();
        for &group in groups {
            let key = view_key(topology, group);
            match self
                .views
                .freshness(&key, &topology.service.partitioning, now)
            {
                Freshness::Fresh => {}
                Freshness::Unknown => unknown.push(self.survey(topology, group)),
                Freshness::Stale => {
                    self.views.touch(&key, now);
                    compio::runtime::spawn(self.survey(topology, group)).detach();
                }
            }
        }
        let left = deadline.since(now).0 / 2;
        let timeout = Millis(left.min(SURVEY_TIMEOUT.0));
        if !unknown.is_empty() {
            let _ = compio::time::timeout(timeout.into(), join_all(unknown)).await;
        }
    }

    /// Requests the holdings of a group from its owner, or from the next one if
    /// that does not answer.
    fn survey(&self, topology: &Rc<Topology>, group: usize) -> impl Future<Output = ()> + use<> {
        let owners = self.owners(&topology.group_key(group), topology.group_domain(group));
        let owners: Vec<_> = owners.iter().map(|m| self.owner(m)).collect();
        let (views, topology) = (self.views.clone(), topology.clone());
        async move {
            let shards = topology.groups[group]
                .shards
                .iter()
                .map(|&s| topology.service.shards[s].name.clone());
            let request = SurveyRequest {
                service: topology.service.name.clone(),
                shards: shards.collect(),
            };
            for owner in owners {
                if let Ok(reply) = owner.survey(request.clone(), SURVEY_TIMEOUT).await {
                    return update_views(&views, &topology, &[group], reply.holdings);
                }
            }
        }
    }
}
