//! Sleeps of connections, which poll them again after their end.

use std::time::{Duration, Instant};

use futures_util::future::poll_immediate;
use hyper::rt::Timer;
use rstest::rstest;
use transport::RuntimeTimer;

const SHORT: Duration = Duration::from_millis(5);

#[rstest]
#[case::for_a_time(false)]
#[case::until_a_time(true)]
#[compio::test]
async fn a_sleep_can_be_polled_after_its_end(#[case] is_until: bool) {
    let mut sleep = match is_until {
        true => RuntimeTimer.sleep_until(Instant::now() + SHORT),
        false => RuntimeTimer.sleep(SHORT),
    };
    assert_eq!(poll_immediate(sleep.as_mut()).await, None);
    sleep.as_mut().await;
    for _ in 0..2 {
        assert_eq!(poll_immediate(sleep.as_mut()).await, Some(()));
    }
}
