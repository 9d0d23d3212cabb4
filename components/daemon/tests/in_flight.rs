//! Requests that arrive after the shutdown cut those in flight.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use daemon::{End, InFlight, InFlightRequest};
use rstest::rstest;

const PAUSE: Duration = Duration::from_millis(20);

#[rstest]
#[case::detached(true)]
#[case::cancellable(false)]
fn a_request_after_the_cut_does_not_run(#[case] is_detached: bool) {
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let in_flight = InFlight::default();
        assert!(in_flight.cut().is_empty());
        let has_run = Rc::new(Cell::new(false));
        let flag = has_run.clone();
        let work = async move { flag.set(true) };
        let request = InFlightRequest::new("booking", "r-late", "jobs");
        let end = match is_detached {
            true => in_flight.run_detached(request, work).await,
            false => in_flight.run(request, work).await,
        };
        compio::time::sleep(PAUSE).await;
        assert!(!has_run.get(), "the request ran: {end:?}");
        assert_eq!(end, End::NotRun);
        assert_eq!(in_flight.count(), 0);
    });
}
