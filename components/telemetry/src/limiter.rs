//! Limits the rate of log lines about requests.

use std::cell::Cell;

use clock::Millis;
use slog::{Logger, info};

/// Log lines about requests in one window; further ones are dropped and counted.
const LINES_PER_WINDOW: u64 = 50;
const WINDOW: Millis = Millis(1_000);

/// Rate limiter of log lines about requests, which also reports how many lines it
/// dropped.
pub struct RequestLogLimiter {
    window: Cell<Millis>,
    written: Cell<u64>,
    dropped: Cell<u64>,
    log: Logger,
}

impl RequestLogLimiter {
    /// Returns a limiter that reports dropped lines to `log`.
    pub fn new(log: &Logger) -> Self {
        Self {
            window: Cell::new(Millis::ZERO),
            written: Cell::new(0),
            dropped: Cell::new(0),
            log: log.clone(),
        }
    }

    /// Calls `write_line` unless the limit of the current window is reached.
    pub fn write(&self, write_line: impl FnOnce()) {
        self.start_due_window(Millis::now());
        if self.written.get() >= LINES_PER_WINDOW {
            self.dropped.set(self.dropped.get() + 1);
            return;
        }
        self.written.set(self.written.get() + 1);
        write_line();
    }

    fn start_due_window(&self, now: Millis) {
        if now.since(self.window.get()) < WINDOW {
            return;
        }
        self.window.set(now);
        self.written.set(0);
        let dropped = self.dropped.replace(0);
        if dropped > 0 {
            info!(self.log, "lines about requests left out"; "count" => dropped);
        }
    }
}
