//! Conversions between the crashes that a daemon knows and those that it exchanges: the
//! monotonic clocks of daemons differ.

use clock::Millis;
use discovery::{CrashEntry, SuspicionEntry};
use upstreams::{CRASH_TTL, Crash, SharedCrash, Suspicion};

/// The request and the process of the upstream.
pub(super) type CrashKey = (u64, String);

/// Returns the key of a crash.
pub(super) fn key(shared: &SharedCrash) -> CrashKey {
    (shared.fingerprint, shared.crash.upstream.clone())
}

/// Converts a crash for other daemons, whose monotonic clocks differ.
pub(super) fn to_entry(shared: &SharedCrash, now: Millis, wall: Millis) -> CrashEntry {
    let age = CRASH_TTL.since(shared.crash.expires_at.since(now));
    CrashEntry {
        fingerprint: shared.fingerprint,
        upstream: shared.crash.upstream.clone(),
        shard: shared.crash.shard.clone(),
        domain: shared.crash.domain.clone(),
        alone: shared.crash.alone,
        cleared: shared.is_cleared,
        crashed_at: wall - age,
    }
}

pub(super) fn to_shared_crash(entry: &CrashEntry, now: Millis, wall: Millis) -> SharedCrash {
    let age = wall.since(entry.crashed_at);
    let crash = Crash {
        upstream: entry.upstream.clone(),
        shard: entry.shard.clone(),
        domain: entry.domain.clone(),
        alone: entry.alone,
        expires_at: now + CRASH_TTL.since(age),
    };
    SharedCrash {
        fingerprint: entry.fingerprint,
        crash,
        is_cleared: entry.cleared,
        is_own: false,
    }
}

/// Converts a suspicion for other daemons.
pub(super) fn to_suspicion_entry(suspicion: Suspicion) -> SuspicionEntry {
    SuspicionEntry {
        fingerprint: suspicion.fingerprint,
        shard: suspicion.shard,
        domain: suspicion.domain,
    }
}

pub(super) fn to_suspicion(entry: SuspicionEntry) -> Suspicion {
    Suspicion {
        fingerprint: entry.fingerprint,
        shard: entry.shard,
        domain: entry.domain,
    }
}
