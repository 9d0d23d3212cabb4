//! The signals that stop a process.

use futures_util::future::select;

/// Waits for SIGTERM or SIGINT.
pub async fn stop_signal() {
    let term = std::pin::pin!(compio::signal::unix::signal(libc::SIGTERM));
    let int = std::pin::pin!(compio::signal::unix::signal(libc::SIGINT));
    select(term, int).await;
}
