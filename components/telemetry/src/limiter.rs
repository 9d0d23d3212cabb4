//! Bounds the lines that requests write to the log.

use std::cell::Cell;

use clock::Millis;
use slog::{Logger, info};

/// Lines about requests in each window; further ones are counted.
const LINES_PER_WINDOW: u64 = 50;
const WINDOW: Millis = Millis(1_000);

/// Lets a bounded number of lines about requests through.
pub struct RequestLogLimiter {
    window: Cell<Millis>,
    written: Cell<u64>,
    left_out: Cell<u64>,
    log: Logger,
}

impl RequestLogLimiter {
    /// Returns a bound that nothing was written under yet.
    pub fn new(log: &Logger) -> Self {
        Self {
            window: Cell::new(Millis::ZERO),
            written: Cell::new(0),
            left_out: Cell::new(0),
            log: log.clone(),
        }
    }

    /// Calls `write` unless this window had its lines.
    pub fn note(&self, write: impl FnOnce()) {
        self.turn(Millis::now());
        if self.written.get() >= LINES_PER_WINDOW {
            self.left_out.set(self.left_out.get() + 1);
            return;
        }
        self.written.set(self.written.get() + 1);
        write();
    }

    fn turn(&self, now: Millis) {
        if now.since(self.window.get()) < WINDOW {
            return;
        }
        self.window.set(now);
        self.written.set(0);
        let left_out = self.left_out.replace(0);
        if left_out > 0 {
            info!(self.log, "lines about requests left out"; "count" => left_out);
        }
    }
}
