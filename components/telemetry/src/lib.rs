//! Logs as JSON lines and metrics as Prometheus text.

mod lines;
mod log;
mod metric;

pub use lines::RequestLines;
pub use log::{Level, LogWriter, bounded_logger, log_panics, logger};
pub use metric::{Recorder, install, names};
