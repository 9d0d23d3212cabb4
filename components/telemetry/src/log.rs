//! Structured logs, one JSON object per line.

use std::io;
use std::str::FromStr;
use std::sync::{Mutex, mpsc};
use std::thread;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use slog::{Drain, FnValue, Logger, PushFnValue, Record, o};

use crate::metric::names;

/// Severity of a log line; as a setting, the least severe one that is written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Level {
    /// Failures that need an operator.
    Error,
    /// Conditions that may need an operator.
    Warning,
    /// Changes of state; nothing per request.
    #[default]
    Info,
    /// Details, one line or more per request.
    Debug,
}

impl From<Level> for slog::Level {
    fn from(level: Level) -> Self {
        match level {
            Level::Error => slog::Level::Error,
            Level::Warning => slog::Level::Warning,
            Level::Info => slog::Level::Info,
            Level::Debug => slog::Level::Debug,
        }
    }
}

impl FromStr for Level {
    type Err = String;

    fn from_str(s: &str) -> Result<Self, String> {
        match s {
            "error" => Ok(Level::Error),
            "warning" => Ok(Level::Warning),
            "info" => Ok(Level::Info),
            "debug" => Ok(Level::Debug),
            _ => Err(format!("`{s}` is not one of error, warning, info, debug")),
        }
    }
}

/// Lines in the buffer of the bounded logger; further ones are dropped and
/// counted.
const BUFFERED_LINES: usize = 2_048;

/// Returns a logger that writes JSON lines with the name of the instance to
/// standard error.
pub fn logger(level: Level, instance: &str) -> Logger {
    let filtered = slog::LevelFilter::new(json_lines(io::stderr()), level.into());
    Logger::root(
        Mutex::new(filtered).fuse(),
        o!("instance" => instance.to_owned()),
    )
}

/// Returns a logger that writes to standard output and never blocks.
///
/// If standard output is not read and the buffer is full, lines are dropped; a
/// log line reports their number.
pub fn bounded_logger(level: Level, instance: &str) -> (Logger, LogWriter) {
    let lines = Mutex::new(json_lines(io::stdout())).fuse();
    let (buffered, guard) = slog_async::Async::new(lines)
        .chan_size(BUFFERED_LINES)
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build_with_guard();
    let filtered = slog::LevelFilter::new(buffered, level.into());
    let logger = Logger::root(filtered.fuse(), o!("instance" => instance.to_owned()));
    (logger, LogWriter(guard))
}

/// Handle of the thread that writes the lines of a bounded logger.
pub struct LogWriter(slog_async::AsyncGuard);

impl LogWriter {
    /// Writes the buffered lines; gives up after `timeout` if they are not read.
    pub fn finish(self, timeout: Duration) {
        let (done, is_done) = mpsc::channel();
        thread::spawn(move || {
            // Blocks until the last line is written.
            drop(self.0);
            let _ = done.send(());
        });
        let _ = is_done.recv_timeout(timeout);
    }
}

fn json_lines<W: io::Write>(writer: W) -> slog_json::Json<W> {
    slog_json::Json::new(writer)
        .add_key_value(o!(
            "msg" => PushFnValue(|r: &Record, s| s.emit(r.msg())),
            "level" => FnValue(|r: &Record| r.level().as_str()),
            "ts_ms" => FnValue(|_: &Record| clock::Millis::wall().0),
        ))
        .build()
}

/// Installs a hook that logs and counts panics; the runtime continues with the
/// other tasks.
pub fn log_panics(log: &Logger) {
    let log = log.clone();
    std::panic::set_hook(Box::new(move |info| {
        let place = info.location().map(ToString::to_string);
        let detail = info.payload_as_str().unwrap_or_default();
        metrics::counter!(names::PANICS_TOTAL).increment(1);
        slog::error!(log, "task panicked"; "place" => place, "detail" => detail);
    }));
}
