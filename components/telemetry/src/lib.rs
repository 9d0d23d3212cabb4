//! Logs as JSON lines and metrics as Prometheus text.

mod limiter;
mod log;
mod metric;

pub use limiter::RequestLogLimiter;
pub use log::{Level, LogWriter, bounded_logger, log_panics, logger};
pub use metric::{Recorder, install, names};
