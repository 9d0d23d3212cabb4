//! Whether this daemon's own links to the upstreams work. When nobody answers this
//! daemon, that says nothing about the upstreams. No I/O.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;

use clock::Millis;
use transport::Event;

/// Failures count as evidence for this long.
const EVIDENCE_TTL: Millis = Millis(1_000);
/// Upstreams that failed lately, though others answer, after which the links are checked.
const FAILED_UPSTREAMS: usize = 3;
/// Requests that wait for longer, while nobody answers, are a reason to check the links.
const SILENCE: Millis = Millis(150);
/// Upstreams on which such requests wait at least.
const SILENT_UPSTREAMS: usize = 2;
/// Time between checks that found the links working.
const RECHECK_INTERVAL: Millis = Millis(500);

/// What this daemon knows of its links to all upstreams together.
#[derive(Default)]
pub struct Links {
    answered_at: Cell<Millis>,
    connected_at: Cell<Millis>,
    checked_at: Cell<Millis>,
    /// When connections to upstreams, by process, failed last.
    failed: RefCell<HashMap<String, Millis>>,
    is_cut: Cell<bool>,
    /// Happens when the links are lost.
    lost: RefCell<Event>,
}

impl Links {
    /// Records that some upstream answered.
    pub fn record_answer(&self, now: Millis) {
        self.answered_at.set(now);
    }

    /// Records that some upstream accepted a connection.
    pub fn record_connection(&self, now: Millis) {
        self.connected_at.set(now);
        self.failed.borrow_mut().clear();
    }

    /// Records that a connection to an upstream was refused, lost or timed out.
    pub fn record_failure(&self, upstream: &str, now: Millis) {
        let mut failed = self.failed.borrow_mut();
        failed.retain(|_, at| now.since(*at) < EVIDENCE_TTL);
        failed.insert(upstream.to_owned(), now);
    }

    /// Whether some upstream answered or accepted a connection later than `since`.
    pub fn has_contact_since(&self, since: Millis) -> bool {
        self.answered_at.get().max(self.connected_at.get()) > since
    }

    /// Whether the links are to be checked: several upstreams refuse connections, or one
    /// does or several requests wait while nobody answers. `waiting` holds for each
    /// upstream with requests since when the oldest one waits.
    pub fn needs_check(&self, waiting: impl Iterator<Item = Millis>, now: Millis) -> bool {
        if now.since(self.checked_at.get()) < RECHECK_INTERVAL {
            return false;
        }
        let failed = self.failed.borrow();
        let recent = failed.values().filter(|at| now.since(**at) < EVIDENCE_TTL);
        let is_silent = now.since(self.answered_at.get()) > SILENCE;
        let silent = waiting.filter(|since| now.since(*since) > SILENCE);
        match recent.count() {
            FAILED_UPSTREAMS.. => true,
            0 => is_silent && silent.count() >= SILENT_UPSTREAMS,
            _ => is_silent,
        }
    }

    /// Records the result of a check; `true` if it changes what is known.
    pub fn record_check(&self, has_links: bool, now: Millis) -> bool {
        self.checked_at.set(now);
        let was_cut = self.is_cut.replace(!has_links);
        match has_links {
            true => {
                self.failed.borrow_mut().clear();
                if was_cut {
                    *self.lost.borrow_mut() = Event::default();
                }
            }
            false => self.lost.borrow().set(),
        }
        was_cut == has_links
    }

    /// Whether no upstream can be reached from this daemon.
    pub fn are_cut(&self) -> bool {
        self.is_cut.get()
    }

    /// Completes when the links are lost, at once if they are.
    pub async fn wait_for_loss(&self) {
        let lost = self.lost.borrow().clone();
        lost.wait().await;
    }
}
