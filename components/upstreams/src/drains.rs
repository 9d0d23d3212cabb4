//! Marks of upstreams that reported that they are leaving, exchanged between
//! daemons.

use std::cell::RefCell;
use std::collections::HashMap;

use clock::Millis;
use schema::DrainMark;

const MARK_LIMIT: usize = 8_192;
const SENT_MARKS_LIMIT: usize = 256;
// A mark outlives the process that it names, so that a stale endpoint does not
// bring that process back into use; a new process has another boot identifier.
const MARK_TTL: Millis = Millis(3_600_000);

/// The leaving marks by `service/upstream`, followed by `@` and the start time of
/// its process if that is known; the latest stamp wins.
#[derive(Debug, Default)]
pub struct Drains {
    marks: RefCell<HashMap<String, DrainMark>>,
}

impl Drains {
    /// Whether an upstream is marked as leaving.
    pub fn is_leaving(&self, upstream: &str) -> bool {
        self.marks.borrow().get(upstream).is_some_and(|m| m.leaving)
    }

    /// Returns the boot identifier with which an upstream reported that it is
    /// leaving.
    pub fn boot_of(&self, upstream: &str) -> Option<String> {
        let marks = self.marks.borrow();
        marks
            .get(upstream)
            .filter(|m| m.leaving)
            .map(|m| m.boot.clone())
    }

    /// Marks an upstream as leaving; returns `true` if it was not marked before.
    pub fn mark(&self, upstream: &str, boot: &str) -> bool {
        !self.is_leaving(upstream) && self.set(upstream, boot, true)
    }

    /// Clears the mark because a new process answers at the address; returns
    /// `true` if the upstream was marked.
    pub fn clear(&self, upstream: &str, boot: &str) -> bool {
        self.is_leaving(upstream) && self.set(upstream, boot, false)
    }

    fn set(&self, upstream: &str, boot: &str, leaving: bool) -> bool {
        let mut marks = self.marks.borrow_mut();
        drop_expired(&mut marks);
        let previous = marks.get(upstream).map_or(0, |m| m.stamp_ms);
        let stamp_ms = Millis::wall().0.max(previous + 1);
        let mark = DrainMark {
            upstream: upstream.to_owned(),
            boot: boot.to_owned(),
            leaving,
            stamp_ms,
        };
        marks.insert(upstream.to_owned(), mark);
        true
    }

    /// Merges a peer's marks into the table; the latest stamp wins.
    pub fn merge(&self, received: &[DrainMark]) {
        let mut marks = self.marks.borrow_mut();
        for mark in received {
            let is_newer = marks
                .get(&mark.upstream)
                .is_none_or(|m| m.stamp_ms < mark.stamp_ms);
            if is_newer && marks.len() < MARK_LIMIT {
                marks.insert(mark.upstream.clone(), mark.clone());
            }
        }
        drop_expired(&mut marks);
    }

    /// Returns the newest marks for a message to a peer.
    pub fn collect(&self) -> Vec<DrainMark> {
        let mut list: Vec<DrainMark> = self.marks.borrow().values().cloned().collect();
        list.sort_by_key(|m| std::cmp::Reverse(m.stamp_ms));
        list.truncate(SENT_MARKS_LIMIT);
        list
    }
}

fn drop_expired(marks: &mut HashMap<String, DrainMark>) {
    let now = Millis::wall();
    marks.retain(|_, m| now.since(Millis(m.stamp_ms)) < MARK_TTL);
}
