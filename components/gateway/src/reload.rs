//! Reloads the settings while the process runs.

use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use clock::Millis;
use slog::{info, warn};
use upstreams::Times;

use crate::settings::Settings;
use crate::state::Gateway;

/// Interval between checks for SIGHUP.
const CHECK_INTERVAL: Millis = Millis(250);
/// Interval between reads of the settings file without a signal.
const READ_INTERVAL: Millis = Millis(2_000);

/// Reads the settings; the error names the place of the fault.
pub type ReadSettings = dyn Fn() -> Result<Settings, String>;

/// A flag that SIGHUP sets; its handler keeps SIGHUP from ending the process.
pub(crate) struct HangupFlag(Arc<AtomicBool>);

impl HangupFlag {
    /// Installs the SIGHUP handler for the lifetime of the process.
    pub(crate) fn install() -> std::io::Result<Self> {
        let flag = Arc::new(AtomicBool::new(false));
        signal_hook::flag::register(libc::SIGHUP, flag.clone())?;
        Ok(Self(flag))
    }

    fn take(&self) -> bool {
        self.0.swap(false, Ordering::Relaxed)
    }
}

/// Reloads the settings on SIGHUP or when their file has changed, until the
/// task is dropped.
pub(crate) async fn run(gateway: Rc<Gateway>, hangup: HangupFlag, read: Box<ReadSettings>) {
    let mut read_at = Millis::now();
    let mut last_error = None;
    loop {
        compio::time::sleep(CHECK_INTERVAL.into()).await;
        let is_signalled = hangup.take();
        if !is_signalled && Millis::now().since(read_at) < READ_INTERVAL {
            continue;
        }
        read_at = Millis::now();
        match read() {
            Ok(settings) => {
                last_error = None;
                apply(&gateway, settings, is_signalled);
            }
            Err(detail) if last_error.as_ref() != Some(&detail) => {
                warn!(gateway.log, "settings not reloaded; the last valid settings stay in force"; "error" => &detail);
                last_error = Some(detail);
            }
            Err(_) => {}
        }
    }
}

/// Applies new settings; changed listen addresses take effect only after a
/// restart.
fn apply(gateway: &Gateway, settings: Settings, is_signalled: bool) {
    let is_changed = *gateway.settings.borrow() != settings;
    if is_changed || is_signalled {
        info!(gateway.log, "settings reloaded"; "changed" => is_changed,
            "signal" => is_signalled, "grace_ms" => settings.grace_period.0);
    }
    if is_changed {
        gateway.fleet.set_retry_budget(settings.retry_budget);
        let cold_limits = &gateway.fleet.shared().cold_limits;
        cold_limits.set_bounds(settings.cold_bounds, Times::now());
        gateway.quotas.set_margin(settings.quota_margin);
        gateway.follower.set_seeds(settings.seeds.clone());
        gateway.fleet.update(&gateway.directory.borrow());
        *gateway.settings.borrow_mut() = settings;
    }
}
