//! Requests that an upstream has not answered since it fell silent. It may not have ended, or
//! not by them, so that they are never refused for that.

use std::cell::RefCell;

use clock::Millis;

/// Time for which a suspicion lasts: most upstreams are back by then.
const TTL: Millis = Millis(10_000);
/// Suspicions that are kept; the oldest gives way.
const LIMIT: usize = 1_024;

/// A request that may have ended an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Suspicion {
    /// Digest of the request.
    pub fingerprint: u64,
    /// Shard for which the request ran.
    pub shard: String,
    /// Failure domain of the upstream.
    pub domain: String,
}

#[derive(Debug)]
struct Known {
    suspicion: Suspicion,
    expires_at: Millis,
}

/// The suspicions of a daemon.
#[derive(Debug, Default)]
pub(super) struct Suspicions {
    known: RefCell<Vec<Known>>,
    /// Those that peers were not told of.
    unsent: RefCell<Vec<Suspicion>>,
}

impl Suspicions {
    /// Adds a suspicion, or renews it.
    pub(super) fn add(&self, suspicion: Suspicion, now: Millis) {
        let mut known = self.known.borrow_mut();
        known.retain(|k| k.expires_at > now && k.suspicion != suspicion);
        if known.len() >= LIMIT {
            known.remove(0);
        }
        known.push(Known {
            suspicion,
            expires_at: now + TTL,
        });
    }

    /// Adds a suspicion that peers are to be told of.
    pub(super) fn add_own(&self, suspicion: Suspicion, now: Millis) {
        self.unsent.borrow_mut().push(suspicion.clone());
        self.add(suspicion, now);
    }

    /// Returns the own suspicions since the last call.
    pub(super) fn take_unsent(&self) -> Vec<Suspicion> {
        self.unsent.take()
    }

    /// Whether a request is suspected.
    pub(super) fn contains(&self, fingerprint: u64, now: Millis) -> bool {
        !self.domains(fingerprint, now).is_empty()
    }

    /// Returns the failure domains of the upstreams that a request may have ended.
    pub(super) fn domains(&self, fingerprint: u64, now: Millis) -> Vec<String> {
        let known = self.known.borrow();
        let valid = known.iter().filter(|k| k.expires_at > now);
        let of_request = valid.filter(|k| k.suspicion.fingerprint == fingerprint);
        of_request.map(|k| k.suspicion.domain.clone()).collect()
    }

    /// Removes the suspicions of a request for a shard, as it was answered; `true` if there
    /// were any.
    pub(super) fn clear(&self, fingerprint: u64, shard: &str) -> bool {
        let mut known = self.known.borrow_mut();
        let before = known.len();
        known.retain(|k| k.suspicion.fingerprint != fingerprint || k.suspicion.shard != shard);
        known.len() < before
    }
}
