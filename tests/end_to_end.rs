//! Searches and a booking end to end through real processes.

use serde_json::json;
use standins::bookings::runs_by_key;
use standins::fleet::{Binaries, Fleet, Plan, book, search};
use uuid::Uuid;

#[compio::test]
async fn a_search_and_a_booking_are_served_end_to_end() {
    let fleet = Fleet::ready(&Binaries::find(), Plan::default()).await;
    for daemon in 0..3 {
        let answer = search(&fleet.client(daemon), "jobs", &json!({ "open": true }))
            .await
            .unwrap();
        assert_eq!(answer.status, 200, "{answer:?}");
        assert_eq!(answer.body["covered"], json!(["s0", "s1", "s2"]));
        assert_eq!(answer.body["missing"], json!([]));
        assert_eq!(answer.body["snapshot"], 1);
        assert_eq!(
            answer.body["rows"]["s1"][0]["query"],
            json!({ "open": true })
        );
    }
    let key = Uuid::now_v7().to_string();
    let first = book(&fleet.client(0), "jobs", &key, &json!({ "job": 17 }))
        .await
        .unwrap();
    assert_eq!(first.status, 200, "{first:?}");
    assert_eq!(first.body["replayed"], false);
    let again = book(&fleet.client(1), "jobs", &key, &json!({ "job": 17 }))
        .await
        .unwrap();
    assert_eq!(again.status, 200, "{again:?}");
    assert_eq!(again.body["replayed"], true);
    assert_eq!(runs_by_key(&fleet).await[&key], 1);
}
