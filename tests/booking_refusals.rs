//! Bookings are refused without the store, and with a key outside the window in
//! which it is kept.

use std::time::Duration;

use clock::Millis;
use ledger::Key;
use rstest::rstest;
use serde_json::{Value, json};
use standins::bookings::{RETENTION, fleet_with, new_key, runs_by_key};
use standins::fleet::book;
use uuid::{NoContext, Timestamp, Uuid};

/// Bookings that are sent one after the other.
const BOOKINGS: usize = 6;

fn new_keys() -> [String; BOOKINGS] {
    std::array::from_fn(|_| new_key())
}

/// A key whose time is `offset_ms` from now.
fn key_at(offset_ms: i64) -> String {
    let ms = Millis::wall().0.saturating_add_signed(offset_ms);
    let stamp = Timestamp::from_unix(NoContext, ms / 1_000, (ms % 1_000) as u32 * 1_000_000);
    Uuid::new_v7(stamp).to_string()
}

/// Returns a key whose claim is in this bucket of the service.
fn key_in(bucket: usize) -> String {
    let bucket = format!("ledger/jobs/{bucket}");
    loop {
        let key = new_key();
        if Key::parse(&key).unwrap().bucket("jobs") == bucket {
            return key;
        }
    }
}

/// A booking that can't be claimed is refused at once: its caller is not kept
/// waiting until a deadline of 20 s.
#[rstest]
#[case::down(json!({ "down": true }), new_keys())]
#[case::hanging(json!({ "hang": true }), new_keys())]
// Different daemons write these buckets. Each knew for too short a time that its store hangs.
#[case::hanging_for_two_writers(json!({ "hang": true }), [1, 2, 1, 2, 1, 2].map(key_in))]
fn without_the_store_bookings_are_refused_at_once(
    #[case] faults: Value,
    #[case] keys: [String; BOOKINGS],
) {
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let fleet = fleet_with(5.0, RETENTION).await;
        fleet.set_store_faults(faults).await;
        let path = "/v1/services/jobs/book";
        let mut fastest = Duration::MAX;
        for key in &keys {
            let headers = [
                ("idempotency-key", key.as_str()),
                ("x-deadline-ms", "20000"),
            ];
            let started = std::time::Instant::now();
            let client = fleet.client(0);
            let answer = client
                .send("POST", path, &headers, r#"{"booking":1}"#.into())
                .await
                .unwrap();
            assert_eq!(answer.body["ran"], "no", "{answer:?}");
            assert!(answer.retry_after.is_some(), "{answer:?}");
            assert!(
                started.elapsed() < Duration::from_secs(10),
                "refused only after {:?}",
                started.elapsed()
            );
            fastest = fastest.min(started.elapsed());
        }
        assert!(
            fastest < Duration::from_secs(1),
            "the fastest refusal took {fastest:?}"
        );
    });
}

#[compio::test]
async fn without_the_store_bookings_are_refused_and_searches_continue() {
    let fleet = fleet_with(5.0, RETENTION).await;
    fleet.set_store_faults(json!({ "down": true })).await;
    let key = new_key();
    let path = "/v1/services/jobs/book";
    let headers = [("idempotency-key", key.as_str()), ("x-deadline-ms", "300")];
    let refused = fleet
        .client(0)
        .send("POST", path, &headers, r#"{"booking":1}"#.into())
        .await
        .unwrap();
    assert_eq!(refused.body["ran"], "no", "{refused:?}");
    assert!(refused.retry_after.is_some(), "{refused:?}");
    let found = standins::fleet::search(&fleet.client(1), "jobs", &json!(1))
        .await
        .unwrap();
    assert_eq!(found.body["complete"], true, "{found:?}");
    fleet.set_store_faults(json!({})).await;
    standins::fleet::wait_until(
        "the key can be booked",
        Duration::from_secs(5),
        async || {
            book(&fleet.client(1), "jobs", &key, &json!(1))
                .await
                .is_ok_and(|a| a.status == 200)
        },
    )
    .await;
    assert_eq!(runs_by_key(&fleet).await[&key], 1);
}

#[compio::test]
async fn a_key_that_left_the_window_stays_refused() {
    let fleet = fleet_with(5.0, Millis(10_000)).await;
    let key = key_at(-8_000);
    let first = book(&fleet.client(0), "jobs", &key, &json!("edge"))
        .await
        .unwrap();
    assert_eq!(first.status, 200, "{first:?}");
    let mut seen: Vec<Value> = Vec::new();
    for step in 0..8 {
        compio::time::sleep(Duration::from_millis(500)).await;
        // Other bookings make the ledger drop the key's claim from its bucket.
        for daemon in 0..3 {
            book(&fleet.client(daemon), "jobs", &new_key(), &json!("other"))
                .await
                .unwrap();
        }
        let again = book(&fleet.client(step % 3), "jobs", &key, &json!("edge"))
            .await
            .unwrap();
        seen.push(again.body);
    }
    assert_eq!(runs_by_key(&fleet).await[&key], 1, "{seen:?}");
    assert_eq!(
        seen.last().unwrap()["title"],
        "key-outside-window",
        "{seen:?}"
    );
}

#[rstest]
#[case::old(-400_000)]
#[case::future(60_000)]
fn a_key_outside_the_window_is_refused(#[case] offset_ms: i64) {
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let fleet = fleet_with(5.0, RETENTION).await;
        let key = key_at(offset_ms);
        let answer = book(&fleet.client(0), "jobs", &key, &json!("edge"))
            .await
            .unwrap();
        assert_eq!(answer.body["title"], "key-outside-window", "{answer:?}");
        assert_eq!(answer.body["ran"], "no", "{answer:?}");
        assert!(!runs_by_key(&fleet).await.contains_key(&key));
    });
}
