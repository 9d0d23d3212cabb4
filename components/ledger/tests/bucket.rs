//! Claims and releases in one bucket, with daemons whose clocks differ.

use clock::Millis;
use ledger::{Bucket, Key, KeyError, Verdict};
use proptest::prelude::*;
use rstest::rstest;

const RETENTION: Millis = Millis(300_000);
const NOW: Millis = Millis(10_000_000);

fn key(name: &str, time: Millis) -> Key {
    Key {
        text: name.to_owned(),
        time,
    }
}

#[rstest]
#[case::slow_clock(Millis(60_000), false)]
#[case::fast_clock(Millis(60_000), true)]
#[case::very_fast_clock(Millis(600_000), true)]
fn a_dropped_key_is_never_claimed_again(#[case] skew: Millis, #[case] is_fast: bool) {
    let mut bucket = Bucket::default();
    let booked = key("k", NOW);
    assert_eq!(bucket.claim(&booked, "n1", "d1", NOW), Verdict::Claimed);
    let late = NOW + RETENTION + Millis(1);
    let other_clock = if is_fast { late + skew } else { late - skew };
    bucket.advance(other_clock, RETENTION);
    // The key can't be claimed again, whichever clock the second daemon has.
    for clock in [NOW, late, other_clock] {
        let mut copy = bucket.clone();
        copy.advance(clock, RETENTION);
        assert_ne!(copy.claim(&booked, "n2", "d2", clock), Verdict::Claimed);
    }
}

#[test]
fn repeated_claims_with_one_nonce_make_one_claim() {
    let mut bucket = Bucket::default();
    let booked = key("k", NOW);
    assert_eq!(bucket.claim(&booked, "n1", "d1", NOW), Verdict::Claimed);
    assert_eq!(bucket.claim(&booked, "n1", "d1", NOW), Verdict::Claimed);
    assert_eq!(bucket.claims.len(), 1);
    let other = bucket.claim(&booked, "n2", "d2", NOW);
    assert_eq!(
        other,
        Verdict::Duplicate {
            claimer: "d1".to_owned()
        }
    );
}

#[test]
fn a_released_key_can_be_claimed_and_another_nonce_releases_nothing() {
    let mut bucket = Bucket::default();
    let booked = key("k", NOW);
    bucket.claim(&booked, "n1", "d1", NOW);
    bucket.release(&booked, "n2");
    assert_eq!(bucket.claims.len(), 1);
    bucket.release(&booked, "n1");
    assert_eq!(bucket.claim(&booked, "n2", "d2", NOW), Verdict::Claimed);
}

#[test]
fn a_full_bucket_refuses_and_stays_below_the_stores_limit() {
    let mut bucket = Bucket::default();
    let claimer = "an-instance-with-a-name-of-some-length";
    let mut last = Verdict::Claimed;
    for number in 0..20_000 {
        let text = format!("01890a5d-ac96-774b-bcce-{number:012}");
        last = bucket.claim(
            &key(&text, NOW),
            "0123456789abcdef0123456789abcdef",
            claimer,
            NOW,
        );
    }
    assert_eq!(last, Verdict::Full);
    assert!(bucket.claims.len() > 1_000);
    let size = serde_json::to_string(&bucket).unwrap().len();
    assert!(size < 1_000_000, "{size} bytes");
}

#[rstest]
#[case("17", KeyError::NotUuid)]
#[case("7f9c24e8-3b12-4fef-91e0-56a2d5a2a1c4", KeyError::NotVersion7 { version: 4 })]
fn texts_other_than_version_7_uuids_are_refused(#[case] text: &str, #[case] expected: KeyError) {
    assert_eq!(Key::parse(text), Err(expected));
}

proptest! {
    /// In any order of claims, releases and clock times, a key is claimed for
    /// one nonce at a time, and never again after it was dropped.
    #[test]
    fn at_most_one_nonce_holds_a_key(steps in proptest::collection::vec((0_u8..3, 0_u8..3, 0_u64..900_000), 1..60)) {
        let mut bucket = Bucket::default();
        let booked = key("k", NOW);
        let mut holder: Option<String> = None;
        let mut is_dropped = false;
        for (action, attempt, offset) in steps {
            let clock = Millis(NOW.0 + offset) - RETENTION;
            let nonce = format!("n{attempt}");
            bucket.advance(clock, RETENTION);
            is_dropped |= holder.is_some() && bucket.claims.is_empty();
            if action == 0 {
                bucket.release(&booked, &nonce);
                if holder.as_deref() == Some(nonce.as_str()) && !is_dropped {
                    holder = None;
                }
            } else if bucket.claim(&booked, &nonce, "d", clock) == Verdict::Claimed {
                prop_assert!(!is_dropped);
                prop_assert!(holder.is_none() || holder.as_deref() == Some(nonce.as_str()));
                holder = Some(nonce);
            }
        }
    }

    #[test]
    fn any_text_is_parsed_or_refused(text in ".*") {
        let _ = Key::parse(&text);
    }
}
