//! Placement: assigns slots of upstreams to requests, in the order of the
//! queue.

use std::collections::HashSet;
use std::rc::Rc;

use clock::Millis;
use rand::RngExt;

use crate::crashes::CrashStatus;
use crate::endpoint::Endpoint;
use crate::health::Tier;
use crate::pool::Pool;
use crate::queue::{Place, SlotRequest};
use crate::slot::{Slot, SlotOwner};
use crate::upstream::{Running, Upstream, UpstreamKey};

/// Why no slot was granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcquireError {
    /// The queue is full.
    QueueFull,
    /// A request of another workspace got its place in the full queue.
    Displaced,
    /// The deadline passed in the queue, or could not be met any more.
    Timeout,
    /// No candidate is available.
    NoReplica,
    /// The rate limits of all candidates delay it for too long.
    RateLimited,
}

/// An upstream that is available for requests.
struct Candidate {
    key: UpstreamKey,
    upstream: Rc<Upstream>,
    tier: Tier,
}

impl SlotOwner for Pool {
    fn slot_freed(self: Rc<Self>, holder: Running) {
        if holder.is_suspect {
            self.placed_suspects
                .borrow_mut()
                .remove(&holder.fingerprint);
        }
        self.grant_slots();
    }
}

impl Pool {
    /// Replaces the set of upstreams; those that stay keep their connections
    /// and measured state.
    pub fn install(self: &Rc<Self>, endpoints: &[Endpoint]) {
        self.replace_upstreams(endpoints);
        self.drop_unservable();
        self.grant_slots();
    }

    /// Refuses the waiters whose upstreams have all become unavailable.
    pub(crate) fn drop_unservable(&self) {
        self.queue.drop_unservable(|key| self.is_available(key));
    }

    /// Waits for a slot on one of the candidates.
    pub(crate) async fn acquire(
        self: &Rc<Self>,
        request: SlotRequest,
    ) -> Result<Slot, AcquireError> {
        let now = Millis::now();
        if !request.candidates.iter().any(|&k| self.is_available(k)) {
            return Err(AcquireError::NoReplica);
        }
        if request.workspace.is_some() {
            // A rate limit may allow one that waits by now.
            self.grant_slots();
        }
        let slot = self.try_acquire(&request, now);
        let ahead = self.rate_queue_time(&request.candidates);
        let is_limited = slot.is_none() && self.exceeds_rates(&request, ahead, now);
        self.record_rate_misses(&request.candidates, request.draw, now);
        match slot {
            Some(slot) => {
                self.queue.charge(&request);
                return Ok(slot);
            }
            None if is_limited => return Err(AcquireError::RateLimited),
            None => {}
        }
        let is_full = self.queue.len() >= self.queue_limit.get();
        if is_full && !self.queue.displace_for(&request) {
            return Err(AcquireError::QueueFull);
        }
        let place = self.queue.push(request.clone(), now);
        self.wait_for_slot(&request, place).await
    }

    /// Waits in the queue; grants slots itself when a rate limit allows its request.
    async fn wait_for_slot(
        self: &Rc<Self>,
        request: &SlotRequest,
        mut place: Place<'_>,
    ) -> Result<Slot, AcquireError> {
        loop {
            let until = self.next_check(request, Millis::now());
            let granted = compio::time::timeout(until.into(), &mut place.receiver).await;
            let now = Millis::now();
            match granted {
                Ok(Ok(granted)) => return granted,
                Ok(Err(_)) if !request.candidates.iter().any(|&k| self.is_available(k)) => {
                    return Err(AcquireError::NoReplica);
                }
                Ok(Err(_)) => return Err(AcquireError::Timeout),
                Err(_) if now >= request.deadline => return Err(AcquireError::Timeout),
                Err(_) if self.exceeds_rates(request, Millis::ZERO, now) => {
                    return Err(AcquireError::RateLimited);
                }
                Err(_) => self.grant_slots(),
            }
        }
    }

    /// Returns the time until the deadline of a waiting request, or until the rate limit
    /// of another upstream allows it.
    fn next_check(&self, request: &SlotRequest, now: Millis) -> Millis {
        let keys = request.candidates.iter();
        let waits = keys.filter_map(|&key| self.upstream_rate_wait(key, request.draw, now));
        let next = waits.filter(|wait| *wait > Millis::ZERO).min();
        let left = request.deadline.since(now);
        next.map_or(left, |wait| wait.min(left))
    }

    /// Whether more sub-requests wait than there are slots; hedges would then
    /// only delay the waiting sub-requests.
    pub(crate) fn is_overloaded(&self) -> bool {
        let upstreams = self.upstreams().into_iter();
        let used = upstreams.filter(|u| !u.is_evacuated.get());
        let slots: usize = used.map(|u| u.slots.get()).sum();
        self.queue.len() > slots
    }

    /// Takes a slot on the best candidate that has a free one.
    pub(crate) fn try_acquire(self: &Rc<Self>, request: &SlotRequest, now: Millis) -> Option<Slot> {
        // The request may have become a suspect while it waited.
        let running = Running {
            fingerprint: request.fingerprint,
            since: now,
            is_suspect: self.is_suspect(request.fingerprint, now),
        };
        let key = self.best_free(request, running, now)?;
        let upstream = self.find(key)?;
        self.spend_rates(&upstream, now);
        if running.is_suspect {
            let mut placed = self.placed_suspects.borrow_mut();
            placed.insert(running.fingerprint);
        }
        Some(Slot::take(self.clone(), key, upstream, running))
    }

    /// Finds the candidate of the best tier with the shortest expected time
    /// among those with a free slot. A worse tier is used only if no candidate
    /// of a better tier is available at all, apart from trial requests.
    fn best_free(
        &self,
        request: &SlotRequest,
        running: Running,
        now: Millis,
    ) -> Option<UpstreamKey> {
        let mut candidates = self.available(&request.candidates, now);
        let is_within_rate = |key| {
            let wait = self.upstream_rate_wait(key, request.draw, now);
            wait == Some(Millis::ZERO)
        };
        candidates.retain(|c| is_within_rate(c.key));
        if running.is_suspect {
            self.restrict_suspect(&mut candidates, running, now);
        }
        let best = candidates.iter().map(|c| c.tier).min()?;
        let is_free =
            |u: &Upstream| u.has_free_slot() && !(running.is_suspect && self.runs_suspect(u, now));
        let pool_mean_ms = self.latency.borrow().mean_ms();
        let mut rng = rand::rng();
        candidates
            .iter()
            .filter(|c| c.is_allowed(best, now) && is_free(&c.upstream))
            .map(|c| {
                (
                    c.upstream.expected_ms(pool_mean_ms, now),
                    rng.random::<u32>(),
                    c.key,
                )
            })
            .min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)))
            .map(|(_, _, key)| key)
    }

    fn available(&self, keys: &[UpstreamKey], now: Millis) -> Vec<Candidate> {
        let available = keys.iter().filter(|&&k| self.is_available(k));
        let candidate = |&key: &UpstreamKey| {
            let upstream = self.find(key)?;
            let tier = upstream.health.borrow().tier(now);
            Some(Candidate {
                key,
                upstream,
                tier,
            })
        };
        available.filter_map(candidate).collect()
    }

    /// Restricts the candidates for a suspect: it runs on one upstream at a
    /// time and, if there is a choice, in a failure domain where no upstream
    /// crashed while it ran. If a whole domain is being lost, a second crash
    /// there is no evidence against the request.
    fn restrict_suspect(&self, candidates: &mut Vec<Candidate>, running: Running, now: Millis) {
        if self.placed_suspects.borrow().contains(&running.fingerprint) {
            return candidates.clear();
        }
        let crash_domains = self.shared.crashes.crash_domains(running.fingerprint, now);
        let is_apart = |c: &Candidate| !crash_domains.contains(&c.upstream.domain);
        if candidates.iter().any(is_apart) {
            candidates.retain(is_apart);
        }
    }

    /// Whether a request that is now a suspect runs on an upstream.
    fn runs_suspect(&self, upstream: &Upstream, now: Millis) -> bool {
        let running = upstream.running.borrow();
        running.iter().any(|r| self.is_suspect(r.fingerprint, now))
    }

    fn is_suspect(&self, fingerprint: u64, now: Millis) -> bool {
        self.shared.crashes.status(fingerprint, now) != CrashStatus::Clear
    }

    /// Grants free slots to the waiters, in the order of the queue.
    pub(crate) fn grant_slots(self: &Rc<Self>) {
        if self.queue.len() == 0 {
            return;
        }
        let now = Millis::now();
        let end = now + Millis(self.latency.borrow().mean_ms() as u64);
        let mut free = self.free_upstreams();
        let mut skipped = HashSet::new();
        while let Some(next) = self.queue.next(&skipped, &free, end) {
            let Some(request) = next.request else {
                drop(self.queue.remove(next.ticket));
                continue;
            };
            let Some(slot) = self.try_acquire(&request, now) else {
                skipped.insert(next.ticket);
                continue;
            };
            if let Some(waiter) = self.queue.grant(next.ticket, now) {
                // If the receiver is gone, dropping the slot frees it and
                // grants slots again.
                let _ = waiter.grant.send(Ok(slot));
            }
            free = self.free_upstreams();
        }
    }

    /// Returns the upstreams that have a free slot.
    fn free_upstreams(&self) -> Vec<UpstreamKey> {
        let all = self.entries().into_iter();
        let free = all.filter(|(_, u)| u.has_free_slot());
        free.map(|(key, _)| key).collect()
    }
}

impl Candidate {
    /// Whether the candidate may be used beside those of the best tier: after
    /// an ejection, an idle upstream gets one trial request at a time while the
    /// others serve the rest.
    fn is_allowed(&self, best: Tier, now: Millis) -> bool {
        let is_idle = self.upstream.busy() == 0 && self.upstream.is_due_for_trial(now);
        self.tier == best || (self.tier == Tier::Poor && is_idle)
    }
}
