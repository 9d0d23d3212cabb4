//! Which request gets which upstream's slot, and when.

use std::rc::Rc;

use clock::Millis;
use rand::RngExt;

use crate::crashes::CrashStatus;
use crate::endpoint::Endpoint;
use crate::health::Tier;
use crate::pool::Pool;
use crate::queue::Ask;
use crate::slot::{Slot, SlotOwner};
use crate::upstream::{Running, Upstream, UpstreamKey};

/// Why no slot was granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcquireError {
    /// The queue is full or the deadline would pass in it.
    QueueFull,
    /// The deadline passed in the queue.
    Timeout,
    /// No candidate takes work.
    NoReplica,
}

/// An upstream that takes work.
struct Candidate {
    key: UpstreamKey,
    upstream: Rc<Upstream>,
    tier: Tier,
}

impl SlotOwner for Pool {
    fn slot_freed(self: Rc<Self>, was: Running) {
        if was.is_suspect {
            self.placed_suspects.borrow_mut().remove(&was.fingerprint);
        }
        self.pump();
    }
}

impl Pool {
    /// Replaces the set of upstreams; those that stay keep their connections
    /// and what was learned of them.
    pub fn install(self: &Rc<Self>, endpoints: &[Endpoint]) {
        self.replace_upstreams(endpoints);
        self.pump();
    }

    /// Waits for a slot on one of the candidates.
    pub(crate) async fn acquire(self: &Rc<Self>, ask: Ask) -> Result<Slot, AcquireError> {
        let now = Millis::now();
        if !ask.candidates.iter().any(|&k| self.takes_work(k)) {
            return Err(AcquireError::NoReplica);
        }
        if let Some(slot) = self.try_acquire(&ask, now) {
            return Ok(slot);
        }
        if self.queue.len() >= self.queue_limit.get() {
            return Err(AcquireError::QueueFull);
        }
        let left = ask.deadline.since(now);
        let receiver = self.queue.push(ask);
        match compio::time::timeout(left.into(), receiver).await {
            Ok(Ok(slot)) => Ok(slot),
            Ok(Err(_)) => Err(AcquireError::Timeout),
            Err(_) => Err(AcquireError::Timeout),
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
        if running.is_suspect {
            let mut placed = self.placed_suspects.borrow_mut();
            placed.insert(running.fingerprint);
        }
        Some(Slot::take(self.clone(), key, upstream, running))
    }

    /// Finds the candidate of the best tier with the shortest expected wait
    /// among those with a free slot. A worse tier is used only if no
    /// candidate of a better one takes work at all.
    fn best_free(&self, ask: &Ask, asker: Running, now: Millis) -> Option<UpstreamKey> {
        let mut candidates = self.working(&ask.candidates, now);
        if asker.is_suspect {
            self.restrict_suspect(&mut candidates, asker, now);
        }
        let best = candidates.iter().map(|c| c.tier).min()?;
        let is_free =
            |u: &Upstream| u.has_free_slot() && !(asker.is_suspect && self.runs_suspect(u, now));
        let usual = self.latency.borrow().mean_ms();
        let mut rng = rand::rng();
        candidates
            .iter()
            .filter(|c| c.is_allowed(best, now) && is_free(&c.upstream))
            .map(|c| {
                (
                    c.upstream.expected_ms(usual, now),
                    rng.random::<u32>(),
                    c.key,
                )
            })
            .min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)))
            .map(|(_, _, key)| key)
    }

    fn working(&self, keys: &[UpstreamKey], now: Millis) -> Vec<Candidate> {
        let working = keys.iter().filter(|&&k| self.takes_work(k));
        let candidate = |&key: &UpstreamKey| {
            let upstream = self.find(key)?;
            let tier = upstream.health.borrow().tier(now);
            Some(Candidate {
                key,
                upstream,
                tier,
            })
        };
        working.filter_map(candidate).collect()
    }

    /// A suspect runs on one upstream at a time and, where there is a choice,
    /// in a failure domain where nothing died under it: if all of a domain is
    /// being lost, a second death there would say nothing about the request.
    fn restrict_suspect(&self, candidates: &mut Vec<Candidate>, asker: Running, now: Millis) {
        if self.placed_suspects.borrow().contains(&asker.fingerprint) {
            return candidates.clear();
        }
        let struck = self.shared.crashes.crash_domains(asker.fingerprint, now);
        let is_apart = |c: &Candidate| !struck.contains(&c.upstream.domain);
        if candidates.iter().any(is_apart) {
            candidates.retain(is_apart);
        }
    }

    /// Whether a request that is a suspect by now runs on an upstream.
    fn runs_suspect(&self, upstream: &Upstream, now: Millis) -> bool {
        let running = upstream.running.borrow();
        running.iter().any(|r| self.is_suspect(r.fingerprint, now))
    }

    fn is_suspect(&self, fingerprint: u64, now: Millis) -> bool {
        self.shared.crashes.status(fingerprint, now) != CrashStatus::Clear
    }

    /// Grants free slots to waiters in their order.
    pub(crate) fn pump(self: &Rc<Self>) {
        if self.queue.len() == 0 {
            return;
        }
        let now = Millis::now();
        let end = now + Millis(self.latency.borrow().mean_ms() as u64);
        let mut free = self.free_upstreams();
        let mut at = 0;
        while let Some(next) = self.queue.next(at, &free, end) {
            at = next.at;
            let Some(ask) = next.ask else {
                drop(self.queue.remove(at));
                continue;
            };
            match self.try_acquire(&ask, now) {
                Some(slot) => {
                    let waiter = self.queue.remove(at);
                    // A receiver that is gone hands the slot back, which
                    // pumps again.
                    let _ = waiter.grant.send(slot);
                    free = self.free_upstreams();
                }
                None => at += 1,
            }
        }
    }

    /// The upstreams that could take a request now.
    fn free_upstreams(&self) -> Vec<UpstreamKey> {
        let all = self.keyed().into_iter();
        let free = all.filter(|(_, u)| u.has_free_slot());
        free.map(|(key, _)| key).collect()
    }
}

impl Candidate {
    /// Whether it may be used beside candidates of the best tier: one that is
    /// back from an ejection gets one trial request while others serve the
    /// rest.
    fn is_allowed(&self, best: Tier, now: Millis) -> bool {
        let is_idle = self.upstream.busy() == 0 && self.upstream.is_due_for_trial(now);
        self.tier == best || (self.tier == Tier::Poor && is_idle)
    }
}
