//! Time in milliseconds, as all crates of the workspace use it.

use std::fmt;
use std::ops::{Add, Sub};
use std::sync::OnceLock;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Serialize};

/// A point in time or a span, in milliseconds.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// The zero span.
    pub const ZERO: Millis = Millis(0);

    /// The monotonic time since the first call in this process.
    pub fn now() -> Self {
        static START: OnceLock<Instant> = OnceLock::new();
        START.get_or_init(Instant::now).elapsed().into()
    }

    /// The monotonic time since the start of the machine, which includes the time for which
    /// it was suspended.
    pub fn since_boot() -> Self {
        let elapsed = clock_gettime(ClockId::CLOCK_BOOTTIME).map(Duration::from);
        elapsed.map_or_else(|_| Self::now(), Millis::from)
    }

    /// The wall-clock time since the Unix epoch.
    pub fn wall() -> Self {
        let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
        elapsed.unwrap_or_default().into()
    }

    /// The span from `earlier` to this time, or zero if `earlier` is later.
    pub fn since(self, earlier: Millis) -> Millis {
        Millis(self.0.saturating_sub(earlier.0))
    }
}

impl Add for Millis {
    type Output = Millis;

    fn add(self, rhs: Millis) -> Millis {
        Millis(self.0.saturating_add(rhs.0))
    }
}

impl Sub for Millis {
    type Output = Millis;

    fn sub(self, rhs: Millis) -> Millis {
        self.since(rhs)
    }
}

impl From<Duration> for Millis {
    fn from(d: Duration) -> Self {
        Millis(u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
    }
}

impl From<Millis> for Duration {
    fn from(m: Millis) -> Self {
        Duration::from_millis(m.0)
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ms", self.0)
    }
}
