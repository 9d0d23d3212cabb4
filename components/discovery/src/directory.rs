//! The known records, merged by revision.

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

use clock::Millis;
use routes::Configuration;

use crate::entry::{CrashEntry, Decode, Entry, InstanceEntry, Record, UpstreamEntry};
use crate::feed::{Change, Changes, Snapshot, Update};
use crate::history::History;

/// Records that expired during an outage of the store are written again within
/// 2 s of its return; the other 300 ms cover the delay of the watch.
const LAPSE_GRACE: Millis = Millis(2_300);
/// How long the last report of a removed upstream is kept, so that a late
/// write of an older report does not bring it back.
const DEPARTED_RETENTION: Millis = Millis(60_000);

struct KnownRecord {
    record: Record,
    entry: Entry,
    // When a deleted record is dropped; set while its deletion may be a lapse.
    drop_at: Option<Millis>,
}

struct Departed {
    last_report: (Option<Millis>, u64),
    removed_at: Millis,
}

/// The known state of the system as of a revision.
pub struct Directory {
    decoder: Rc<dyn Decode>,
    known: BTreeMap<String, KnownRecord>,
    departed: HashMap<String, Departed>,
    configuration: Option<(u64, Rc<Configuration>)>,
    history: History,
    revision: u64,
    lapse_until: Millis,
    rejected: Vec<String>,
}

impl Directory {
    /// Returns an empty directory.
    pub fn new(decoder: Rc<dyn Decode>) -> Self {
        Self {
            decoder,
            known: BTreeMap::new(),
            departed: HashMap::new(),
            configuration: None,
            history: History::default(),
            revision: 0,
            lapse_until: Millis::ZERO,
            rejected: Vec::new(),
        }
    }

    /// Returns the revision up to which all changes are applied.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the configuration in force with the revision of its record.
    pub fn configuration(&self) -> Option<(u64, Rc<Configuration>)> {
        self.configuration.clone()
    }

    /// Returns the known upstreams.
    pub fn upstreams(&self) -> impl Iterator<Item = &UpstreamEntry> {
        self.known.values().filter_map(|k| match &k.entry {
            Entry::Upstream(entry) => Some(entry),
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

    /// Returns the upstreams that ended under requests.
    pub fn crashes(&self) -> impl Iterator<Item = &CrashEntry> {
        self.known.values().filter_map(|k| match &k.entry {
            Entry::Crash(entry) => Some(entry),
            _ => None,
        })
    }

    /// Returns what a peer at the revision `after` needs to become current.
    pub fn update_since(&self, after: u64) -> Update {
        match self.history.since(after) {
            Some(list) => Update::Changes(Changes {
                list,
                revision: self.revision,
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

    /// Returns all records.
    pub fn snapshot(&self) -> Snapshot {
        Snapshot {
            records: self.known.values().map(|k| k.record.clone()).collect(),
            revision: self.revision,
        }
    }

    /// Returns the keys and errors of the records that could not be decoded
    /// since the last call.
    pub fn take_rejected(&mut self) -> Vec<String> {
        std::mem::take(&mut self.rejected)
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

    /// Applies changes; `true` if the state of an entry has changed.
    pub fn apply(&mut self, changes: Changes, now: Millis) -> bool {
        let mut is_changed = false;
        for change in changes.list {
            if change.revision() > self.revision {
                self.history.add(change.clone());
            }
            is_changed |= match change {
                Change::Put(record) => self.put(record),
                Change::Delete { key, revision } => self.delete(&key, revision, now),
            };
        }
        self.revision = self.revision.max(changes.revision);
        is_changed
    }

    /// Replaces all records with a snapshot unless it is older; `true` if the
    /// state of an entry has changed.
    pub fn replace(&mut self, snapshot: Snapshot, now: Millis) -> bool {
        if snapshot.revision < self.revision {
            return false;
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
            is_changed |= self.delete(&key, snapshot.revision, now);
        }
        for record in snapshot.records {
            is_changed |= self.put(record);
        }
        self.revision = snapshot.revision;
        self.history.reset(self.revision);
        is_changed
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

    fn put(&mut self, record: Record) -> bool {
        let known = self.known.get(&record.key);
        if known.is_some_and(|k| k.record.revision >= record.revision && k.drop_at.is_none()) {
            return false;
        }
        let entry = match self.decoder.decode(&record) {
            Ok(Entry::Foreign) => return false,
            Ok(entry) => entry,
            Err(reason) => {
                self.rejected.push(format!("{}: {reason}", record.key));
                return false;
            }
        };
        match entry {
            Entry::Configuration(configuration) => {
                self.configuration = Some((record.revision, configuration.clone()));
                self.insert(record, Entry::Configuration(configuration));
                true
            }
            Entry::Upstream(entry) => self.put_upstream(record, entry),
            entry => {
                let is_changed = known.is_none_or(|k| k.entry != entry);
                self.insert(record, entry);
                is_changed
            }
        }
    }

    /// Stores an upstream's report unless a newer one is known: a report that
    /// is written late must not undo a newer one.
    fn put_upstream(&mut self, record: Record, entry: UpstreamEntry) -> bool {
        let known = match self.known.get(&record.key).map(|k| (&k.entry, k.drop_at)) {
            Some((Entry::Upstream(known), drop_at)) => Some((known, drop_at)),
            _ => None,
        };
        let departed = self.departed.get(&record.key);
        let newest = known
            .map(|(k, _)| k.report_key())
            .or(departed.map(|d| d.last_report));
        let is_old = newest.is_some_and(|newest| is_before(entry.report_key(), newest));
        if is_old {
            return false;
        }
        let is_changed =
            known.is_none_or(|(k, drop_at)| drop_at.is_some() || !k.is_same_state(&entry));
        self.departed.remove(&record.key);
        self.insert(record, Entry::Upstream(entry));
        is_changed
    }

    fn insert(&mut self, record: Record, entry: Entry) {
        let known = KnownRecord {
            record: record.clone(),
            entry,
            drop_at: None,
        };
        self.known.insert(record.key, known);
    }

    fn delete(&mut self, key: &str, revision: u64, now: Millis) -> bool {
        let Some(known) = self.known.get_mut(key) else {
            return false;
        };
        // The configuration stays in force until another one replaces it.
        let is_configuration = matches!(known.entry, Entry::Configuration(_));
        if known.record.revision > revision || is_configuration {
            return false;
        }
        if now < self.lapse_until {
            known.drop_at.get_or_insert(self.lapse_until);
            return false;
        }
        self.remove(key, now);
        true
    }

    fn remove(&mut self, key: &str, now: Millis) {
        let Some(known) = self.known.remove(key) else {
            return;
        };
        if let Entry::Upstream(entry) = known.entry {
            let departed = Departed {
                last_report: entry.report_key(),
                removed_at: now,
            };
            self.departed.insert(key.to_owned(), departed);
        }
    }
}

/// Whether a report is older than another; a start time can't be compared with
/// a missing one, so that neither report counts as older then.
fn is_before(report: (Option<Millis>, u64), other: (Option<Millis>, u64)) -> bool {
    match (report.0, other.0) {
        (Some(a), Some(b)) if a != b => a < b,
        (Some(_), None) | (None, Some(_)) => false,
        _ => report.1 < other.1,
    }
}
