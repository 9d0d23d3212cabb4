//! The queue for slots of a service's upstreams, ordered by priority and
//! deadline.

use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;

use clock::Millis;
use futures_channel::oneshot;
use rand::RngExt;

use crate::health::Tier;
use crate::pool::Pool;
use crate::suspects::Verdict;
use crate::upstream::{Running, Upstream, UpstreamKey};

/// Why no slot was granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The queue is full or the deadline would pass in it.
    Full,
    /// The deadline passed in the queue.
    Late,
    /// No candidate takes work.
    NoReplica,
}

/// The right to run one request on an upstream, until it is dropped.
pub struct Slot {
    pool: Rc<Pool>,
    pub(crate) key: UpstreamKey,
    pub(crate) upstream: Rc<Upstream>,
    pub(crate) running: Running,
}

impl Slot {
    fn remove_running(&self) {
        let mut all = self.upstream.running.borrow_mut();
        if let Some(at) = all.iter().position(|r| *r == self.running) {
            all.swap_remove(at);
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.remove_running();
        if self.running.is_suspect {
            let mut state = self.pool.queue.state.borrow_mut();
            state.suspects.remove(&self.running.fingerprint);
        }
        self.pool.clone().pump();
    }
}

/// What is asked of the queue.
#[derive(Clone, Debug)]
pub(crate) struct Ask {
    pub(crate) candidates: Vec<UpstreamKey>,
    pub(crate) deadline: Millis,
    /// Fingerprint of the request.
    pub(crate) fingerprint: u64,
    /// Rank in the queue; 0 goes first.
    pub(crate) priority: u8,
}

struct Waiter {
    ask: Ask,
    grant: oneshot::Sender<Slot>,
}

impl Waiter {
    /// Whether the asker is there and could be answered by its deadline if it
    /// began now and ended at `end`.
    fn is_of_use(&self, end: Millis) -> bool {
        !self.grant.is_canceled() && end <= self.ask.deadline
    }

    fn wants(&self, free: &[UpstreamKey]) -> bool {
        self.ask.candidates.iter().any(|k| free.contains(k))
    }
}

/// The next waiter to look at; one without an ask is of no use any more.
struct Next {
    at: usize,
    ask: Option<Ask>,
}

#[derive(Default)]
struct State {
    // By priority, then by deadline.
    waiters: Vec<Waiter>,
    suspects: HashSet<u64>,
}

/// The waiting sub-requests of one service.
#[derive(Default)]
pub(crate) struct Queue {
    state: RefCell<State>,
}

impl Queue {
    pub(crate) fn len(&self) -> usize {
        self.state.borrow().waiters.len()
    }
}

impl Pool {
    /// Waits for a slot on one of the candidates.
    pub(crate) async fn acquire(self: &Rc<Self>, ask: Ask) -> Result<Slot, Refusal> {
        let now = Millis::now();
        if !ask.candidates.iter().any(|&k| self.takes_work(k)) {
            return Err(Refusal::NoReplica);
        }
        if let Some(slot) = self.try_acquire(&ask, now) {
            return Ok(slot);
        }
        if self.queue.len() >= self.queue_limit.get() {
            return Err(Refusal::Full);
        }
        let deadline = ask.deadline;
        let receiver = self.enqueue(ask);
        let left = deadline.since(now);
        match compio::time::timeout(left.into(), receiver).await {
            Ok(Ok(slot)) => Ok(slot),
            Ok(Err(_)) => Err(Refusal::Late),
            Err(_) => Err(Refusal::Late),
        }
    }

    /// Whether more sub-requests wait than can run at a time; extra load
    /// would then only delay what is needed.
    pub(crate) fn is_overloaded(&self) -> bool {
        let slots: usize = self.upstreams().iter().map(|u| u.slots.get()).sum();
        self.queue.len() > slots
    }

    /// Takes a slot on the best candidate if one is free.
    pub(crate) fn try_acquire(self: &Rc<Self>, ask: &Ask, now: Millis) -> Option<Slot> {
        // It may have become a suspect while it waited.
        let running = Running {
            fingerprint: ask.fingerprint,
            since: now,
            is_suspect: self.is_suspect(ask.fingerprint, now),
        };
        let key = self.best_free(ask, running, now)?;
        let upstream = self.find(key)?;
        upstream.last_used.set(now);
        upstream.running.borrow_mut().push(running);
        if running.is_suspect {
            let mut state = self.queue.state.borrow_mut();
            state.suspects.insert(running.fingerprint);
        }
        Some(Slot {
            pool: self.clone(),
            key,
            upstream,
            running,
        })
    }

    /// Finds the candidate of the best tier with the shortest expected wait
    /// among those with a free slot. A worse tier is used only if no
    /// candidate of a better one takes work at all. A suspect runs on one
    /// upstream at a time, and not beside another one.
    fn best_free(&self, ask: &Ask, asker: Running, now: Millis) -> Option<UpstreamKey> {
        let is_suspect = asker.is_suspect;
        let suspects = &self.queue.state.borrow().suspects;
        if is_suspect && suspects.contains(&asker.fingerprint) {
            return None;
        }
        let candidates: Vec<(UpstreamKey, Rc<Upstream>, Tier)> = ask
            .candidates
            .iter()
            .filter(|&&k| self.takes_work(k))
            .filter_map(|&k| self.find(k).map(|u| (k, u)))
            .map(|(k, u)| {
                let tier = u.health.borrow().tier(now);
                (k, u, tier)
            })
            .collect();
        let best = candidates.iter().map(|(_, _, tier)| *tier).min()?;
        let is_free =
            |u: &Upstream| u.has_free_slot() && !(is_suspect && self.runs_suspect(u, now));
        let mut rng = rand::rng();
        candidates
            .iter()
            .filter(|(_, u, tier)| is_allowed(*tier, best, u, now) && is_free(u))
            .map(|(k, u, _)| (u.expected_ms(now), rng.random::<u32>(), *k))
            .min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)))
            .map(|(_, _, k)| k)
    }

    /// Whether a request that is a suspect by now runs on an upstream.
    fn runs_suspect(&self, upstream: &Upstream, now: Millis) -> bool {
        let running = upstream.running.borrow();
        running.iter().any(|r| self.is_suspect(r.fingerprint, now))
    }

    fn is_suspect(&self, fingerprint: u64, now: Millis) -> bool {
        self.shared.suspects.verdict(fingerprint, now) != Verdict::Clear
    }

    fn enqueue(&self, ask: Ask) -> oneshot::Receiver<Slot> {
        let (grant, receiver) = oneshot::channel();
        let mut state = self.queue.state.borrow_mut();
        let at = state
            .waiters
            .partition_point(|w| (w.ask.priority, w.ask.deadline) <= (ask.priority, ask.deadline));
        state.waiters.insert(at, Waiter { ask, grant });
        receiver
    }

    /// Grants free slots to waiters in their order.
    pub(crate) fn pump(self: Rc<Self>) {
        if self.queue.len() == 0 {
            return;
        }
        let now = Millis::now();
        let end = now + Millis(self.latency.borrow().mean_ms() as u64);
        let mut free = self.free_upstreams();
        let mut at = 0;
        while let Some(next) = self.next_waiter(at, &free, end) {
            at = next.at;
            let Some(ask) = next.ask else {
                drop(self.remove_waiter(at));
                continue;
            };
            match self.try_acquire(&ask, now) {
                Some(slot) => {
                    let waiter = self.remove_waiter(at);
                    // A receiver that is gone hands the slot back, which
                    // pumps again.
                    let _ = waiter.grant.send(slot);
                    free = self.free_upstreams();
                }
                None => at += 1,
            }
        }
    }

    /// Finds the first waiter from `at` on that may get one of the free
    /// upstreams, or is of no use any more.
    fn next_waiter(&self, at: usize, free: &[UpstreamKey], end: Millis) -> Option<Next> {
        if free.is_empty() {
            return None;
        }
        let state = self.queue.state.borrow();
        let mut rest = state.waiters.iter().enumerate().skip(at);
        let (at, waiter) = rest.find(|(_, w)| !w.is_of_use(end) || w.wants(free))?;
        let ask = waiter.is_of_use(end).then(|| waiter.ask.clone());
        Some(Next { at, ask })
    }

    /// The upstreams that could take a request now.
    fn free_upstreams(&self) -> Vec<UpstreamKey> {
        let all = self.keyed().into_iter();
        let free = all.filter(|(_, u)| u.has_free_slot());
        free.map(|(key, _)| key).collect()
    }

    fn remove_waiter(&self, at: usize) -> Waiter {
        self.queue.state.borrow_mut().waiters.remove(at)
    }
}

/// An upstream that is back from an ejection gets one trial request while
/// others serve the rest.
fn is_allowed(tier: Tier, best: Tier, upstream: &Upstream, now: Millis) -> bool {
    let is_trial = tier == Tier::Poor && upstream.busy() == 0 && upstream.is_due_for_trial(now);
    tier == best || is_trial
}
