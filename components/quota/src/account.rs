//! One workspace at one daemon: the tokens that the daemon holds, and when it reports to
//! the allocator.

use clock::Millis;

use crate::demand::Demand;
use crate::message::{Grant, Request};
use crate::share::Share;

/// Tokens end this long after the last message that was answered was sent; the allocator
/// counts them as used from then on.
pub(crate) const TOKEN_LIFETIME: Millis = Millis(3_000);
/// Tokens are held for the demand of this time ahead.
const AHEAD_TIME: Millis = Millis(200);
/// Tokens that were not used for this long are returned.
const UNUSED_TIME: Millis = Millis(1_000);
/// One token is kept for this long after a request, so that callers with less than one
/// request a second find one.
const LAST_TOKEN_TIME: Millis = Millis(2_500);
/// A daemon with a share, or with uses that it has not reported, reports this often.
const REPORT_INTERVAL: Millis = Millis(500);
/// Shortest time between two messages if the last one brought no token.
const MIN_WAIT: Millis = Millis(20);
const MS_PER_S: f64 = 1_000.0;

/// By what a request was admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admitted {
    /// A token that the daemon held.
    Held,
    /// A token that the request waited for.
    Granted,
    /// The daemon's share.
    Share,
}

/// The state of one workspace at one daemon.
#[derive(Clone, Debug, Default)]
pub(crate) struct Account {
    /// Requests that wait for a token.
    pub(crate) waiting: u64,
    tokens: u64,
    used: u64,
    received: u64,
    returned: u64,
    refunded: u64,
    shared: u64,
    demand: Demand,
    share: Share,
    /// When the message that was answered last was sent.
    answered: Option<Millis>,
    reported: Millis,
    has_news: bool,
    /// Before this time no token is expected for requests that wait.
    token_at: Millis,
    /// Before this time no token is expected ahead of use.
    ahead_at: Millis,
    /// Fewest tokens held since `fewest_since`.
    fewest: u64,
    fewest_since: Millis,
}

impl Account {
    /// Counts a request, admitted or not.
    pub(crate) fn record_demand(&mut self, now: Millis) {
        self.demand.record(now);
    }

    /// Takes a token that the daemon holds.
    pub(crate) fn take(&mut self, now: Millis) -> bool {
        self.expire(now);
        if self.tokens == 0 {
            return false;
        }
        self.tokens -= 1;
        self.used += 1;
        self.has_news = true;
        self.fewest = self.fewest.min(self.tokens);
        true
    }

    /// Takes a request's part of the share.
    pub(crate) fn take_share(&mut self, now: Millis) -> bool {
        let is_taken = self.share.take(now);
        if is_taken {
            self.shared += 1;
            self.has_news = true;
        }
        is_taken
    }

    /// Returns the token of a request that did not run.
    pub(crate) fn refund(&mut self, now: Millis) {
        self.refunded += 1;
        self.tokens += 1;
        self.has_news = true;
        self.expire(now);
    }

    pub(crate) fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Returns the share in requests a second.
    pub(crate) fn share(&self, now: Millis) -> f64 {
        self.share.per_ms(now) * MS_PER_S
    }

    pub(crate) fn share_wait(&self, now: Millis) -> Option<Millis> {
        self.share.wait(now)
    }

    /// Returns the time until the allocator expects a token, as it said.
    pub(crate) fn token_wait(&self, now: Millis) -> Millis {
        self.token_at.since(now)
    }

    pub(crate) fn has_traffic(&self, now: Millis) -> bool {
        self.tokens > 0 || self.waiting > 0 || self.demand.per_ms(now) > 0.0
    }

    /// Allows messages at once, to another allocator.
    pub(crate) fn reset_waits(&mut self, now: Millis) {
        (self.token_at, self.ahead_at) = (now, now);
    }

    /// Records that the daemon that was asked is not the allocator.
    pub(crate) fn postpone(&mut self, until: Millis) {
        self.has_news = true;
        (self.token_at, self.ahead_at) = (until, until);
    }

    /// Returns when the next message is due; `None` if there is nothing to say.
    pub(crate) fn next_due(&self, now: Millis) -> Option<Millis> {
        let waits = (self.waiting > 0).then_some(self.token_at);
        let lacks = (self.missing_ahead(now) > 0).then_some(self.ahead_at);
        let has_share = self.share.per_ms(now) > 0.0;
        let reports = (has_share || self.has_news).then_some(self.reported + REPORT_INTERVAL);
        let returns = (self.tokens > 0).then_some(self.fewest_since + UNUSED_TIME);
        [waits, lacks, reports, returns].into_iter().flatten().min()
    }

    /// Returns the next report.
    pub(crate) fn report(&mut self, workspace: &str, now: Millis) -> Request {
        self.expire(now);
        self.return_unused(now);
        self.reported = now;
        self.has_news = false;
        let ahead = match now >= self.ahead_at {
            true => self.missing_ahead(now),
            false => 0,
        };
        Request {
            workspace: workspace.to_owned(),
            wanted: self.waiting + ahead,
            waiting: self.waiting,
            used_total: self.used,
            received_total: self.received,
            returned_total: self.returned,
            refunded_total: self.refunded,
            shared_total: self.shared,
            share: self.share(now),
            demand: self.demand.per_ms(now) * MS_PER_S,
        }
    }

    /// Takes the answer to a message that was sent at `sent` with `request`.
    pub(crate) fn apply(&mut self, grant: &Grant, request: &Request, sent: Millis, now: Millis) {
        self.answered = Some(sent);
        self.tokens += grant.granted;
        self.received += grant.granted;
        // The allocator withholds a share until its end is confirmed.
        let is_ended = request.share > 0.0 && grant.share <= 0.0;
        self.has_news |= grant.granted > 0 || is_ended;
        self.share = Share::new(grant.share / MS_PER_S, sent);
        let wait = grant.wait_ms.max(MIN_WAIT);
        match grant.granted {
            n if n < request.waiting => self.postpone_tokens(now + wait, now + wait),
            n if n < request.wanted => self.postpone_tokens(now, now + REPORT_INTERVAL),
            _ => self.postpone_tokens(now, now),
        }
    }

    /// Records that a message was not answered.
    pub(crate) fn record_loss(&mut self) {
        self.has_news = true;
    }

    fn postpone_tokens(&mut self, token_at: Millis, ahead_at: Millis) {
        (self.token_at, self.ahead_at) = (token_at, ahead_at);
    }

    /// Returns the tokens that are missing for the demand ahead, at least one after a
    /// request.
    fn missing_ahead(&self, now: Millis) -> u64 {
        self.wanted_ahead(now).saturating_sub(self.tokens)
    }

    fn wanted_ahead(&self, now: Millis) -> u64 {
        if !self.demand.was_within(UNUSED_TIME, now) {
            return 0;
        }
        let ahead = self.demand.per_ms(now) * AHEAD_TIME.0 as f64;
        ahead.ceil().max(1.0) as u64
    }

    /// Drops tokens that the allocator counts as used by now.
    fn expire(&mut self, now: Millis) {
        let is_valid = self
            .answered
            .is_some_and(|at| now.since(at) < TOKEN_LIFETIME);
        if !is_valid && self.tokens > 0 {
            self.drop_tokens(self.tokens);
        }
    }

    fn return_unused(&mut self, now: Millis) {
        if now.since(self.fewest_since) < UNUSED_TIME {
            return;
        }
        let last = u64::from(self.demand.was_within(LAST_TOKEN_TIME, now));
        let kept = self.wanted_ahead(now).max(last);
        let unused = self.fewest.min(self.tokens);
        self.drop_tokens(unused.saturating_sub(kept));
        self.fewest = self.tokens;
        self.fewest_since = now;
    }

    fn drop_tokens(&mut self, count: u64) {
        self.tokens -= count;
        self.returned += count;
        self.fewest = self.fewest.min(self.tokens);
        self.has_news |= count > 0;
    }
}
