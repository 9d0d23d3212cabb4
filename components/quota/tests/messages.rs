//! Messages between a daemon and an allocator that are repeated, late or lost, and the
//! choice of the allocator.

use clock::Millis;
use quota::{Allocator, Grant, Limit, Margin, Message, Request, Standing, choose};

const START: Millis = Millis(100_000);
/// A new allocator has its whole rate from then on.
const LATER: Millis = Millis(110_000);

fn allocator(per_second: f64, burst: f64) -> Allocator {
    let limit = Limit::new(per_second, burst, &Margin::default());
    Allocator::new(limit, START)
}

fn request(wanted: u64, used: u64, received: u64) -> Request {
    Request {
        workspace: "w".to_owned(),
        wanted,
        waiting: wanted,
        used_total: used,
        received_total: received,
        demand: 1.0,
        ..Request::default()
    }
}

fn message(daemon: &str, incarnation: u64, sequence: u64) -> Message {
    Message {
        daemon: daemon.to_owned(),
        incarnation,
        sequence,
        requests: Vec::new(),
        without_quotas: Vec::new(),
    }
}

fn ask(a: &mut Allocator, sequence: u64, request: &Request, now: Millis) -> Grant {
    let from = message("d", 1, sequence);
    a.answer(&from, request, Standing::Current, now)
}

#[test]
fn a_repeated_message_grants_nothing_and_changes_nothing() {
    let mut a = allocator(10.0, 20.0);
    let first = ask(&mut a, 1, &request(5, 0, 0), LATER);
    assert_eq!(first.granted, 5);
    let before = a.view(Standing::Current, LATER);
    let repeated = ask(&mut a, 1, &request(5, 0, 0), LATER);
    assert_eq!(repeated.granted, 0);
    assert_eq!(a.view(Standing::Current, LATER), before);
}

#[test]
fn a_late_message_changes_nothing() {
    let mut a = allocator(10.0, 20.0);
    ask(&mut a, 1, &request(5, 0, 0), LATER);
    ask(&mut a, 3, &request(0, 5, 5), LATER);
    let before = a.view(Standing::Current, LATER);
    let late = ask(&mut a, 2, &request(5, 2, 5), LATER);
    assert_eq!(late.granted, 0);
    assert_eq!(a.view(Standing::Current, LATER), before);
}

#[test]
fn tokens_of_a_lost_answer_count_as_used() {
    let mut a = allocator(10.0, 20.0);
    ask(&mut a, 1, &request(5, 0, 0), LATER);
    let before = a.view(Standing::Current, LATER).tokens;
    // The daemon has received nothing.
    ask(&mut a, 2, &request(0, 0, 0), LATER);
    let after = a.view(Standing::Current, LATER);
    assert_eq!((after.tokens, after.held), (before, 0.0));
}

#[test]
fn a_token_that_comes_back_can_be_granted_again() {
    let mut a = allocator(10.0, 20.0);
    let full = a.view(Standing::Current, LATER).tokens;
    ask(&mut a, 1, &request(5, 0, 0), LATER);
    let returned = Request {
        returned_total: 5,
        ..request(0, 0, 5)
    };
    ask(&mut a, 2, &returned, LATER);
    assert_eq!(a.view(Standing::Current, LATER).tokens, full);
}

/// A daemon that was frozen may have used its tokens before, so they count as used until it
/// reports.
#[test]
fn tokens_of_a_daemon_that_does_not_report_are_written_off() {
    let mut a = allocator(1.0, 100.0);
    let granted = ask(&mut a, 1, &request(500, 0, 0), LATER).granted;
    assert!(granted > 8);
    let later = LATER + Millis(3_500);
    let before = a.view(Standing::Current, later);
    assert_eq!(before.held, 0.0);
    let report = Request {
        returned_total: granted - 2,
        ..request(0, 2, granted)
    };
    ask(&mut a, 2, &report, later);
    let after = a.view(Standing::Current, later);
    let back = after.tokens - before.tokens;
    // The share of the daemon was held back besides.
    assert!(back >= (granted - 2) as f64, "{before:?} {after:?}");
}

#[test]
fn a_new_allocator_does_not_start_with_a_full_burst() {
    let mut a = allocator(20.0, 100.0);
    let granted = ask(&mut a, 1, &request(500, 0, 0), START).granted;
    let slack = 0.1 * (20.0 * 5.0 + 100.0) + 20.0;
    assert!(granted as f64 <= 0.2 * slack, "{granted}");
}

#[test]
fn a_new_allocator_counts_what_daemons_hold_of_another_one() {
    let mut a = allocator(20.0, 100.0);
    let none = ask(&mut a, 7, &request(500, 90, 100), START);
    assert_eq!(none.granted, 0);
}

#[test]
fn an_allocator_that_may_be_replaced_grants_nothing() {
    let mut a = allocator(20.0, 100.0);
    let grant = a.answer(
        &message("d", 1, 1),
        &request(5, 0, 0),
        Standing::Replaced,
        LATER,
    );
    assert_eq!((grant.granted, grant.share), (0, 0.0));
    assert!(grant.wait_ms > Millis::ZERO);
}

#[test]
fn shares_add_up_to_at_most_the_rate() {
    let mut a = allocator(9.0, 9.0);
    let mut shares = [0.0; 5];
    for round in 1..10 {
        for (n, share) in shares.iter_mut().enumerate() {
            let report = Request {
                demand: (n + 1) as f64,
                share: *share,
                ..request(0, 0, 0)
            };
            let from = message(&format!("d{n}"), 1, round);
            let now = LATER + Millis(round * 500);
            *share = a.answer(&from, &report, Standing::Current, now).share;
            assert!(*share >= 0.0);
        }
        let total: f64 = shares.iter().sum();
        // The new share is only in use once its answer arrives, so this sum is exact here.
        assert!(total <= 9.0 + 1e-6, "{shares:?}");
    }
    let total: f64 = shares.iter().sum();
    assert!(total > 8.9, "{shares:?}");
    assert!(shares[4] > shares[0] * 4.0, "{shares:?}");
}

#[test]
fn a_stale_allocator_raises_no_share() {
    let mut a = allocator(10.0, 10.0);
    let from = message("d", 1, 1);
    let grant = a.answer(&from, &request(0, 0, 0), Standing::Stale, LATER);
    assert_eq!(grant.share, 0.0);
}

#[test]
fn the_share_of_a_silent_daemon_is_held_back() {
    let mut a = allocator(10.0, 10.0);
    let share = ask(&mut a, 1, &request(0, 0, 0), LATER).share;
    assert_eq!(share, 10.0);
    // All of the bucket is used by another daemon.
    let other = message("e", 1, 1);
    let now = LATER + Millis(100);
    let granted = a
        .answer(&other, &request(500, 0, 0), Standing::Current, now)
        .granted;
    let other = message("e", 1, 2);
    let used = request(500, granted, granted);
    let now = LATER + Millis(4_000);
    let refilled = a.answer(&other, &used, Standing::Current, now).granted;
    assert_eq!(refilled, 0);
}

#[test]
fn a_lower_burst_cuts_the_bucket() {
    let mut a = allocator(100.0, 400.0);
    let limit = Limit::new(1.0, 2.0, &Margin::default());
    let now = LATER + Millis(60_000);
    a.set_limit(limit, Standing::Current, now);
    assert!(a.view(Standing::Current, now).tokens < 10.0);
}

/// The format of messages is fixed: daemons of several builds run side by side.
#[test]
fn a_message_without_optional_fields_is_read() {
    let text = r#"{"daemon":"d","incarnation":1,"sequence":2,"requests":[{"workspace":"w",
        "wanted":1,"used_total":3,"received_total":4,"returned_total":0,"demand":0.5}]}"#;
    let message: Message = serde_json::from_str(text).unwrap();
    assert_eq!(message.requests[0].received_total, 4);
    assert_eq!(message.requests[0].waiting, 0);
}

#[test]
fn a_removed_daemon_moves_only_its_own_workspaces() {
    let names: Vec<String> = (0..82).map(|n| format!("daemon-{n}")).collect();
    let all = || names.iter().map(String::as_str);
    let mut counts = vec![0; names.len()];
    for n in 0..1_000 {
        let workspace = format!("w{n}");
        let chosen = choose(&workspace, all()).unwrap();
        counts[names.iter().position(|d| d == chosen).unwrap()] += 1;
        let without = choose(&workspace, all().filter(|d| *d != "daemon-5")).unwrap();
        assert!(chosen == "daemon-5" || chosen == without);
    }
    assert!(counts.iter().all(|c| *c < 40), "{counts:?}");
    assert_eq!(choose("w", std::iter::empty()), None);
}
