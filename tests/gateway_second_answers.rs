//! Upstreams that send a refusal a second time, in place of the answer to the next
//! request on the connection. Real processes run against a stand-in store and
//! upstreams.

use std::collections::HashMap;
use std::rc::Rc;

use bytes::Bytes;
use http::{Method, StatusCode};
use rstest::rstest;
use standins::platform::gateway::ready;
use standins::platform::repeating::{self, RepeatLog, Repeated};
use standins::platform::site::{self, Site, WRITE, start_site, upstream_entry};

const REPLICAS: usize = 2;
const REQUESTS: usize = 120;
/// Fewest second copies without which a test shows nothing.
const FEWEST_REPEATS: usize = 5;
/// Fewest requests that run.
const FEWEST_RUNS: usize = 20;

/// Replaces the upstreams of the shard that writes go to.
async fn replace_upstreams(site: &Site, repeated: Repeated, log: &Rc<RepeatLog>) {
    for replica in 0..REPLICAS {
        let address = repeating::start(repeated, log).await.unwrap();
        let entry = upstream_entry(&site::shard_name(0), address, "ready", 1);
        let key = format!("servers/{}", site.shards[0][replica].id);
        site::put(&site.store, &key, &entry);
    }
}

/// Sends requests that must run at most once; returns the status of each.
async fn send_writes(site: &Site) -> HashMap<String, StatusCode> {
    let gateway = ready(site).await;
    let mut statuses = HashMap::new();
    for n in 0..REQUESTS {
        let id = format!("r-{n}");
        let path = format!("{WRITE}{n}");
        let sent = gateway.send(Method::POST, &path, &id, Bytes::new());
        statuses.insert(id.clone(), sent.await.status());
    }
    statuses
}

/// Guards against a refusal of one request counting as the answer to the next: that one
/// would be refused as not run, or run again elsewhere, while it runs.
#[rstest]
#[case::refusal(Repeated::Refusal, FEWEST_REPEATS)]
#[case::refusal_without_identifier(Repeated::UnnamedRefusal, 0)]
#[case::misdirected(Repeated::Misdirected, FEWEST_REPEATS)]
#[compio::test]
async fn a_second_refusal_says_nothing_about_the_next_request(
    #[case] repeated: Repeated,
    #[case] fewest_repeats: usize,
) {
    let site = start_site().await;
    let log = Rc::new(RepeatLog::default());
    replace_upstreams(&site, repeated, &log).await;
    let statuses = send_writes(&site).await;
    let ran = log.ran.borrow();
    let repeats = log.repeats.get();
    println!("{} of {REQUESTS} ran, {repeats} repeats", ran.len());
    assert!(ran.len() >= FEWEST_RUNS, "{} ran", ran.len());
    assert!(repeats >= fewest_repeats, "{repeats} repeats");
    for id in ran.iter() {
        let runs = ran.iter().filter(|other| *other == id).count();
        assert_eq!(runs, 1, "{id} ran {runs} times");
        let status = statuses[id];
        assert_ne!(status, StatusCode::SERVICE_UNAVAILABLE, "{id} ran");
    }
}
