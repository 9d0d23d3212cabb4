//! Sleeps of the timer, which the HTTP library polls again after they have
//! completed.

use std::time::{Duration, Instant};

use futures_util::future::poll_immediate;
use hyper::rt::Timer;
use rstest::rstest;
use transport::RuntimeTimer;

const SLEEP_TIME: Duration = Duration::from_millis(5);

#[rstest]
#[case::sleep(false)]
#[case::sleep_until(true)]
#[compio::test]
async fn a_sleep_can_be_polled_after_it_has_completed(#[case] is_until: bool) {
    let mut sleep = match is_until {
        true => RuntimeTimer.sleep_until(Instant::now() + SLEEP_TIME),
        false => RuntimeTimer.sleep(SLEEP_TIME),
    };
    assert_eq!(poll_immediate(sleep.as_mut()).await, None);
    sleep.as_mut().await;
    for _ in 0..2 {
        assert_eq!(poll_immediate(sleep.as_mut()).await, Some(()));
    }
}
