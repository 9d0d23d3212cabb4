//! Merging of member states, and the ranking of owners.

use std::collections::BTreeMap;

use clock::Millis;
use members::{Effect, Member, State, Table, rank};
use rstest::rstest;

fn member(id: &str, incarnation: u64, state: State) -> Member {
    let address = "127.0.0.1:1".parse().unwrap();
    let domain = format!("d{}", id.len() % 3);
    Member {
        id: id.to_owned(),
        address,
        domain,
        incarnation,
        state,
        revision: 0,
    }
}

#[rstest]
#[case::later_state((1, State::Suspect), State::Suspect)]
#[case::newer_incarnation((2, State::Alive), State::Alive)]
#[case::older_incarnation((0, State::Dead), State::Alive)]
fn the_newest_state_wins(#[case] update: (u64, State), #[case] expected: State) {
    let mut table = Table::new("me");
    table.merge(member("a", 1, State::Alive), Millis(1));
    table.merge(member("a", update.0, update.1), Millis(2));
    assert_eq!(table.find("a").unwrap().state, expected);
}

#[test]
fn a_refuted_suspicion_ends() {
    let mut table = Table::new("me");
    table.merge(member("a", 1, State::Alive), Millis(1));
    assert_eq!(table.record_miss("a", true, Millis(2)), Effect::Changed);
    assert_eq!(table.find("a").unwrap().state, State::Suspect);
    table.record_heartbeat(member("a", 2, State::Alive), Millis(3), Millis(4));
    assert_eq!(table.find("a").unwrap().state, State::Alive);
    let refute = table.merge(member("me", 7, State::Suspect), Millis(5));
    assert_eq!(refute, Effect::Refute(7));
}

#[test]
fn two_missed_heartbeats_raise_a_suspicion_but_one_does_not() {
    let mut table = Table::new("me");
    table.merge(member("a", 1, State::Alive), Millis(1));
    assert_eq!(table.record_miss("a", false, Millis(2)), Effect::Unchanged);
    assert_eq!(table.record_miss("a", false, Millis(3)), Effect::Changed);
    table.expire(Millis(10_000));
    assert_eq!(table.find("a").unwrap().state, State::Dead);
    table.expire(Millis(100_000));
    assert!(table.find("a").is_none());
}

#[test]
fn the_highest_revision_is_kept_over_a_restart() {
    let mut table = Table::new("me");
    table.merge(member("a", 1, State::Alive), Millis(1));
    table.record_revision("a", 9);
    table.merge(member("a", 2, State::Alive), Millis(2));
    table.record_revision("a", 0);
    assert_eq!(table.highest_revision("a"), 9);
}

/// The loss of one of seven moves only the groups that it owned.
#[test]
fn a_lost_member_moves_only_its_own_groups() {
    let members: Vec<Member> = (0..7)
        .map(|i| member(&format!("entry-{i}"), 1, State::Alive))
        .collect();
    let owner = |key: &str, gone: Option<&str>| {
        let live = members.iter().filter(|m| Some(m.id.as_str()) != gone);
        rank(key, "", live)[0].id.clone()
    };
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for number in 0..700 {
        let key = format!("service/{number}");
        let before = owner(&key, None);
        let after = owner(&key, Some("entry-3"));
        assert!(
            before == "entry-3" || before == after,
            "{key} moved from {before} to {after}"
        );
        *counts.entry(before).or_default() += 1;
    }
    assert_eq!(counts.len(), 7);
    assert!(counts.values().all(|c| (50..200).contains(c)), "{counts:?}");
}

#[test]
fn members_of_the_preferred_domain_come_first() {
    let members = [
        member("a", 1, State::Alive),
        member("bb", 1, State::Alive),
        member("cc", 1, State::Alive),
    ];
    let ranked = rank("k", "d2", members.iter());
    assert_eq!(ranked.last().unwrap().id, "a");
}

#[test]
fn a_member_that_fails_a_probe_is_not_responsive_until_it_answers() {
    let mut table = Table::new("me");
    table.merge(member("a", 1, State::Alive), Millis(1));
    table.record_reply("a", Millis(10));
    assert!(table.begin_probe("a", Millis(9)).is_none(), "it answered");
    assert!(table.begin_probe("a", Millis(11)).is_some());
    assert!(
        table.begin_probe("a", Millis(11)).is_none(),
        "one probe at a time"
    );
    assert_eq!(table.responsive().count(), 1);
    let epoch = table.epoch();
    table.fail_probe("a");
    assert_eq!(table.responsive().count(), 0);
    assert_eq!(table.find("a").unwrap().state, State::Alive);
    assert!(table.epoch() > epoch);
    table.record_reply("a", Millis(12));
    assert_eq!(table.responsive().count(), 1);
}
