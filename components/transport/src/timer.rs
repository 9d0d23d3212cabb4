//! The timer of HTTP connections.

use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use hyper::rt::{Sleep, Timer};

use crate::local::Local;

/// Sleeps on the runtime. Unlike the timer that comes with the runtime's
/// glue, a sleep may be polled again after its end, as a connection does that
/// was idle for longer than its ping interval.
#[derive(Clone, Copy, Debug, Default)]
pub struct RuntimeTimer;

/// A sleep; `None` once it has ended.
struct Nap(Local<Option<Pin<Box<dyn Future<Output = ()>>>>>);

impl Sleep for Nap {}

impl Future for Nap {
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
        Box::pin(Nap(Local::new(Some(sleep))))
    }

    fn sleep_until(&self, deadline: Instant) -> Pin<Box<dyn Sleep>> {
        let sleep = Box::pin(compio::time::sleep_until(deadline));
        Box::pin(Nap(Local::new(Some(sleep))))
    }
}
