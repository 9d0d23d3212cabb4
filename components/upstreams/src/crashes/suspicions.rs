//! Requests that an upstream has not answered since it fell silent. It may not have ended, or
//! not by them, so that they are never refused for that.

use std::cell::RefCell;
use std::collections::HashMap;

use clock::Millis;

/// Time for which a suspicion lasts: most upstreams are back by then.
const TTL: Millis = Millis(10_000);
/// Requests whose suspicions are kept, and suspicions that peers are to be told of.
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
    /// By the digest of the request.
    known: RefCell<HashMap<u64, Vec<Known>>>,
    /// Those that peers were not told of.
    unsent: RefCell<Vec<Suspicion>>,
}

impl Suspicions {
    /// Adds a suspicion, or renews it; `true` if it is new.
    pub(super) fn add(&self, suspicion: Suspicion, now: Millis) -> bool {
        let mut known = self.known.borrow_mut();
        if known.len() >= LIMIT && !known.contains_key(&suspicion.fingerprint) {
            make_room(&mut known, now);
        }
        let expires_at = now + TTL;
        let of_request = known.entry(suspicion.fingerprint).or_default();
        of_request.retain(|k| k.expires_at > now);
        match of_request.iter_mut().find(|k| k.suspicion == suspicion) {
            Some(known) => {
                known.expires_at = expires_at;
                false
            }
            None => {
                of_request.push(Known {
                    suspicion,
                    expires_at,
                });
                true
            }
        }
    }

    /// Adds a suspicion as [`Suspicions::add`] does; peers are to be told of a new one.
    pub(super) fn add_own(&self, suspicion: Suspicion, now: Millis) -> bool {
        let is_new = self.add(suspicion.clone(), now);
        let mut unsent = self.unsent.borrow_mut();
        if is_new && unsent.len() < LIMIT {
            unsent.push(suspicion);
        }
        is_new
    }

    /// Returns the own suspicions since the last call.
    pub(super) fn take_unsent(&self) -> Vec<Suspicion> {
        self.unsent.take()
    }

    /// Whether a request is suspected.
    pub(super) fn contains(&self, fingerprint: u64, now: Millis) -> bool {
        let known = self.known.borrow();
        let of_request = known.get(&fingerprint);
        of_request.is_some_and(|all| all.iter().any(|k| k.expires_at > now))
    }

    /// Returns the failure domains of the upstreams that a request may have ended.
    pub(super) fn domains(&self, fingerprint: u64, now: Millis) -> Vec<String> {
        let known = self.known.borrow();
        let of_request = known.get(&fingerprint).into_iter().flatten();
        let valid = of_request.filter(|k| k.expires_at > now);
        valid.map(|k| k.suspicion.domain.clone()).collect()
    }

    /// Removes the suspicions of a request for a shard, as it was answered; `true` if there
    /// were any.
    pub(super) fn clear(&self, fingerprint: u64, shard: &str) -> bool {
        let mut known = self.known.borrow_mut();
        let Some(of_request) = known.get_mut(&fingerprint) else {
            return false;
        };
        let before = of_request.len();
        of_request.retain(|k| k.suspicion.shard != shard);
        let is_cleared = of_request.len() < before;
        if of_request.is_empty() {
            known.remove(&fingerprint);
        }
        is_cleared
    }
}

/// Drops the requests whose suspicions have expired, or else the one that expires first.
fn make_room(known: &mut HashMap<u64, Vec<Known>>, now: Millis) {
    let expiry = |all: &Vec<Known>| all.iter().map(|k| k.expires_at).max();
    known.retain(|_, all| expiry(all) > Some(now));
    if known.len() < LIMIT {
        return;
    }
    let first = known.iter().min_by_key(|(_, all)| expiry(all));
    if let Some(fingerprint) = first.map(|(f, _)| *f) {
        known.remove(&fingerprint);
    }
}
