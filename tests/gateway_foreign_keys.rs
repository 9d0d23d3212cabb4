//! Entries of other writers whose keys hold characters that a URI does not allow or that
//! have a meaning in it. Real processes run against a stand-in store and upstreams.

use http::StatusCode;
use rstest::rstest;
use serde_json::json;
use standins::fleet::wait_until;
use standins::platform::gateway::{PROPAGATION, ready};
use standins::platform::site::{self, READ, start_site};

/// Entries of another writer, more than the store lists in one page.
const ENTRIES: usize = 600;

/// Guards against a gateway that never reads the whole store because the last key of a page
/// makes the URI of the next page invalid, or another one.
#[rstest]
#[case::space(" ")]
#[case::percent("%41")]
#[case::ampersand("&")]
#[case::plus("+")]
#[case::hash("#")]
#[case::question_mark("?")]
#[case::slash("/")]
#[case::quote("\"")]
#[case::backslash("\\")]
#[case::line_break("\r\n")]
#[case::control("\u{1}")]
#[case::umlaut("\u{fc}")]
#[compio::test]
async fn a_gateway_reads_the_store_whatever_the_keys_of_others(#[case] separator: &str) {
    let site = start_site().await;
    for n in 0..ENTRIES {
        let key = format!("servers/box{separator}{n:03}");
        site::put(&site.store, &key, &json!("not an entry of an upstream"));
    }
    let calls = site.store.calls.get();
    let gateway = ready(&site).await;
    let answer = gateway.get(&format!("{READ}1"), "read").await;
    assert_eq!(answer.status(), StatusCode::OK);
    // The gateway can't read one page again and again.
    let calls = site.store.calls.get() - calls;
    assert!(calls < 100, "{calls} calls");
}

/// An upstream whose name can't be sent as a header is not used, and costs no attempt.
#[rstest]
#[case::line_break("u\n9")]
#[case::control("u\u{1}9")]
#[compio::test]
async fn an_upstream_whose_name_cannot_be_sent_is_not_used(#[case] name: &str) {
    let site = start_site().await;
    let gateway = ready(&site).await;
    let entry = site.entry(0, 0, 1);
    site::put(&site.store, &format!("servers/{name}"), &entry);
    wait_until("the entry is reported", PROPAGATION, async || {
        gateway.process.read_log().contains("not a valid header")
    })
    .await;
    for n in 0..20 {
        let answer = gateway.get(&format!("{READ}{n}"), &format!("r-{n}")).await;
        assert_eq!(answer.status(), StatusCode::OK);
    }
}
