//! The registration of a gateway in the store: real processes against a
//! stand-in store.

use std::time::{Duration, Instant};

use clock::Millis;
use standins::platform::gateway::ready;
use standins::platform::site::{Site, Size};

const INSTANCES: &str = "coltsfootgw/instances/";
/// A gateway exits within this time after SIGTERM.
const EXIT_LIMIT: Duration = Duration::from_secs(6);
/// The renewal after this time falls between the stop signal and the exit.
const PART_OF_RENEWAL_INTERVAL: Duration = Duration::from_millis(1_500);
/// Longer than a lease.
const LEASE_OBSERVATION: Duration = Duration::from_millis(11_500);
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

async fn start_site() -> Site {
    let size = Size {
        shards: 1,
        replicas: 1,
        service_time: Millis(5),
    };
    Site::start(size).await.expect("loopback ports are free")
}

#[compio::test]
async fn a_gateway_does_not_register_again_after_sigterm() {
    let site = start_site().await;
    let mut gateway = ready(&site).await;
    gateway.process.wait_for_line("\"registered\"").await;
    compio::time::sleep(PART_OF_RENEWAL_INTERVAL).await;
    assert!(site.store.has(INSTANCES));
    gateway.process.terminate();
    assert_eq!(gateway.process.wait(EXIT_LIMIT).await, Some(0));
    assert!(!site.store.has(INSTANCES));
    let log = gateway.process.read_log();
    assert_eq!(log.matches("\"registered\"").count(), 1, "{log}");
}

#[compio::test]
async fn a_gateway_stays_registered_for_longer_than_a_lease() {
    let site = start_site().await;
    let gateway = ready(&site).await;
    gateway.process.wait_for_line("\"registered\"").await;
    let end = Instant::now() + LEASE_OBSERVATION;
    while Instant::now() < end {
        assert!(site.store.has(INSTANCES));
        compio::time::sleep(CHECK_INTERVAL).await;
    }
    let log = gateway.process.read_log();
    assert_eq!(log.matches("\"registered\"").count(), 1, "{log}");
}
