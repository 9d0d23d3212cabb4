//! The table of members and the rules for merging updates into it.

use std::collections::BTreeMap;

use clock::Millis;
use serde::Serialize;

use crate::member::{Member, State};

const MISSES_TO_SUSPECT: u32 = 2;
const SUSPECT_TO_DEAD: Millis = Millis(3_000);
const DEAD_TO_REMOVED: Millis = Millis(30_000);
// A change is repeated for this long, so that it reaches every daemon.
const GOSSIP_DURATION: Millis = Millis(10_000);
const UPDATES_PER_MESSAGE: usize = 16;
const MEMBER_LIMIT: usize = 4_096;

/// Effect of a message or of a missed heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// No member's state or address has changed.
    Unchanged,
    /// A member was added, or its state or address has changed.
    Changed,
    /// This daemon is reported as suspect or dead in an incarnation and must
    /// raise its own above it.
    Refute(u64),
}

/// A member with the observations of this daemon.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Record {
    pub(crate) member: Member,
    /// When the state or the incarnation last changed in this table.
    pub(crate) changed: Millis,
    /// Send time of the last heartbeat that the member answered.
    pub(crate) heard: Millis,
    pub(crate) misses: u32,
    /// When the member last answered any call.
    pub(crate) replied: Millis,
    #[serde(rename = "silence")]
    pub(crate) probe_state: ProbeState,
    /// Highest revision that the member reported, in any incarnation.
    pub(crate) highest: u64,
}

/// State of the probe of a member that left calls unanswered for a while.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum ProbeState {
    /// The member answers; no probe is needed.
    #[default]
    #[serde(rename = "none")]
    Idle,
    /// The probe is running.
    #[serde(rename = "probed")]
    Running,
    /// The member did not answer the probe either.
    #[serde(rename = "certain")]
    Failed,
}

/// The known members, without this daemon itself.
#[derive(Debug)]
pub struct Table {
    me: String,
    records: BTreeMap<String, Record>,
    epoch: u64,
    had_members: bool,
}

impl Table {
    /// Returns an empty table of the daemon `me`.
    pub fn new(me: &str) -> Self {
        Self {
            me: me.to_owned(),
            records: BTreeMap::new(),
            epoch: 1,
            had_members: false,
        }
    }

    /// Returns a number that grows whenever the set of members that can own
    /// upstreams changes.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns the members in a state.
    pub fn in_state(&self, state: State) -> impl Iterator<Item = &Member> {
        self.records
            .values()
            .map(|r| &r.member)
            .filter(move |m| m.state == state)
    }

    /// Returns the members that are alive, answered the last heartbeat and left
    /// no probe unanswered since.
    pub fn responsive(&self) -> impl Iterator<Item = &Member> {
        let is_answering = |r: &&Record| r.misses == 0 && r.probe_state != ProbeState::Failed;
        let answered = self.records.values().filter(is_answering);
        answered
            .map(|r| &r.member)
            .filter(|m| m.state == State::Alive)
    }

    /// Returns all members that are not dead.
    pub fn reachable(&self) -> impl Iterator<Item = &Member> {
        self.records
            .values()
            .map(|r| &r.member)
            .filter(|m| m.state != State::Dead)
    }

    /// Finds a member by its name.
    pub fn find(&self, id: &str) -> Option<&Member> {
        self.records.get(id).map(|r| &r.member)
    }

    /// Whether no member was ever known.
    pub fn was_always_empty(&self) -> bool {
        !self.had_members
    }

    /// Returns the send time of the last heartbeat that a member answered.
    pub fn heard(&self, id: &str) -> Option<Millis> {
        self.records.get(id).map(|r| r.heard)
    }

    pub(crate) fn records(&self) -> impl Iterator<Item = &Record> {
        self.records.values()
    }

    /// Adds a member from the platform's list unless it is known already.
    pub fn seed(&mut self, member: Member, now: Millis) {
        if member.id != self.me && !self.records.contains_key(&member.id) {
            self.insert(member, now);
        }
    }

    /// Merges the reported state of a member.
    pub fn merge(&mut self, update: Member, now: Millis) -> Effect {
        if update.id == self.me {
            let is_gone = matches!(update.state, State::Suspect | State::Dead);
            return if is_gone {
                Effect::Refute(update.incarnation)
            } else {
                Effect::Unchanged
            };
        }
        let Some(record) = self.records.get_mut(&update.id) else {
            if update.state == State::Dead {
                return Effect::Unchanged;
            }
            self.insert(update, now);
            return Effect::Changed;
        };
        let old = &record.member;
        let wins = (update.incarnation, update.state) > (old.incarnation, old.state);
        if !wins {
            return Effect::Unchanged;
        }
        let is_changed = old.address != update.address || old.state != update.state;
        if update.incarnation > old.incarnation {
            record.misses = 0;
        }
        record.member = Member {
            revision: update.revision.max(old.revision),
            ..update
        };
        record.changed = now;
        if is_changed {
            self.epoch += 1;
            return Effect::Changed;
        }
        Effect::Unchanged
    }

    /// Records that a member answered a heartbeat sent at `sent`.
    pub fn record_heartbeat(&mut self, update: Member, sent: Millis, now: Millis) -> Effect {
        let (id, revision) = (update.id.clone(), update.revision);
        let effect = self.merge(update, now);
        if let Some(record) = self.records.get_mut(&id) {
            record.heard = record.heard.max(sent);
            self.epoch += u64::from(record.misses > 0);
            record.misses = 0;
            record.member.revision = revision;
        }
        self.record_reply(&id, now);
        effect
    }

    /// Records that a member answered a call.
    pub fn record_reply(&mut self, id: &str, now: Millis) {
        if let Some(record) = self.records.get_mut(id) {
            record.replied = now;
            self.epoch += u64::from(record.probe_state == ProbeState::Failed);
            record.probe_state = ProbeState::Idle;
        }
    }

    /// Returns a member to be probed: it has answered no call since `since`, and
    /// no probe is running or has failed meanwhile.
    pub fn begin_probe(&mut self, id: &str, since: Millis) -> Option<Member> {
        let record = self.records.get_mut(id)?;
        let is_due = record.replied < since && record.probe_state == ProbeState::Idle;
        is_due.then(|| {
            record.probe_state = ProbeState::Running;
            record.member.clone()
        })
    }

    /// Records that a member did not answer the probe. It owns nothing until it
    /// answers; only missed heartbeats make it suspect.
    pub fn fail_probe(&mut self, id: &str) {
        let record = self.records.get_mut(id);
        if let Some(record) = record.filter(|r| r.probe_state == ProbeState::Running) {
            record.probe_state = ProbeState::Failed;
            self.epoch += 1;
        }
    }

    /// Records the revision that a member itself reported.
    pub fn record_revision(&mut self, id: &str, revision: u64) {
        if let Some(record) = self.records.get_mut(id) {
            record.highest = record.highest.max(revision);
        }
    }

    /// Returns the highest revision that a member reported, in any incarnation.
    pub fn highest_revision(&self, id: &str) -> u64 {
        self.records.get(id).map_or(0, |r| r.highest)
    }

    /// Records that a member did not answer; `refused` if the call failed instead
    /// of timing out, so that one miss makes it suspect.
    pub fn record_miss(&mut self, id: &str, refused: bool, now: Millis) -> Effect {
        let Some(record) = self.records.get_mut(id) else {
            return Effect::Unchanged;
        };
        record.misses += 1;
        if record.misses == 1 {
            self.epoch += 1;
        }
        let is_late = refused || record.misses >= MISSES_TO_SUSPECT;
        if record.member.state != State::Alive || !is_late {
            return Effect::Unchanged;
        }
        record.member.state = State::Suspect;
        record.changed = now;
        self.epoch += 1;
        Effect::Changed
    }

    /// Marks members as dead that have been suspect, or leaving without an
    /// answer, for too long; removes members that have been dead for long.
    pub fn expire(&mut self, now: Millis) {
        for record in self.records.values_mut() {
            let age = now.since(record.changed);
            let is_gone = match record.member.state {
                State::Suspect => age >= SUSPECT_TO_DEAD,
                State::Leaving => age >= SUSPECT_TO_DEAD && record.misses > 0,
                State::Alive | State::Dead => false,
            };
            if is_gone {
                record.member.state = State::Dead;
                record.changed = now;
            }
        }
        let is_kept =
            |r: &Record| r.member.state != State::Dead || now.since(r.changed) < DEAD_TO_REMOVED;
        self.records.retain(|_, r| is_kept(r));
    }

    /// Returns `target`, so that it can refute a suspicion, and the members that
    /// changed recently, newest first.
    pub fn updates_for(&self, target: &str, now: Millis) -> Vec<Member> {
        let is_recent =
            |r: &&Record| now.since(r.changed) < GOSSIP_DURATION || r.member.id == target;
        let mut list: Vec<&Record> = self.records.values().filter(is_recent).collect();
        list.sort_by_key(|r| (r.member.id != target, std::cmp::Reverse(r.changed)));
        list.into_iter()
            .take(UPDATES_PER_MESSAGE)
            .map(|r| r.member.clone())
            .collect()
    }

    /// Returns copies of all members that are not dead.
    pub fn all_reachable(&self) -> Vec<Member> {
        self.reachable().cloned().collect()
    }

    fn insert(&mut self, member: Member, now: Millis) {
        if self.records.len() >= MEMBER_LIMIT {
            return;
        }
        let record = Record {
            changed: now,
            heard: Millis::ZERO,
            misses: 0,
            replied: Millis::ZERO,
            probe_state: ProbeState::Idle,
            highest: member.revision,
            member,
        };
        self.records.insert(record.member.id.clone(), record);
        self.had_members = true;
        self.epoch += 1;
    }
}
