//! Merges the parts of one search and drops parts that do not belong to it.

use std::collections::BTreeMap;

use bytes::Bytes;
use clock::Millis;
use schema::Part;
use serde_json::value::RawValue;
use telemetry::names;
use upstreams::{DataVersion, Failure, Ran, Reason};

use crate::answer::MissingShard;

/// The parts of one search, all of one snapshot.
pub struct Merge {
    request_id: String,
    version: DataVersion,
    parts: BTreeMap<String, Option<Box<RawValue>>>,
    failures: BTreeMap<String, Failure>,
    // Whether work without a part here ran: abandoned calls, other rounds.
    discarded: Ran,
}

impl Merge {
    /// Returns an empty merge of the requested shards.
    pub fn new(request_id: &str, version: &DataVersion, requested: &[String]) -> Self {
        let parts = requested
            .iter()
            .map(|shard| (shard.clone(), None))
            .collect();
        let request_id = request_id.to_owned();
        Self {
            request_id,
            version: version.clone(),
            parts,
            failures: BTreeMap::new(),
            discarded: Ran::No,
        }
    }

    /// Adds a part; one of another request, snapshot, partitioning or shard is
    /// dropped and counted.
    pub fn add(&mut self, part: Part) {
        let is_matching = part.request_id == self.request_id
            && part.snapshot == self.version.snapshot
            && part.partitioning == self.version.partitioning
            && self.parts.contains_key(&part.shard);
        if !is_matching {
            metrics::counter!(names::MISMATCHES_TOTAL).increment(1);
            return;
        }
        if !part.covered {
            let reason = Reason::find(&part.reason).unwrap_or(Reason::UpstreamError);
            let ran = Ran::from(part.ran);
            return self.fail(
                &part.shard,
                Failure {
                    reason,
                    ran,
                    retry_after: Millis(part.retry_after_ms),
                },
            );
        }
        match decode_rows(part.rows) {
            Some(rows) => {
                self.parts.insert(part.shard, Some(rows));
            }
            None => self.fail(
                &part.shard,
                Failure {
                    ran: Ran::Yes,
                    ..Failure::not_run(Reason::UpstreamError)
                },
            ),
        }
    }

    /// Records why a shard has no rows.
    pub fn fail(&mut self, shard: &str, failure: Failure) {
        self.failures.insert(shard.to_owned(), failure);
    }

    /// Returns the number of covered shards.
    pub fn covered_count(&self) -> usize {
        self.parts.values().flatten().count()
    }

    /// Records the same failure for the shards that have no outcome yet.
    pub fn fail_rest(&mut self, shards: &[String], failure: &Failure) {
        for shard in shards {
            let has_rows = self.parts.get(shard).is_some_and(Option::is_some);
            if !has_rows && !self.failures.contains_key(shard) {
                self.fail(shard, failure.clone());
            }
        }
    }

    /// Whether an owner lacks the snapshot, so that another one might cover more.
    pub fn lacks_snapshot(&self) -> bool {
        self.failures
            .values()
            .any(|f| f.reason == Reason::SnapshotNotHeld)
    }

    /// Records whether work that leaves no part here ran.
    pub fn record_discarded(&mut self, ran: Ran) {
        self.discarded = self.discarded.max(ran);
    }

    /// Whether any part of the search was executed, or may have been.
    pub fn ran(&self) -> Ran {
        let failed = self
            .failures
            .values()
            .map(|f| f.ran)
            .max()
            .unwrap_or(Ran::No);
        match self.covered_count() {
            0 => failed.max(self.discarded),
            _ => Ran::Yes,
        }
    }

    /// Returns the failure that best explains a refusal of the whole search.
    pub fn main_failure(&self) -> Failure {
        let weight = |f: &&Failure| match f.reason {
            Reason::Quarantined => 2,
            Reason::Overloaded => 1,
            _ => 0,
        };
        let main = self.failures.values().max_by_key(weight).cloned();
        let retry_after = self
            .failures
            .values()
            .map(|f| f.retry_after)
            .max()
            .unwrap_or_default();
        let main = main.unwrap_or_else(|| Failure::unknown(Reason::Timeout));
        Failure {
            ran: self.ran(),
            retry_after,
            ..main
        }
    }

    /// Returns the covered shards, the missing shards and the rows by shard.
    pub fn finish(
        self,
    ) -> (
        Vec<String>,
        Vec<MissingShard>,
        BTreeMap<String, Box<RawValue>>,
    ) {
        let mut missing = Vec::new();
        let mut rows = BTreeMap::new();
        for (shard, part) in self.parts {
            match part {
                Some(part) => {
                    rows.insert(shard, part);
                }
                None => {
                    let reason = self
                        .failures
                        .get(&shard)
                        .map_or(Reason::Timeout, |f| f.reason);
                    missing.push(MissingShard {
                        shard,
                        reason: reason.name().to_owned(),
                    });
                }
            }
        }
        (rows.keys().cloned().collect(), missing, rows)
    }
}

fn decode_rows(rows: Vec<u8>) -> Option<Box<RawValue>> {
    let text = String::from_utf8(rows).ok()?;
    RawValue::from_string(text).ok()
}

/// Decodes an upstream's answer to a booking.
pub(crate) fn decode_result(body: &Bytes) -> Option<Box<RawValue>> {
    decode_rows(body.to_vec())
}
