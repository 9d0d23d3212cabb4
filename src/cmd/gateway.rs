//! `gateway`: runs a gateway on the users' platform.

use std::rc::Rc;
use std::time::Duration;

use gateway::PlatformAdapters;
use platform::{PlatformDecoder, PlatformStore, PlatformWire};
use snafu::ResultExt;

use crate::cli::GatewayArgs;
use crate::cmd::call::block_on;
use crate::exit::{Code, GatewaySnafu, MetricsSnafu, PlatformSnafu, Result};

/// Maximum time for writing the last log lines at exit.
const LOG_FLUSH_TIMEOUT: Duration = Duration::from_millis(500);

pub(crate) fn run(args: &GatewayArgs) -> Result<Code> {
    let settings = platform::load(&args.settings).context(PlatformSnafu)?;
    let recorder = telemetry::install().map_err(|detail| MetricsSnafu { detail }.build())?;
    let (log, writer) = telemetry::bounded_logger(args.log_level, &settings.gateway.instance);
    telemetry::log_panics(&log);
    let store = Rc::new(PlatformStore::new(settings.store));
    let path = args.settings.clone();
    let adapters = PlatformAdapters {
        feed: store.clone(),
        decoder: Rc::new(PlatformDecoder),
        leases: store.clone(),
        crashes: store,
        wire: Rc::new(PlatformWire),
        read_settings: Box::new(move || {
            let settings = platform::load(&path).map_err(|e| e.to_string())?;
            Ok(settings.gateway)
        }),
    };
    let result = block_on(gateway::run(settings.gateway, adapters, recorder, log));
    writer.finish(LOG_FLUSH_TIMEOUT);
    result?.context(GatewaySnafu)?;
    Ok(Code::Success)
}
