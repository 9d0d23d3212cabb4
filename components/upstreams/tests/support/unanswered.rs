//! Requests that are sent once and never answered.

use bytes::Bytes;
use clock::Millis;
use http::{Request, Response};
use transport::Payload;
use upstreams::{Call, Message, Recipient, Reply, RetryPolicy};

use crate::test_pool;

struct Unanswered;

impl Message for Unanswered {
    fn id(&self) -> &str {
        "r"
    }

    fn to_request(&self, _: &Recipient<'_>, _: Millis) -> Option<Request<Payload>> {
        Request::get("/")
            .header("host", "upstream")
            .body(Payload::default())
            .ok()
    }

    fn read(&self, _: &Recipient<'_>, _: Response<Bytes>) -> Reply {
        unreachable!("nothing answers")
    }
}

/// A call with one attempt whose deadline is `within` from now.
pub fn call_once(fingerprint: u64, within: Millis) -> Call {
    let policy = RetryPolicy {
        attempts: 1,
        hedge_percent: 0,
        retry_percent: 0,
        awaits_replicas: false,
        hedge_within: None,
    };
    Call {
        fingerprint,
        ..test_pool::call(Unanswered, within, policy)
    }
}
