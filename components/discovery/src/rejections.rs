//! Records that can't be used, each reported once: they stay in the store, are read again and
//! can be written again and again.

use std::collections::HashMap;
use std::fmt;

/// Records that are reported; further ones only as such.
const RECORDS: usize = 100;
/// Reasons that are reported for one record.
const REASONS: usize = 4;
/// Longest part of a reason that is reported, in characters: it can quote the record.
const REASON_CHARS: usize = 300;

/// A record that can't be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// Its key; empty if that can't be read.
    pub key: String,
    /// Why it can't be used.
    pub reason: String,
}

impl fmt::Display for Rejection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.key.as_str() {
            "" => write!(f, "an item without a readable key: {}", self.reason),
            key => write!(f, "{key}: {}", self.reason),
        }
    }
}

/// The records that were reported, and the reports that are not fetched yet.
#[derive(Default)]
pub(crate) struct Rejections {
    /// The reasons by key.
    reported: HashMap<String, Vec<String>>,
    /// Whether there were more records than are reported.
    is_full: bool,
    reports: Vec<String>,
}

impl Rejections {
    /// Adds a record that can't be used; reports it unless that was done before.
    pub(crate) fn add(&mut self, mut rejection: Rejection) {
        rejection.reason = rejection.reason.chars().take(REASON_CHARS).collect();
        let count = self.reported.len();
        let reasons = match self.reported.get_mut(&rejection.key) {
            Some(reasons) => reasons,
            None if count >= RECORDS => return self.report_full(),
            None => self.reported.entry(rejection.key.clone()).or_default(),
        };
        if reasons.len() < REASONS && !reasons.contains(&rejection.reason) {
            reasons.push(rejection.reason.clone());
            self.reports.push(rejection.to_string());
        }
    }

    fn report_full(&mut self) {
        if !std::mem::replace(&mut self.is_full, true) {
            let report = format!("more than {RECORDS} records can't be used");
            self.reports.push(report);
        }
    }

    /// Forgets a record that can be used now or is deleted: it is reported if it can't be
    /// used later.
    pub(crate) fn forget(&mut self, key: &str) {
        if self.reported.remove(key).is_some() {
            self.is_full = false;
        }
    }

    /// Returns the reports since the last call.
    pub(crate) fn take(&mut self) -> Vec<String> {
        std::mem::take(&mut self.reports)
    }
}
