//! `serve`: runs a daemon.

use snafu::ResultExt;

use crate::cli::ServeArgs;
use crate::cmd::call::block_on;
use crate::exit::{Code, DaemonSnafu, FindingsSnafu, MetricsSnafu, Result};

pub(crate) fn run(args: &ServeArgs) -> Result<Code> {
    let settings = settings::load(&args.settings).context(FindingsSnafu)?;
    let recorder = telemetry::install().map_err(|detail| MetricsSnafu { detail }.build())?;
    let log = telemetry::logger(settings.log_level, &settings.instance);
    telemetry::log_panics(&log);
    block_on(daemon::run(settings, recorder, log))?.context(DaemonSnafu)?;
    Ok(Code::Success)
}
