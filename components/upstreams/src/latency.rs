//! Measured latency: a moving average and quantiles over recent answers.

use clock::Millis;
use hdrhistogram::Histogram;

const WINDOW_SAMPLES: u64 = 2_000;
const MIN_SAMPLES: u64 = 40;
const MAX_MICROS: u64 = 60_000_000;
const SIGNIFICANT_DIGITS: u8 = 2;
const SAMPLE_WEIGHT: f64 = 0.1;
const MICROS_PER_MS: f64 = 1_000.0;

/// Latency over the last one to two windows of samples.
#[derive(Debug)]
pub struct Latency {
    current: Histogram<u32>,
    previous: Histogram<u32>,
    mean_ms: f64,
    samples: u64,
}

impl Default for Latency {
    fn default() -> Self {
        Self {
            current: histogram(),
            previous: histogram(),
            mean_ms: 0.0,
            samples: 0,
        }
    }
}

fn histogram() -> Histogram<u32> {
    Histogram::new_with_bounds(1, MAX_MICROS, SIGNIFICANT_DIGITS)
        .expect("the bounds are constants in range")
}

impl Latency {
    /// Adds one sample, in milliseconds.
    pub fn record(&mut self, ms: f64) {
        // Values above the maximum are counted as the maximum.
        self.current.saturating_record((ms * MICROS_PER_MS) as u64);
        self.mean_ms = match self.samples {
            0 => ms,
            _ => self.mean_ms + SAMPLE_WEIGHT * (ms - self.mean_ms),
        };
        self.samples += 1;
        if self.current.len() >= WINDOW_SAMPLES {
            std::mem::swap(&mut self.current, &mut self.previous);
            self.current.reset();
        }
    }

    /// Returns the moving average, in milliseconds; 0 before the first sample.
    pub fn mean_ms(&self) -> f64 {
        self.mean_ms
    }

    /// Returns the value at a quantile, or `None` while there are too few
    /// samples.
    pub fn quantile(&self, q: f64) -> Option<Millis> {
        let larger = if self.previous.is_empty() {
            &self.current
        } else {
            &self.previous
        };
        let micros = larger.value_at_quantile(q) as f64;
        (larger.len() >= MIN_SAMPLES).then(|| Millis((micros / MICROS_PER_MS).ceil() as u64))
    }
}
