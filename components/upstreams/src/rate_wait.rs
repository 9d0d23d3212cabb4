//! How long the rate limits of upstreams delay a request to a pool.

use std::rc::Rc;

use clock::Millis;

use crate::cold_limits::Times;
use crate::pool::Pool;
use crate::queue::SlotRequest;
use crate::shared::Shared;
use crate::upstream::{Upstream, UpstreamKey};

impl Shared {
    /// Whether the rate of requests to any upstream may be limited.
    fn has_rate_limits(&self) -> bool {
        !self.rate_limits.is_empty() || !self.cold_limits.is_empty()
    }
}

impl Pool {
    /// Returns the time until the rate limits allow a request to one upstream: zero if
    /// there is none, `None` if the `draw` got no part of a token.
    pub(crate) fn upstream_rate_wait(
        &self,
        key: UpstreamKey,
        draw: f64,
        now: Millis,
    ) -> Option<Millis> {
        if !self.shared.has_rate_limits() {
            return Some(Millis::ZERO);
        }
        let upstream = self.find(key)?;
        let named = self.named_rate_wait(key, &upstream, draw, now)?;
        Some(named.max(self.cold_wait(&upstream)?))
    }

    /// Whether the rate of requests to any of the upstreams is limited because it is cold.
    pub fn has_cold_upstreams(&self) -> bool {
        let limits = &self.shared.cold_limits;
        let boot = Millis::since_boot();
        let is_cold = |u: &Rc<Upstream>| limits.is_cold(&u.process, boot);
        !limits.is_empty() && self.upstreams().iter().any(is_cold)
    }

    /// Returns the time until the limit that an upstream names allows a request.
    fn named_rate_wait(
        &self,
        key: UpstreamKey,
        upstream: &Upstream,
        draw: f64,
        now: Millis,
    ) -> Option<Millis> {
        let limits = &self.shared.rate_limits;
        match limits.is_empty() {
            true => Some(Millis::ZERO),
            false => limits.wait(&upstream.process, self.spread_draw(key, draw), now),
        }
    }

    /// Returns the time until an upstream that may be cold takes a request; `None` if this
    /// daemon's turn does not come soon.
    fn cold_wait(&self, upstream: &Upstream) -> Option<Millis> {
        let limits = &self.shared.cold_limits;
        match limits.is_empty() {
            true => Some(Millis::ZERO),
            false => limits.wait(&upstream.process, self.place(upstream), Times::now()),
        }
    }

    /// Returns the place of an upstream among those of its service, from 0 to 1, the same on
    /// all daemons.
    fn place(&self, upstream: &Upstream) -> f64 {
        let all = self.upstreams();
        let before = all.iter().filter(|u| u.name < upstream.name).count();
        before as f64 / all.len().max(1) as f64
    }

    /// Takes the tokens of a request to an upstream.
    pub(crate) fn spend_rates(&self, upstream: &Upstream, now: Millis) {
        self.shared.rate_limits.spend(&upstream.process, now);
        let cold = &self.shared.cold_limits;
        if !cold.is_empty() {
            cold.spend(&upstream.process, self.place(upstream), Times::now());
        }
    }

    /// Returns a draw for each upstream of a pool that succeeds where those of the others
    /// fail, so that a small share of each serves its part of the requests.
    fn spread_draw(&self, key: UpstreamKey, draw: f64) -> f64 {
        let keys = self.keys();
        let at = keys.iter().position(|k| *k == key).unwrap_or(0);
        (draw + at as f64 / keys.len().max(1) as f64).fract()
    }

    /// Records that a request's draw got no token of some upstreams: what they hold is
    /// spent.
    pub fn record_rate_misses(&self, keys: &[UpstreamKey], draw: f64, now: Millis) {
        let limits = &self.shared.rate_limits;
        if limits.is_empty() {
            return;
        }
        for &key in keys {
            let Some(upstream) = self.find(key) else {
                continue;
            };
            if self.named_rate_wait(key, &upstream, draw, now).is_none() {
                limits.miss(&upstream.process, now);
            }
        }
    }

    /// Returns the shortest time until the rate limits allow a request to one of the
    /// available candidates, zero if none is available; `None` if the draw got no part
    /// of a token anywhere.
    pub(crate) fn shortest_rate_wait(
        &self,
        candidates: &[UpstreamKey],
        draw: f64,
        now: Millis,
    ) -> Option<Millis> {
        if !self.shared.has_rate_limits() {
            return Some(Millis::ZERO);
        }
        let available = candidates.iter().filter(|&&k| self.is_available(k));
        if available.clone().next().is_none() {
            return Some(Millis::ZERO);
        }
        let waits = available.filter_map(|&k| self.upstream_rate_wait(k, draw, now));
        waits.min()
    }

    /// Returns the expected time until the rate limits of all upstreams allow one more
    /// request, with those that wait already; zero if they allow one now, `None` if
    /// they never do.
    pub fn rate_wait(&self, draw: f64, now: Millis) -> Option<Millis> {
        if !self.shared.has_rate_limits() {
            return Some(Millis::ZERO);
        }
        let keys = self.keys();
        match self.shortest_rate_wait(&keys, draw, now)? {
            Millis::ZERO => Some(Millis::ZERO),
            wait => Some(wait + self.rate_queue_time(&keys)),
        }
    }

    /// Whether the rate limits delay a request for longer than it may wait for them.
    pub(crate) fn exceeds_rates(&self, request: &SlotRequest, queue: Millis, now: Millis) -> bool {
        match self.shortest_rate_wait(&request.candidates, request.draw, now) {
            Some(Millis::ZERO) => false,
            Some(wait) => now + wait + queue > request.rate_by,
            None => true,
        }
    }

    /// Returns the time that the requests in the queue take at the rates of some
    /// upstreams; zero if one of them has no limit.
    pub(crate) fn rate_queue_time(&self, keys: &[UpstreamKey]) -> Millis {
        if !self.shared.has_rate_limits() {
            return Millis::ZERO;
        }
        let boot = Millis::since_boot();
        let per_ms = |&key: &UpstreamKey| self.upstream_per_ms(key, boot);
        let rates: Option<Vec<f64>> = keys.iter().map(per_ms).collect();
        let total: f64 = rates.unwrap_or_default().iter().sum();
        match total > 0.0 {
            true => Millis((self.queue.len() as f64 / total) as u64),
            false => Millis::ZERO,
        }
    }

    /// Returns this daemon's share of the lowest limit of an upstream, in requests per
    /// millisecond.
    fn upstream_per_ms(&self, key: UpstreamKey, boot: Millis) -> Option<f64> {
        let process = &self.find(key)?.process;
        let named = self.shared.rate_limits.per_ms(process);
        let cold = self.shared.cold_limits.per_ms(process, boot);
        let limits = named.into_iter().chain(cold);
        limits.min_by(f64::total_cmp)
    }
}
