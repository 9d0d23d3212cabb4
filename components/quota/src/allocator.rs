//! The allocator of one workspace: how many tokens it grants, and which share of the quota
//! each daemon may use without it.

mod grantee;

use std::collections::HashMap;

use clock::Millis;
use serde::Serialize;

use self::grantee::{Grantee, SILENCE};
use crate::limit::Limit;
use crate::message::{Grant, Message, Request};
use crate::share::SHARE_LIFETIME;

/// While the daemons' lists of each other may differ, two of them can believe that they
/// are the allocator. A new allocator refills its bucket only by the shares that daemons
/// bring along for this long; a former one withholds these shares.
const TAKEOVER_TIME: Millis = Millis(500);
/// A daemon that was not heard from for this long is forgotten.
const FORGET_TIME: Millis = Millis(10_000);
/// Shortest and longest time after which a daemon is told to ask again.
const MIN_WAIT: Millis = Millis(20);
const MAX_WAIT: Millis = Millis(1_000);
const MS_PER_S: f64 = 1_000.0;

/// The store is read by each daemon, directly or through another one, in less than this time.
const STALE_TIME: Millis = Millis(2_500);

/// How current the list of daemons is by which an allocator was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// The store has answered lately.
    Current,
    /// The store has not answered lately, so that this daemon may be partitioned, but
    /// others can't have chosen another allocator yet.
    Stale,
    /// Others may have chosen another allocator.
    Replaced,
}

impl Standing {
    /// Returns the standing of a daemon by the time since the store has answered it.
    ///
    /// After a silence as long as the life of a share, the registration of this daemon can
    /// have expired. If all other daemons are reachable, the store answers nobody, and
    /// everybody keeps the list.
    pub fn new(store_age: Millis, reaches_peers: bool) -> Self {
        match () {
            () if store_age < STALE_TIME || reaches_peers => Self::Current,
            () if store_age < SHARE_LIFETIME => Self::Stale,
            () => Self::Replaced,
        }
    }
}

/// The bucket of an allocator, for the state dump.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct BucketView {
    /// Tokens that it may grant now.
    pub tokens: f64,
    /// Tokens that daemons hold.
    pub held: f64,
    /// Daemons that have reported lately.
    pub daemons: usize,
}

/// The token bucket of one workspace.
///
/// Tokens that are granted count as spent once the daemon reports their use. The bucket and
/// what may be held unused, less the tokens that are held, is what can be granted. So
/// tokens held by idle daemons take nothing from the quota of the others.
#[derive(Clone, Debug)]
pub struct Allocator {
    limit: Limit,
    /// Requests that the quota allows now; negative if tokens that were held were used.
    level: f64,
    filled: Millis,
    /// What the full bucket could not take while tokens were reserved for silent daemons.
    spilled: f64,
    /// When it became the allocator.
    since: Millis,
    grantees: HashMap<String, Grantee>,
}

impl Allocator {
    /// Returns a new allocator. It doesn't know what its predecessor has granted, so it
    /// does not start with a full bucket.
    pub fn new(limit: Limit, now: Millis) -> Self {
        Self {
            limit,
            level: limit.initial() - limit.held(),
            filled: now,
            spilled: 0.0,
            since: now,
            grantees: HashMap::new(),
        }
    }

    /// Changes the limit; a lower burst cuts the bucket at once.
    pub fn set_limit(&mut self, limit: Limit, standing: Standing, now: Millis) {
        if limit != self.limit {
            self.advance(standing, now);
            self.limit = limit;
            self.level = self.level.min(limit.burst);
        }
    }

    /// Begins anew, because another daemon may have been the allocator meanwhile.
    pub fn restart(&mut self, now: Millis) {
        let initial = self.limit.initial() - self.limit.held();
        self.level = self.level.min(initial);
        (self.filled, self.since) = (now, now);
    }

    /// Answers one part of a message.
    pub fn answer(
        &mut self,
        message: &Message,
        request: &Request,
        standing: Standing,
        now: Millis,
    ) -> Grant {
        self.advance(standing, now);
        let is_new = self.take_report(message, request, now);
        let daemon = message.daemon.as_str();
        let granted = match is_new && standing != Standing::Replaced {
            true => self.tokens_for(request),
            false => 0,
        };
        let share = self.share_for(daemon, request, standing, now);
        if let Some(grantee) = self.grantees.get_mut(daemon) {
            grantee.grant(granted, share / MS_PER_S);
        }
        Grant {
            workspace: request.workspace.clone(),
            granted,
            share,
            wait_ms: self.wait(standing, now),
        }
    }

    /// Returns the state of the bucket.
    pub fn view(&mut self, standing: Standing, now: Millis) -> BucketView {
        self.advance(standing, now);
        BucketView {
            tokens: self.available(),
            held: self.held(),
            daemons: self.grantees.len(),
        }
    }

    /// Whether it has reports of daemons.
    pub fn is_used(&self) -> bool {
        !self.grantees.is_empty()
    }

    /// Merges a report; `false` if it is repeated or late.
    fn take_report(&mut self, message: &Message, request: &Request, now: Millis) -> bool {
        let new = || Grantee::new(message.incarnation, message.sequence, request, now);
        let Some(known) = self.grantees.get_mut(&message.daemon) else {
            self.grantees.insert(message.daemon.clone(), new());
            return true;
        };
        if known.incarnation != message.incarnation {
            // The former process may have used what it held.
            self.level -= known.held();
            *known = new();
            return true;
        }
        if message.sequence <= known.sequence {
            return false;
        }
        let change = known.take_report(message.sequence, request, now);
        // What has spilled would have done so without the reservation, too.
        let back = (change.reserved - self.spilled).max(0.0);
        self.spilled = (self.spilled - change.reserved).max(0.0);
        self.level = (self.level + back).min(self.limit.burst) - change.spent;
        true
    }

    /// Refills the bucket up to now.
    fn advance(&mut self, standing: Standing, now: Millis) {
        let own = self.own_from(standing).max(self.filled).min(now);
        let mut change = self.limit.per_ms * now.since(own).0 as f64;
        if standing != Standing::Replaced {
            let shares = self.grantees.values();
            let shares: f64 = shares.map(|g| g.share_between(self.filled, own)).sum();
            change += shares.min(self.limit.per_ms * own.since(self.filled).0 as f64);
        }
        for grantee in self.grantees.values_mut() {
            change -= grantee.withhold(now) + grantee.write_off(now);
        }
        self.fill(change);
        self.filled = now;
        self.grantees
            .retain(|_, grantee| grantee.silence(now) < FORGET_TIME);
    }

    fn fill(&mut self, change: f64) {
        let level = self.level + change;
        self.level = level.min(self.limit.burst);
        let is_reserving = self.grantees.values().any(|g| g.reserved() > 0.0);
        self.spilled = match is_reserving {
            true => self.spilled + (level - self.level),
            false => 0.0,
        };
    }

    /// Returns the time from which on the bucket is refilled at the whole rate.
    fn own_from(&self, standing: Standing) -> Millis {
        match standing {
            Standing::Current => self.since + TAKEOVER_TIME,
            Standing::Stale | Standing::Replaced => Millis(u64::MAX),
        }
    }

    fn held(&self) -> f64 {
        self.grantees.values().map(Grantee::held).sum()
    }

    fn available(&self) -> f64 {
        self.level + self.limit.held() - self.held()
    }

    /// Returns the tokens for a request. Those for requests that wait are used at once, so
    /// only the others are bounded by what may be held.
    fn tokens_for(&self, request: &Request) -> u64 {
        let available = self.available().max(0.0) as u64;
        let waiting = request.waiting.min(request.wanted).min(available);
        let kept = self.limit.held() - self.limit.ahead();
        let ahead = (self.available() - kept).min(self.limit.ahead() - self.held());
        let ahead = (ahead - waiting as f64).max(0.0) as u64;
        waiting + ahead.min(request.wanted - waiting)
    }

    /// Returns the share of a daemon by its part of the demand, in requests a second. Other
    /// daemons keep theirs until their next report.
    fn share_for(&self, daemon: &str, request: &Request, standing: Standing, now: Millis) -> f64 {
        let all = self.limit.shares(SILENCE);
        let others = self.grantees.iter().filter(|(name, _)| *name != daemon);
        let taken: f64 = others.map(|(_, g)| g.share(now)).sum();
        let total: f64 = self.grantees.values().map(|g| g.demand(now)).sum();
        if standing == Standing::Replaced || request.demand <= 0.0 || total <= 0.0 {
            return 0.0;
        }
        let can_raise = self.own_from(standing) <= now;
        let most = match can_raise {
            true => all - taken,
            false => (all - taken).min(request.share / MS_PER_S),
        };
        let share = (all * request.demand / total).min(most);
        // A smaller share never amounts to a whole request.
        match share * SHARE_LIFETIME.0 as f64 {
            requests if requests >= 1.0 => share * MS_PER_S,
            _ => 0.0,
        }
    }

    /// Returns the time until a token is expected.
    fn wait(&self, standing: Standing, now: Millis) -> Millis {
        let missing = 1.0 - self.available();
        if missing <= 0.0 && standing != Standing::Replaced {
            return Millis::ZERO;
        }
        let shares = |is_silent: bool| -> f64 {
            let matching = self.grantees.values();
            let matching = matching.filter(|g| g.is_silent(now) == is_silent);
            matching.map(|g| g.share(now)).sum()
        };
        let per_ms = match standing {
            Standing::Replaced => 0.0,
            Standing::Current if self.own_from(standing) <= now => self.limit.per_ms - shares(true),
            Standing::Current | Standing::Stale => shares(false),
        };
        let wait = Millis((missing / per_ms.max(f64::MIN_POSITIVE)).ceil() as u64);
        wait.clamp(MIN_WAIT, MAX_WAIT)
    }
}
