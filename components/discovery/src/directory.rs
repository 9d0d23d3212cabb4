//! The known records, merged by revision.

use std::cmp::Ordering;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

use clock::Millis;
use routes::Configuration;

use crate::entry::{CrashEntry, Decode, Entry, InstanceEntry, Record, UpstreamEntry};
use crate::feed::{Change, Changes, Position, Snapshot, Update};
use crate::history::History;
use crate::rejections::{Rejection, Rejections};

mod cold;
mod records;

/// Records that expired during an outage of the store, or that the backup lacks from
/// which it was restored, are written again within 2 s of its return; the other
/// 300 ms cover the delay of the watch.
const LAPSE_GRACE: Millis = Millis(2_300);
/// How long the last report of a removed upstream is kept, so that a late
/// write of an older report does not bring it back.
const DEPARTED_RETENTION: Millis = Millis(60_000);

struct KnownRecord {
    record: Record,
    entry: Entry,
    /// When a deleted record is dropped; set while its deletion may be a lapse.
    drop_at: Option<Millis>,
    /// When an upstream's cold period ends, as [`Millis::since_boot`] counts.
    cold_until: Millis,
}

struct Departed {
    last_report: (Option<Millis>, u64),
    removed_at: Millis,
}

/// The known state of the system as of a position of the store.
pub struct Directory {
    decoder: Rc<dyn Decode>,
    known: BTreeMap<String, KnownRecord>,
    departed: HashMap<String, Departed>,
    configuration: Option<Rc<Configuration>>,
    history: History,
    position: Position,
    lapse_until: Millis,
    rejections: Rejections,
    /// Returns the time by the clock that includes suspension.
    boot_clock: Rc<dyn Fn() -> Millis>,
}

impl Directory {
    /// Returns an empty directory.
    pub fn new(decoder: Rc<dyn Decode>) -> Self {
        Self::with_clock(decoder, Rc::new(Millis::since_boot))
    }

    /// Returns an empty directory that sees cold periods begin by a clock like
    /// [`Millis::since_boot`].
    pub fn with_clock(decoder: Rc<dyn Decode>, boot_clock: Rc<dyn Fn() -> Millis>) -> Self {
        Self {
            decoder,
            known: BTreeMap::new(),
            departed: HashMap::new(),
            configuration: None,
            history: History::default(),
            position: Position::default(),
            lapse_until: Millis::ZERO,
            rejections: Rejections::default(),
            boot_clock,
        }
    }

    /// Returns the position up to which all changes are applied.
    pub fn position(&self) -> Position {
        self.position
    }

    /// Returns the configuration in force.
    pub fn configuration(&self) -> Option<&Rc<Configuration>> {
        self.configuration.as_ref()
    }

    /// Returns the known upstreams.
    pub fn upstreams(&self) -> impl Iterator<Item = &UpstreamEntry> {
        self.known.values().filter_map(|k| match &k.entry {
            Entry::Upstream(entry) => Some(entry),
            _ => None,
        })
    }

    /// Returns for each upstream by its identifier until when it is cold, as
    /// [`Millis::since_boot`] counts; zero for those that were never cold.
    pub fn cold_ends(&self) -> impl Iterator<Item = (&str, Millis)> {
        self.known.values().filter_map(|k| match &k.entry {
            Entry::Upstream(entry) => Some((entry.id.as_str(), k.cold_until)),
            _ => None,
        })
    }

    /// Returns the registered daemons.
    pub fn instances(&self) -> impl Iterator<Item = &InstanceEntry> {
        self.known.values().filter_map(|k| match &k.entry {
            Entry::Instance(entry) => Some(entry),
            _ => None,
        })
    }

    /// Returns the failure domains to whose upstreams nothing is sent.
    pub fn evacuated(&self) -> impl Iterator<Item = &str> {
        self.known.values().filter_map(|k| match &k.entry {
            Entry::Evacuation(domain) => Some(domain.as_str()),
            _ => None,
        })
    }

    /// Returns the upstreams that crashed during requests.
    pub fn crashes(&self) -> impl Iterator<Item = &CrashEntry> {
        self.known.values().filter_map(|k| match &k.entry {
            Entry::Crash(entry) => Some(entry),
            _ => None,
        })
    }

    /// Returns what a peer at the position `after` needs to become current; nothing
    /// if it is in a later epoch.
    pub fn update_since(&self, after: Position) -> Update {
        let known = match after.epoch.cmp(&self.position.epoch) {
            Ordering::Less => None,
            Ordering::Equal => self.history.since(after.revision),
            Ordering::Greater => Some(Vec::new()),
        };
        match known {
            Some(list) => Update::Changes(Changes {
                list,
                at: self.position,
            }),
            None => Update::Snapshot(self.snapshot()),
        }
    }

    /// Applies the update of a peer; `true` if the state of an entry has changed.
    pub fn apply_update(&mut self, update: Update, now: Millis) -> bool {
        match update {
            Update::Snapshot(snapshot) => self.replace(snapshot, now),
            Update::Changes(changes) => self.apply(changes, now),
        }
    }

    /// Returns all records without those whose deletion may be a lapse.
    pub fn snapshot(&self) -> Snapshot {
        let present = self.known.values().filter(|k| k.drop_at.is_none());
        Snapshot {
            records: present.map(|k| k.record.clone()).collect(),
            at: self.position,
        }
    }

    /// Records what the store holds and could not be read.
    pub fn reject(&mut self, unreadable: Vec<Rejection>) {
        unreadable.into_iter().for_each(|r| self.rejections.add(r));
    }

    /// Returns reports of the records that can't be used, with keys and errors, since the last
    /// call. Each is reported once until it can be used or is deleted, and not all if there
    /// are many.
    pub fn take_rejected(&mut self) -> Vec<String> {
        self.rejections.take()
    }

    /// Starts the grace period after an outage of the store, in which records that
    /// are missing now may be written again.
    pub fn record_reconnect(&mut self, now: Millis) {
        self.record_lapse(LAPSE_GRACE, now);
    }

    /// Keeps records that go missing within `left` until it ends, because they may
    /// be written again.
    pub fn record_lapse(&mut self, left: Millis, now: Millis) {
        self.lapse_until = self.lapse_until.max(now + left);
    }

    /// Returns for how long missing records may still be written again.
    pub fn lapse_left(&self, now: Millis) -> Millis {
        self.lapse_until.since(now)
    }

    /// Applies changes unless they are of another epoch; `true` if the state of an
    /// entry has changed.
    pub fn apply(&mut self, changes: Changes, now: Millis) -> bool {
        let mut is_changed = false;
        if changes.at.epoch != self.position.epoch {
            return is_changed;
        }
        for change in changes.list {
            if change.revision() > self.position.revision {
                self.history.add(change.clone());
            }
            is_changed |= match change {
                Change::Put(record) if self.is_ended_evacuation(&record) => false,
                Change::Put(record) => self.put(record),
                Change::Delete { key, revision } => self.delete(&key, revision, now),
            };
        }
        self.position = self.position.max(changes.at);
        is_changed
    }

    /// Replaces all records with a snapshot unless it is older; `true` if the
    /// state of an entry has changed. Records that a restored store
    /// lacks are kept for as long as they may be written again.
    pub fn replace(&mut self, snapshot: Snapshot, now: Millis) -> bool {
        if snapshot.at < self.position {
            return false;
        }
        if snapshot.at.epoch > self.position.epoch {
            self.start_epoch(now);
        }
        let listed: std::collections::HashSet<&str> =
            snapshot.records.iter().map(|r| r.key.as_str()).collect();
        let missing: Vec<String> = self
            .known
            .keys()
            .filter(|key| !listed.contains(key.as_str()))
            .cloned()
            .collect();
        let mut is_changed = false;
        for key in missing {
            is_changed |= self.delete(&key, snapshot.at.revision, now);
        }
        for record in snapshot.records {
            is_changed |= self.put(record);
        }
        self.position = snapshot.at;
        self.history.reset(self.position.revision);
        is_changed
    }

    /// Makes the known records older than any of the new epoch, whose revisions start
    /// again.
    fn start_epoch(&mut self, now: Millis) {
        for known in self.known.values_mut() {
            known.record.revision = 0;
        }
        if !self.known.is_empty() {
            self.record_reconnect(now);
        }
    }

    /// Drops records that were not written again after a lapse; `true` if there
    /// were any.
    pub fn expire(&mut self, now: Millis) -> bool {
        self.departed
            .retain(|_, d| now.since(d.removed_at) < DEPARTED_RETENTION);
        let is_due = |k: &KnownRecord| k.drop_at.is_some_and(|at| at <= now);
        let due: Vec<String> = self
            .known
            .iter()
            .filter(|(_, k)| is_due(k))
            .map(|(key, _)| key.clone())
            .collect();
        due.iter().for_each(|key| self.remove(key, now));
        !due.is_empty()
    }
}
