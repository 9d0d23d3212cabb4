//! A daemon's share of a quota, which it uses while it can't reach the allocator.

use clock::Millis;

/// A share is used for this long after the allocator's last answer. This is less than the
/// time after which a registration without renewal expires (10 s) minus the renewal
/// interval (3 s), so that it has ended before the others can choose another allocator.
pub(crate) const SHARE_LIFETIME: Millis = Millis(6_000);

/// The rate that a daemon may use by itself, from the last answer of the allocator on.
#[derive(Clone, Debug, Default)]
pub(crate) struct Share {
    per_ms: f64,
    /// When the message that was answered last was sent.
    from: Millis,
    spent: f64,
}

impl Share {
    /// Returns an unused share.
    pub(crate) fn new(per_ms: f64, from: Millis) -> Self {
        Self {
            per_ms,
            from,
            spent: 0.0,
        }
    }

    /// Returns the rate in requests per millisecond, zero once the share has ended.
    pub(crate) fn per_ms(&self, now: Millis) -> f64 {
        match now.since(self.from) < SHARE_LIFETIME {
            true => self.per_ms,
            false => 0.0,
        }
    }

    /// Takes a request's part; `false` if there is not enough left.
    pub(crate) fn take(&mut self, now: Millis) -> bool {
        let has_one = self.per_ms(now) > 0.0 && self.left(now) >= 1.0;
        if has_one {
            self.spent += 1.0;
        }
        has_one
    }

    /// Returns the time until a request can be admitted; `None` if the share ends before.
    pub(crate) fn wait(&self, now: Millis) -> Option<Millis> {
        let per_ms = self.per_ms(now);
        if per_ms <= 0.0 {
            return None;
        }
        let missing = (1.0 - self.left(now)).max(0.0);
        let wait = Millis((missing / per_ms).ceil() as u64);
        (self.per_ms(now + wait) > 0.0).then_some(wait)
    }

    fn left(&self, now: Millis) -> f64 {
        self.per_ms * now.since(self.from).0 as f64 - self.spent
    }
}
