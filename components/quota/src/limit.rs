//! The limit of a workspace and the parts of its slack.

use clock::Millis;

const MS_PER_S: f64 = 1_000.0;
/// Part of the slack that covers unused tokens that daemons hold.
const HELD_PART: f64 = 0.3;
/// Part of the slack that a new allocator starts with.
const INITIAL_PART: f64 = 0.2;
/// Part of the slack that covers daemons that use their shares while the allocator has not
/// noticed yet that they are silent.
const SHARE_PART: f64 = 0.5;
/// Part of the tokens that daemons may hold that is granted ahead of use; the rest is kept
/// for requests that wait.
const AHEAD_PART: f64 = 0.7;

/// What a workspace may exceed its quota by, over all daemons together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Margin {
    /// Length of the window in which requests are counted.
    pub window: Millis,
    /// Excess as a share of what the quota allows in a window.
    pub overage: f64,
    /// Excess in requests in a window.
    pub slack: f64,
}

impl Default for Margin {
    fn default() -> Self {
        Self {
            window: Millis(5_000),
            overage: 0.1,
            slack: 20.0,
        }
    }
}

/// The limit of a workspace.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    pub(crate) per_ms: f64,
    pub(crate) burst: f64,
    /// Requests by which a window may exceed the rate and the burst.
    slack: f64,
}

impl Limit {
    /// Returns the limit of a quota, in requests a second and requests.
    pub fn new(per_second: f64, burst: f64, margin: &Margin) -> Self {
        let window_s = margin.window.0 as f64 / MS_PER_S;
        let exact = per_second * window_s + burst;
        Self {
            per_ms: per_second / MS_PER_S,
            // A smaller bucket would never hold a whole token.
            burst: burst.max(1.0),
            slack: margin.overage * exact + margin.slack,
        }
    }

    /// Returns the tokens that daemons may hold unused.
    pub(crate) fn held(&self) -> f64 {
        HELD_PART * self.slack
    }

    /// Returns the tokens that may be granted ahead of use.
    pub(crate) fn ahead(&self) -> f64 {
        AHEAD_PART * self.held()
    }

    /// Returns the tokens that a new allocator may grant at once.
    pub(crate) fn initial(&self) -> f64 {
        INITIAL_PART * self.slack
    }

    /// Returns the sum of all shares, in requests per millisecond. A daemon that uses its
    /// share is noticed within `silence`, and what it uses until then is covered.
    pub(crate) fn shares(&self, silence: Millis) -> f64 {
        let covered = SHARE_PART * self.slack / silence.0 as f64;
        self.per_ms.min(covered)
    }
}
