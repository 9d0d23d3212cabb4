//! Changes of single records: which of two reports or configurations is newer, and
//! when a deletion takes effect.

use std::rc::Rc;

use clock::Millis;
use routes::Configuration;

use super::cold::{ColdEnd, cold_end};
use super::{Departed, Directory, KnownRecord};
use crate::entry::{Entry, Record, UpstreamEntry};
use crate::rejections::Rejection;

impl Directory {
    pub(super) fn put(&mut self, record: Record) -> bool {
        let known = self.known.get(&record.key);
        let is_known =
            known.is_some_and(|k| k.record.revision >= record.revision && k.drop_at.is_none());
        let is_configuration = known.is_some_and(|k| matches!(k.entry, Entry::Configuration(_)));
        if is_known && !is_configuration {
            return false;
        }
        let entry = match self.decoder.decode(&record) {
            Ok(Entry::Foreign) => return false,
            Ok(entry) => entry,
            Err(reason) => {
                let key = record.key;
                self.rejections.add(Rejection { key, reason });
                return false;
            }
        };
        self.rejections.forget(&record.key);
        match entry {
            Entry::Configuration(read) => self.put_configuration(record, read, is_known),
            Entry::Upstream(entry) => self.put_upstream(record, entry),
            entry => {
                let is_changed = known.is_none_or(|k| k.entry != entry);
                self.insert(record, entry);
                is_changed
            }
        }
    }

    /// Puts a configuration in force unless a higher version is: a restored
    /// store may hold an older one.
    fn put_configuration(
        &mut self,
        record: Record,
        read: Rc<Configuration>,
        is_known: bool,
    ) -> bool {
        let is_changed = match &self.configuration {
            Some(known) if read.version < known.version => return false,
            Some(known) if read.version == known.version && is_known => return false,
            Some(known) => **known != *read,
            None => true,
        };
        if is_changed {
            self.configuration = Some(read.clone());
        }
        self.insert(record, Entry::Configuration(read));
        is_changed
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
        let cold = self.cold_end(&record.key, &entry);
        let is_limited = self.cold_rate(&entry.service).is_some();
        self.departed.remove(&record.key);
        let key = record.key.clone();
        self.insert(record, Entry::Upstream(entry));
        if let Some(known) = self.known.get_mut(&key) {
            known.cold_until = cold.until;
        }
        is_changed || (is_limited && cold.is_changed)
    }

    /// Returns the end of an upstream's cold period after a report. The same report may be
    /// read again, such as after a restore of the store, and says nothing new then.
    fn cold_end(&self, key: &str, entry: &UpstreamEntry) -> ColdEnd {
        let known = self.known.get(key);
        let until = known.map_or(Millis::ZERO, |k| k.cold_until);
        let is_repeated = match known.map(|k| &k.entry) {
            Some(Entry::Upstream(known)) => known.report_key() == entry.report_key(),
            _ => false,
        };
        match is_repeated {
            true => ColdEnd {
                until,
                is_changed: false,
            },
            false => cold_end(until, entry.cold_remaining, (self.boot_clock)()),
        }
    }

    /// Returns the rate of requests that cold upstreams of a service take.
    fn cold_rate(&self, service: &str) -> Option<f64> {
        let configuration = self.configuration.as_ref()?;
        configuration.services.get(service)?.cold_rate
    }

    fn insert(&mut self, record: Record, entry: Entry) {
        let known = KnownRecord {
            record: record.clone(),
            entry,
            drop_at: None,
            cold_until: Millis::ZERO,
        };
        self.known.insert(record.key, known);
    }

    /// Whether a record is an evacuation that is known to have ended: a peer that lags
    /// behind may send it after its deletion, and no other change would end it again.
    pub(super) fn is_ended_evacuation(&self, record: &Record) -> bool {
        record.revision <= self.position.revision
            && !self.known.contains_key(&record.key)
            && matches!(self.decoder.decode(record), Ok(Entry::Evacuation(_)))
    }

    pub(super) fn delete(&mut self, key: &str, revision: u64, now: Millis) -> bool {
        self.rejections.forget(key);
        let Some(known) = self.known.get_mut(key) else {
            return false;
        };
        // The configuration stays in force until another one replaces it.
        let is_configuration = matches!(known.entry, Entry::Configuration(_));
        if known.record.revision > revision || is_configuration {
            return false;
        }
        // Evacuations have no lease, so that they can't expire by an outage of the store.
        let can_lapse = !matches!(known.entry, Entry::Evacuation(_));
        if can_lapse && now < self.lapse_until {
            known.drop_at = Some(self.lapse_until);
            return false;
        }
        self.remove(key, now);
        true
    }

    pub(super) fn remove(&mut self, key: &str, now: Millis) {
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
