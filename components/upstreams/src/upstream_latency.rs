//! How long one upstream takes now, learned from few answers.

use clock::Millis;

/// The least that an answer counts, among many.
const LEAST_WEIGHT: f64 = 0.1;
/// The most that an answer counts; a single one may be slow by chance.
const MOST_WEIGHT: f64 = 0.5;
/// An average is half as old as this when an answer comes that counts as much
/// as all before.
const MEMORY: Millis = Millis(2_000);
/// Without answers for this long, most of what was learned is forgotten.
const FORGETTING: Millis = Millis(4_000);

/// A moving average over time: the rarer the answers, the more each counts.
#[derive(Debug, Default)]
pub struct UpstreamLatency {
    last: Option<(Millis, f64)>,
}

impl UpstreamLatency {
    /// Notes that a request took some time; `usual_ms` is what is
    /// usual in the service.
    pub fn record(&mut self, elapsed: Millis, usual_ms: f64, now: Millis) {
        let weight = match self.last {
            None => MOST_WEIGHT,
            Some((at, _)) => share_of_time(now.since(at), MEMORY).clamp(LEAST_WEIGHT, MOST_WEIGHT),
        };
        let mean = self.mean_ms(usual_ms, now);
        self.last = Some((now, mean + weight * (elapsed.0 as f64 - mean)));
    }

    /// Notes that a request was given up after some time: it would have taken
    /// longer still.
    pub fn record_cancelled(&mut self, elapsed: Millis, usual_ms: f64, now: Millis) {
        if elapsed.0 as f64 > self.mean_ms(usual_ms, now) {
            self.record(elapsed, usual_ms, now);
        }
    }

    /// How long a request takes, in milliseconds; what is unknown or long ago
    /// is taken as usual.
    pub fn mean_ms(&self, usual_ms: f64, now: Millis) -> f64 {
        match self.last {
            None => usual_ms,
            Some((at, mean)) => mean + share_of_time(now.since(at), FORGETTING) * (usual_ms - mean),
        }
    }
}

/// The share of a memory that has faded after some time.
fn share_of_time(elapsed: Millis, memory: Millis) -> f64 {
    1.0 - (-(elapsed.0 as f64) / memory.0 as f64).exp()
}
