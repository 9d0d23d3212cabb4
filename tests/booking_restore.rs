//! Bookings and a store that is restored from a backup without the latest claims.

use std::time::Duration;

use clock::Millis;
use serde_json::json;
use standins::bookings::{RETENTION, fleet_with, new_key, runs_by_key};
use standins::fleet::{Fleet, book, wait_until};

/// Keys may be ahead of a daemon's clock by 10 s, so that those of the first 10 s
/// may have been claimed before.
const REFUSAL_TIME: Duration = Duration::from_secs(15);
const DAEMONS: usize = 3;

async fn restart_daemons(fleet: &mut Fleet) {
    for daemon in 0..DAEMONS {
        fleet.daemons[daemon].process.kill();
    }
    for daemon in 0..DAEMONS {
        fleet.restart_daemon(daemon).await;
    }
    fleet.wait_until_ready().await;
}

/// The daemons forget what they know of the claims, so that only the store can tell
/// that a key was claimed.
#[compio::test]
async fn a_booking_whose_claim_the_store_lost_does_not_run_again() {
    let mut fleet = fleet_with(5.0, RETENTION).await;
    fleet.back_up_store().await;
    let key = new_key();
    let booked = book(&fleet.client(0), "jobs", &key, &json!(1))
        .await
        .unwrap();
    assert_eq!(booked.status, 200, "{booked:?}");
    fleet.restore_store().await;
    restart_daemons(&mut fleet).await;
    for daemon in 0..DAEMONS {
        let again = book(&fleet.client(daemon), "jobs", &key, &json!(1))
            .await
            .unwrap();
        assert_eq!(again.body["ran"], "unknown", "{again:?}");
        assert_eq!(again.body["title"], "key-claimed", "{again:?}");
    }
    assert_eq!(runs_by_key(&fleet).await[&key], 1);
}

#[compio::test]
async fn bookings_with_new_keys_run_once_again_after_a_restore() {
    let fleet = fleet_with(5.0, RETENTION).await;
    fleet.back_up_store().await;
    fleet.restore_store().await;
    let begin = Millis::now();
    let mut ran = String::new();
    wait_until("a new key is booked", REFUSAL_TIME, async || {
        let key = new_key();
        let answer = book(&fleet.client(1), "jobs", &key, &json!(1)).await;
        ran = key;
        answer.is_ok_and(|a| a.status == 200)
    })
    .await;
    println!(
        "the first booking after {} ms",
        Millis::now().since(begin).0
    );
    for daemon in 0..DAEMONS {
        book(&fleet.client(daemon), "jobs", &ran, &json!(1))
            .await
            .unwrap();
    }
    let runs = runs_by_key(&fleet).await;
    assert_eq!(runs[&ran], 1);
    assert_eq!(runs.len(), 1, "refused keys ran: {runs:?}");
}
