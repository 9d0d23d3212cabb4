//! Which daemon runs a search, where the processors of the daemons differ. No I/O.
//!
//! A search over tens of shards takes several milliseconds of processor time. On a tenth
//! of a core that alone is longer than the objective of urgent searches, so a daemon with
//! a small processor hands its searches to one with a larger one.

use std::net::SocketAddr;

use clock::Millis;
use discovery::InstanceEntry;

/// A daemon hands searches to those with this many times its processor; a smaller gain
/// does not pay for the way there and back.
const MIN_GAIN: u32 = 2;

/// Processor time to read an answer and to pass it on.
const ANSWER_CPU_MICROS: u64 = 400;
/// Bound for the smallest processors.
const MAX_ANSWER_TIME: Millis = Millis(10);

/// Returns the daemons that searches may be handed to: those with a much larger
/// processor, of the own failure domain if there are any. `own` need not be registered
/// yet, as right after a start.
pub fn delegates<'a>(
    instances: impl Iterator<Item = &'a InstanceEntry>,
    own: &InstanceEntry,
) -> Vec<SocketAddr> {
    let is_larger = |i: &&InstanceEntry| {
        own.millicores > 0 && i.millicores >= own.millicores.saturating_mul(MIN_GAIN)
    };
    let larger: Vec<&InstanceEntry> = instances.filter(is_larger).collect();
    let near = larger.iter().filter(|i| i.domain == own.domain);
    let near: Vec<SocketAddr> = near.map(|i| i.address).collect();
    match near.is_empty() {
        true => larger.iter().map(|i| i.address).collect(),
        false => near,
    }
}

/// Returns how long a daemon needs to read an answer of another one and to pass it on;
/// zero if its processor is not known.
pub fn answer_time(millicores: u32) -> Millis {
    match u64::from(millicores) {
        0 => Millis::ZERO,
        // A thousandth of a core does a millisecond's work of a core in a second.
        share => Millis(ANSWER_CPU_MICROS / share).min(MAX_ANSWER_TIME),
    }
}

/// Returns among how many daemons like this one everything is divided that all daemons
/// share: the work follows the processors, so the shares of connections and budgets do
/// too. It is the number of daemons if their processors are equal or not all known.
pub fn equal_daemons<'a>(
    instances: impl Iterator<Item = &'a InstanceEntry>,
    me: SocketAddr,
) -> f64 {
    let weights = weights(instances);
    let own = weights.iter().find(|(address, _)| *address == me);
    weights.len().max(1) as f64 / own.map_or(1.0, |(_, weight)| *weight)
}

/// Returns the sum of the shares of the daemons before this one, in the order of
/// `instances`, where each daemon's share is one divided by its [`equal_daemons`].
pub fn share_before<'a>(instances: impl Iterator<Item = &'a InstanceEntry>, me: SocketAddr) -> f64 {
    let weights = weights(instances);
    let before = weights.iter().take_while(|(address, _)| *address != me);
    before.map(|(_, weight)| weight).sum::<f64>() / weights.len().max(1) as f64
}

/// Returns the processor of each daemon as a multiple of the mean. All are 1 if one is not
/// known: older daemons divide by the number of daemons, and all shares together must not
/// exceed the whole.
fn weights<'a>(instances: impl Iterator<Item = &'a InstanceEntry>) -> Vec<(SocketAddr, f64)> {
    let all: Vec<&InstanceEntry> = instances.collect();
    let sum: f64 = all.iter().map(|i| f64::from(i.millicores)).sum();
    let mean = sum / all.len() as f64;
    let are_known = all.iter().all(|i| i.millicores > 0);
    let weight = |i: &&InstanceEntry| match are_known {
        true => f64::from(i.millicores) / mean,
        false => 1.0,
    };
    all.iter().map(|i| (i.address, weight(i))).collect()
}

/// Returns the daemons with large processors: all but those that have a part of the
/// largest which is smaller by [`MIN_GAIN`]; all if none is known. What one daemon does
/// for all others is done by one of these, as it grows with the number of daemons.
pub fn large_daemons<'a>(
    instances: impl Iterator<Item = &'a InstanceEntry>,
) -> Vec<&'a InstanceEntry> {
    let all: Vec<&InstanceEntry> = instances.collect();
    let largest = all.iter().map(|i| i.millicores).max().unwrap_or(0);
    let is_large = |i: &&InstanceEntry| i.millicores.saturating_mul(MIN_GAIN) > largest;
    match largest {
        0 => all,
        _ => all.into_iter().filter(is_large).collect(),
    }
}
