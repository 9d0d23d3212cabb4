//! Answers whose status promises that a request has not run, from upstreams and gateways
//! that do not say so otherwise. Real processes run against a stand-in store, upstreams and
//! peers.

use bytes::Bytes;
use http::{Method, StatusCode};
use rstest::rstest;
use standins::platform::gateway::ready;
use standins::platform::link::Links;
use standins::platform::parted::start_parted;
use standins::platform::peer::start_peer_answering;
use standins::platform::site::{READ, WRITE, start_site};
use standins::platform::upstream::Mode;

const REQUESTS: usize = 20;
const VERSION: u64 = 9;

/// Guards against a request that must not be repeated being answered as not run though an
/// upstream has run it: its caller would send it again.
#[rstest]
#[case::request_timeout(StatusCode::REQUEST_TIMEOUT)]
#[case::misdirected(StatusCode::MISDIRECTED_REQUEST)]
#[case::too_many_requests(StatusCode::TOO_MANY_REQUESTS)]
#[case::unavailable(StatusCode::SERVICE_UNAVAILABLE)]
#[compio::test]
async fn a_write_that_ran_is_not_answered_as_not_run(#[case] status: StatusCode) {
    let site = start_site().await;
    let gateway = ready(&site).await;
    site.set_mode(0, &Mode::Status(status));
    for n in 0..REQUESTS {
        let (path, id) = (format!("{WRITE}{n}"), format!("w-{n}"));
        let answer = gateway.send(Method::POST, &path, &id, Bytes::new()).await;
        assert_eq!(site.runs(&id), 1);
        assert_eq!(answer.status(), StatusCode::BAD_GATEWAY, "{answer:?}");
        // It would tell that the upstream gave this status.
        assert!(!answer.headers().contains_key("server-stamp"), "{answer:?}");
    }
}

/// What promises nothing is passed on as it is, and so is any answer to a request that may
/// be repeated.
#[rstest]
#[case::write_conflict(WRITE, StatusCode::CONFLICT)]
#[case::write_error(WRITE, StatusCode::INTERNAL_SERVER_ERROR)]
#[case::write_timeout(WRITE, StatusCode::GATEWAY_TIMEOUT)]
#[case::read_too_many_requests(READ, StatusCode::TOO_MANY_REQUESTS)]
#[case::read_unavailable(READ, StatusCode::SERVICE_UNAVAILABLE)]
#[compio::test]
async fn other_failures_are_passed_on(#[case] prefix: &str, #[case] status: StatusCode) {
    let site = start_site().await;
    let gateway = ready(&site).await;
    site.set_mode(0, &Mode::Status(status));
    let answer = gateway.get(&format!("{prefix}1"), "r").await;
    assert_eq!(answer.status(), status);
    assert!(answer.headers().contains_key("server-stamp"), "{answer:?}");
}

/// Guards against the same where another gateway passes such an answer on, as older ones do.
#[rstest]
#[case::request_timeout(StatusCode::REQUEST_TIMEOUT)]
#[case::misdirected(StatusCode::MISDIRECTED_REQUEST)]
#[case::too_many_requests(StatusCode::TOO_MANY_REQUESTS)]
#[case::unavailable(StatusCode::SERVICE_UNAVAILABLE)]
#[compio::test]
async fn a_write_that_was_handed_over_is_not_answered_as_not_run(#[case] status: StatusCode) {
    let site = start_site().await;
    let links = Links::start(&site).await;
    let peer = start_peer_answering(&site, VERSION, status).await;
    let gateway = start_parted(&links).await;
    let before = peer.get();
    let path = format!("{WRITE}1");
    let answer = gateway.send(Method::POST, &path, "w", Bytes::new()).await;
    assert_eq!(peer.get(), before + 1);
    assert_eq!(answer.status(), StatusCode::BAD_GATEWAY, "{answer:?}");
}
