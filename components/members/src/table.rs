//! The table of members and the rules by which news is merged into it.

use std::collections::BTreeMap;

use clock::Millis;
use serde::Serialize;

use crate::member::{Member, State};

const MISSES_TO_SUSPECT: u32 = 2;
const SUSPECT_TO_DEAD: Millis = Millis(3_000);
const DEAD_TO_FORGOTTEN: Millis = Millis(30_000);
// News is repeated for this long, so that it reaches every daemon.
const NEWS_AGE: Millis = Millis(10_000);
const NEWS_LENGTH: usize = 16;
const MEMBER_LIMIT: usize = 4_096;

/// What a merge changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Nothing.
    Unchanged,
    /// The set of members that can own upstreams.
    Changed,
    /// This daemon is said to be gone and must raise its incarnation.
    Refute(u64),
}

/// A member with what this daemon observed of it.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Record {
    pub(crate) member: Member,
    /// When the state last changed here.
    pub(crate) changed: Millis,
    /// When the member last answered this daemon; the send time counts.
    pub(crate) heard: Millis,
    pub(crate) misses: u32,
    /// When the member last answered any call.
    pub(crate) replied: Millis,
    pub(crate) silence: Silence,
    /// The highest revision that the member told, before restarts as well.
    pub(crate) highest: u64,
}

/// What is known of a member that left calls unanswered for a while.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum Silence {
    /// It answers.
    #[default]
    None,
    /// It is being asked whether it is there.
    Probed,
    /// It did not answer that either.
    Certain,
}

/// The members that this daemon knows, itself not included.
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

    /// Grows whenever the set of members that can own upstreams changes.
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

    /// Returns the members that are alive, answered the last heartbeat and
    /// are not silent.
    pub fn responsive(&self) -> impl Iterator<Item = &Member> {
        let is_answering = |r: &&Record| r.misses == 0 && r.silence != Silence::Certain;
        let answered = self.records.values().filter(is_answering);
        answered
            .map(|r| &r.member)
            .filter(|m| m.state == State::Alive)
    }

    /// Returns all members that are worth a heartbeat.
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

    /// When a member last answered.
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

    /// Merges what a message says of a member.
    pub fn merge(&mut self, news: Member, now: Millis) -> Effect {
        if news.id == self.me {
            let is_gone = matches!(news.state, State::Suspect | State::Dead);
            return if is_gone {
                Effect::Refute(news.incarnation)
            } else {
                Effect::Unchanged
            };
        }
        let Some(record) = self.records.get_mut(&news.id) else {
            if news.state == State::Dead {
                return Effect::Unchanged;
            }
            self.insert(news, now);
            return Effect::Changed;
        };
        let old = &record.member;
        let wins = (news.incarnation, news.state) > (old.incarnation, old.state);
        if !wins {
            return Effect::Unchanged;
        }
        let moved = old.address != news.address || old.state != news.state;
        if news.incarnation > old.incarnation {
            record.misses = 0;
        }
        record.member = Member {
            revision: news.revision.max(old.revision),
            ..news
        };
        record.changed = now;
        if moved {
            self.epoch += 1;
            return Effect::Changed;
        }
        Effect::Unchanged
    }

    /// Notes that a member answered a heartbeat sent at `sent`.
    pub fn note_heartbeat(&mut self, news: Member, sent: Millis, now: Millis) -> Effect {
        let (id, revision) = (news.id.clone(), news.revision);
        let update = self.merge(news, now);
        if let Some(record) = self.records.get_mut(&id) {
            record.heard = record.heard.max(sent);
            self.epoch += u64::from(record.misses > 0);
            record.misses = 0;
            record.member.revision = revision;
        }
        self.note_reply(&id, now);
        update
    }

    /// Notes that a member answered a call.
    pub fn note_reply(&mut self, id: &str, now: Millis) {
        if let Some(record) = self.records.get_mut(id) {
            record.replied = now;
            self.epoch += u64::from(record.silence == Silence::Certain);
            record.silence = Silence::None;
        }
    }

    /// Returns a member that must be asked whether it is there: it answered
    /// no call since `since` and is not being asked.
    pub fn begin_probe(&mut self, id: &str, since: Millis) -> Option<Member> {
        let record = self.records.get_mut(id)?;
        let is_due = record.replied < since && record.silence == Silence::None;
        is_due.then(|| {
            record.silence = Silence::Probed;
            record.member.clone()
        })
    }

    /// Notes that a member left the probe unanswered. It owns nothing until
    /// it answers; that it is gone is for heartbeats to tell.
    pub fn fail_probe(&mut self, id: &str) {
        let record = self.records.get_mut(id);
        if let Some(record) = record.filter(|r| r.silence == Silence::Probed) {
            record.silence = Silence::Certain;
            self.epoch += 1;
        }
    }

    /// Notes the revision that a member itself told.
    pub fn note_revision(&mut self, id: &str, revision: u64) {
        if let Some(record) = self.records.get_mut(id) {
            record.highest = record.highest.max(revision);
        }
    }

    /// The highest revision that a member told, before restarts as well.
    pub fn highest_revision(&self, id: &str) -> u64 {
        self.records.get(id).map_or(0, |r| r.highest)
    }

    /// Notes that a member did not answer; `refused` if nothing listens there.
    pub fn note_miss(&mut self, id: &str, refused: bool, now: Millis) -> Effect {
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

    /// Turns old suspicions into deaths and forgets old deaths.
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
            |r: &Record| r.member.state != State::Dead || now.since(r.changed) < DEAD_TO_FORGOTTEN;
        self.records.retain(|_, r| is_kept(r));
    }

    /// Returns the members whose state changed lately, newest first, and
    /// always `target`, so that it can refute a suspicion.
    pub fn updates_for(&self, target: &str, now: Millis) -> Vec<Member> {
        let is_news = |r: &&Record| now.since(r.changed) < NEWS_AGE || r.member.id == target;
        let mut list: Vec<&Record> = self.records.values().filter(is_news).collect();
        list.sort_by_key(|r| (r.member.id != target, std::cmp::Reverse(r.changed)));
        list.into_iter()
            .take(NEWS_LENGTH)
            .map(|r| r.member.clone())
            .collect()
    }

    /// Returns all members that are not dead, for a daemon that just joined.
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
            silence: Silence::None,
            highest: member.revision,
            member,
        };
        self.records.insert(record.member.id.clone(), record);
        self.had_members = true;
        self.epoch += 1;
    }
}
