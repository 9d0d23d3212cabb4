//! What daemons tell each other about crashes: reports in messages between peers,
//! and crashes that all daemons keep in common.

use clock::Millis;
use schema::CrashReport;

use super::{CRASH_TTL, Crash, CrashStatus, CrashTable};

const SENT_REPORTS_LIMIT: usize = 64;

/// A crash with its request, as daemons tell each other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SharedCrash {
    /// Digest of the request.
    pub fingerprint: u64,
    /// The crash.
    pub crash: Crash,
    /// Whether a later success of the request voided it.
    pub is_cleared: bool,
    /// Whether this daemon saw the crash itself.
    pub is_own: bool,
}

impl CrashTable {
    /// Merges a peer's reports into the table.
    pub fn merge(&self, reports: &[CrashReport], now: Millis) {
        let (cleared, crashes): (Vec<&CrashReport>, Vec<&CrashReport>) =
            reports.iter().partition(|r| r.cleared);
        for report in cleared {
            let crash = crash_of(report, now);
            let cleared = crash.expires_at;
            match report.upstream.is_empty() {
                // Sent by daemons that don't list the crashes that are cleared.
                true => {
                    self.clear_if(report.fingerprint, cleared, now, |_| true);
                }
                false => self.merge_cleared(report.fingerprint, crash, cleared, now),
            }
        }
        for report in crashes {
            let crash = crash_of(report, now);
            self.update(report.fingerprint, now, |entry| entry.add(crash, now));
        }
    }

    /// Merges a crash that daemons keep in common. Its upstream runs once, so
    /// that a known crash is not renewed.
    ///
    /// Returns `true` if that quarantines the request.
    pub fn merge_shared(&self, shared: SharedCrash, now: Millis) -> bool {
        let fingerprint = shared.fingerprint;
        if now >= shared.crash.expires_at {
            return false;
        }
        if shared.is_cleared {
            self.merge_cleared(fingerprint, shared.crash, now + CRASH_TTL, now);
            return false;
        }
        self.update(fingerprint, now, |entry| entry.add_once(shared.crash, now))
    }

    fn merge_cleared(&self, fingerprint: u64, crash: Crash, cleared: Millis, now: Millis) {
        let status = self.status(fingerprint, now);
        if !matches!(status, CrashStatus::Quarantined { .. }) {
            self.update(fingerprint, now, |entry| {
                entry.clear_crash(crash, cleared, now)
            });
        }
    }

    /// Returns all crashes that have not expired.
    pub fn shared(&self, now: Millis) -> Vec<SharedCrash> {
        let entries = self.entries.borrow();
        let crashes = entries.iter().flat_map(|(&fingerprint, entry)| {
            entry.valid(now).map(move |known| SharedCrash {
                fingerprint,
                crash: known.crash.clone(),
                is_cleared: known.cleared.is_some(),
                is_own: known.is_own,
            })
        });
        crashes.collect()
    }

    /// Returns the reports for a message to a peer: those of quarantined requests
    /// first, then the newest.
    pub fn collect(&self, now: Millis) -> Vec<CrashReport> {
        let entries = self.entries.borrow();
        let mut list: Vec<(bool, CrashReport)> = entries
            .iter()
            .flat_map(|(fingerprint, e)| {
                let is_open = self.quarantine_end(&entries, *fingerprint, now).is_none();
                let reports = e.reports(*fingerprint, now).into_iter();
                reports.map(move |report| (is_open, report))
            })
            .collect();
        list.sort_by_key(|(is_open, r)| (*is_open, r.age_ms));
        list.truncate(SENT_REPORTS_LIMIT);
        list.into_iter().map(|(_, report)| report).collect()
    }
}

fn crash_of(report: &CrashReport, now: Millis) -> Crash {
    Crash {
        upstream: report.upstream.clone(),
        shard: report.shard.clone(),
        domain: report.domain.clone(),
        alone: report.alone,
        expires_at: now + CRASH_TTL.since(Millis(report.age_ms)),
    }
}
