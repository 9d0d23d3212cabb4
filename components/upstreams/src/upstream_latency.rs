//! Current latency of one upstream: an average that follows a change within a few
//! answers, even if answers are rare.

use clock::Millis;

/// Smallest weight of an answer, used when answers are frequent.
const MIN_WEIGHT: f64 = 0.1;
/// Largest weight of an answer; a single one may be slow by chance.
const MAX_WEIGHT: f64 = 0.5;
/// Time constant of the average: the longer the time since the last answer
/// relative to this, the more the next answer counts.
const AVERAGING_TIME: Millis = Millis(2_000);
/// Time constant with which the average returns to the pool's mean: 63 % of the
/// difference is gone after this time without answers.
const DECAY_TIME: Millis = Millis(4_000);

/// A moving average over time in which each answer counts more, the rarer the
/// answers are.
#[derive(Debug, Default)]
pub struct UpstreamLatency {
    last: Option<(Millis, f64)>,
}

impl UpstreamLatency {
    /// Records the latency of an answered request; `pool_mean_ms` is the mean
    /// latency of the service.
    pub fn record(&mut self, elapsed: Millis, pool_mean_ms: f64, now: Millis) {
        let weight = match self.last {
            None => MAX_WEIGHT,
            Some((at, _)) => {
                decayed_share(now.since(at), AVERAGING_TIME).clamp(MIN_WEIGHT, MAX_WEIGHT)
            }
        };
        let mean = self.mean_ms(pool_mean_ms, now);
        self.last = Some((now, mean + weight * (elapsed.0 as f64 - mean)));
    }

    /// Records a request that was cancelled after `elapsed`, if that is above
    /// the average: its answer would have taken longer still.
    pub fn record_cancelled(&mut self, elapsed: Millis, pool_mean_ms: f64, now: Millis) {
        if elapsed.0 as f64 > self.mean_ms(pool_mean_ms, now) {
            self.record(elapsed, pool_mean_ms, now);
        }
    }

    /// Returns the average, in milliseconds; it tends to `pool_mean_ms` as the
    /// last answer gets older, and equals it before the first answer.
    pub fn mean_ms(&self, pool_mean_ms: f64, now: Millis) -> f64 {
        match self.last {
            None => pool_mean_ms,
            Some((at, mean)) => {
                mean + decayed_share(now.since(at), DECAY_TIME) * (pool_mean_ms - mean)
            }
        }
    }
}

/// Returns the share of an exponentially decaying value that is gone after
/// `elapsed`.
fn decayed_share(elapsed: Millis, time_constant: Millis) -> f64 {
    1.0 - (-(elapsed.0 as f64) / time_constant.0 as f64).exp()
}
