//! Waits for the signals that stop a process.

use std::io;

use compio::signal::unix::signal;
use futures_util::future::{LocalBoxFuture, select};
use futures_util::poll;

const STOP_SIGNALS: [i32; 2] = [libc::SIGTERM, libc::SIGINT];

type Received = LocalBoxFuture<'static, io::Result<()>>;

/// Keeps further stop signals from ending the process until it is dropped.
#[must_use = "dropping it lets the next stop signal end the process"]
pub struct StopSignalGuard {
    /// Their handlers stay installed until they are dropped.
    _later: [Received; 2],
}

/// Waits for SIGTERM or SIGINT.
///
/// While the returned guard lives, further ones have no effect, so that they
/// don't cut the requests of a graceful shutdown.
pub async fn stop_signal() -> StopSignalGuard {
    let [term, int] = STOP_SIGNALS.map(listen);
    let mut first = select(term, int);
    let mut later = STOP_SIGNALS.map(listen);
    // The first poll of a listener installs its handler. The later ones follow
    // the first ones, so that no signal is missed.
    let is_received = poll!(&mut first).is_ready();
    for listener in &mut later {
        let _ = poll!(listener);
    }
    if !is_received {
        first.await;
    }
    StopSignalGuard { _later: later }
}

fn listen(number: i32) -> Received {
    Box::pin(signal(number))
}
