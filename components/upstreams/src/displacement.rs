//! Which waiting request gives its place in a full queue to a new one. No I/O.
//!
//! This answers a workspace that fills the queue: the others still find a place, up to
//! an equal share of it.

use std::cmp::Reverse;
use std::collections::HashMap;

use crate::flows::FlowKey;

/// A flow of the same rank gives a place if it has this many more than the new request's,
/// so that the two never displace each other in turn.
const MIN_EXCESS: usize = 2;
/// Part of the places of a full queue that higher ranks leave to lower ones, so that the
/// lower ones are there to use their eighth of the slots.
const LOWER_RANKS_DIVISOR: usize = 8;

/// Returns the flow whose last request is displaced by a new one of `new`: the one with
/// the most waiting requests of those that may be displaced by it. `waiting` has the
/// flow of each request in the queue.
pub(crate) fn choose_flow<'a>(
    waiting: impl Iterator<Item = &'a FlowKey>,
    new: &FlowKey,
) -> Option<&'a FlowKey> {
    new.workspace.as_ref()?;
    let mut places = 0;
    let mut counts: HashMap<&FlowKey, usize> = HashMap::new();
    for flow in waiting {
        places += 1;
        if flow.workspace.is_some() {
            *counts.entry(flow).or_default() += 1;
        }
    }
    let own = counts.get(new).copied().unwrap_or(0);
    let kept = (places / LOWER_RANKS_DIVISOR).max(1);
    let count_from = |rank: u16| {
        let lower = counts.iter().filter(|(f, _)| u16::from(f.rank) >= rank);
        lower.map(|(_, count)| count).sum::<usize>()
    };
    let rank = u16::from(new.rank);
    let may_take_from_lower = count_from(rank + 1) > kept;
    let may_take_from_higher = count_from(rank) < kept;
    let may_displace = |flow: &FlowKey, count: usize| match flow.rank.cmp(&new.rank) {
        std::cmp::Ordering::Greater => may_take_from_lower,
        std::cmp::Ordering::Equal => count >= own + MIN_EXCESS,
        std::cmp::Ordering::Less => may_take_from_higher,
    };
    let candidates = counts.iter().filter(|(f, count)| may_displace(f, **count));
    // The name decides among equals, so that the choice does not depend on a map's order.
    let chosen = candidates.max_by_key(|(f, count)| (**count, f.rank, Reverse(&f.workspace)));
    chosen.map(|(flow, _)| *flow)
}
