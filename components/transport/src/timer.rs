//! The timer that the HTTP library uses for connections.

use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use hyper::rt::{Sleep, Timer};

use crate::local::Local;

/// Timer on the compio runtime.
///
/// Unlike with the timer of `cyper_core`, a sleep may be polled again after it
/// has completed. The HTTP library does so on a connection that was idle for
/// longer than its ping interval.
#[derive(Clone, Copy, Debug, Default)]
pub struct RuntimeTimer;

/// A sleep; `None` after it has completed.
struct RuntimeSleep(Local<Option<Pin<Box<dyn Future<Output = ()>>>>>);

impl Sleep for RuntimeSleep {}

impl Future for RuntimeSleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        let Some(sleep) = self.0.as_mut() else {
            return Poll::Ready(());
        };
        if sleep.as_mut().poll(context).is_pending() {
            return Poll::Pending;
        }
        *self.0 = None;
        Poll::Ready(())
    }
}

impl Timer for RuntimeTimer {
    fn sleep(&self, duration: Duration) -> Pin<Box<dyn Sleep>> {
        let sleep = Box::pin(compio::time::sleep(duration));
        Box::pin(RuntimeSleep(Local::new(Some(sleep))))
    }

    fn sleep_until(&self, deadline: Instant) -> Pin<Box<dyn Sleep>> {
        let sleep = Box::pin(compio::time::sleep_until(deadline));
        Box::pin(RuntimeSleep(Local::new(Some(sleep))))
    }
}
