//! The order of the queue, and who gives a place in a full one.

use std::rc::Rc;

use clock::Millis;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use upstreams::{FairQueue, FlowKey, Outlook, SlotSupply, Ticket};

const NOW: Millis = Millis(1_000);
const DEADLINE: Millis = Millis(1_300);

fn flow(rank: u8, workspace: &str) -> FlowKey {
    FlowKey {
        rank,
        workspace: Some(Rc::from(workspace)),
    }
}

fn push(queue: &mut FairQueue<String>, rank: u8, workspace: &str, count: usize) {
    for n in 0..count {
        let item = format!("{workspace}{n}");
        queue.push(flow(rank, workspace), DEADLINE, item, NOW);
    }
}

fn grant_all(queue: &mut FairQueue<String>) -> Vec<String> {
    let mut granted = Vec::new();
    while let Some(ticket) = queue.in_order().first().map(|(ticket, _)| *ticket) {
        granted.extend(queue.grant(ticket, NOW));
    }
    granted
}

#[test]
fn workspaces_of_a_rank_take_turns() {
    let mut queue = FairQueue::default();
    push(&mut queue, 1, "a", 3);
    push(&mut queue, 1, "b", 2);
    push(&mut queue, 0, "c", 1);
    assert_eq!(grant_all(&mut queue), ["c0", "a0", "b0", "a1", "b1", "a2"]);
}

/// Guards against a workspace that waits again and again and is served as if it had used
/// nothing before.
#[test]
fn what_a_workspace_used_counts_while_others_wait() {
    let mut queue = FairQueue::default();
    (0..2).for_each(|_| queue.charge(&flow(1, "a")));
    push(&mut queue, 1, "a", 1);
    push(&mut queue, 1, "b", 1);
    assert_eq!(grant_all(&mut queue), ["b0", "a0"]);
}

/// Guards against a workspace that saves up turns while it sends nothing.
#[test]
fn an_idle_workspace_saves_up_nothing() {
    let mut queue = FairQueue::default();
    push(&mut queue, 1, "a", 20);
    for _ in 0..10 {
        let first = queue.in_order()[0].0;
        queue.grant(first, NOW);
    }
    push(&mut queue, 1, "b", 3);
    let granted = grant_all(&mut queue);
    let first: Vec<&str> = granted.iter().take(6).map(|g| &g[..1]).collect();
    assert_eq!(
        first.iter().filter(|g| **g == "b").count(),
        3,
        "{granted:?}"
    );
    assert!(first[..2].contains(&"a"), "{granted:?}");
}

#[test]
fn after_seven_grants_the_longest_waiting_lower_rank_goes() {
    let mut queue = FairQueue::default();
    push(&mut queue, 5, "late", 1);
    push(&mut queue, 3, "low", 1);
    push(&mut queue, 0, "high", 20);
    let granted = grant_all(&mut queue);
    let at = |name: &str| granted.iter().position(|g| g == name);
    assert_eq!((at("late0"), at("low0")), (Some(7), Some(15)));
}

#[test]
fn a_full_queue_takes_a_place_of_the_workspace_with_the_most() {
    let mut queue = FairQueue::default();
    push(&mut queue, 1, "large", 6);
    push(&mut queue, 1, "small", 2);
    let displaced = queue.displace_for(&flow(1, "new"));
    assert_eq!(displaced.as_deref(), Some("large5"));
    // One more than its own would displace it in turn.
    push(&mut queue, 1, "small", 2);
    assert_eq!(queue.displace_for(&flow(1, "small")), None);
    assert_eq!(queue.displace_for(&flow(1, "large")), None);
    assert_eq!(
        queue.displace_for(&flow(2, "new")).as_deref(),
        Some("large4")
    );
    assert_eq!(queue.len(), 8);
}

/// Guards against a full queue without any lower rank, which would never get its turn.
#[test]
fn higher_ranks_leave_an_eighth_of_a_full_queue() {
    let mut queue = FairQueue::default();
    let high: Vec<String> = (0..13).map(|n| format!("high{n}")).collect();
    for workspace in &high {
        push(&mut queue, 0, workspace, 1);
    }
    push(&mut queue, 3, "low", 3);
    assert_eq!(queue.displace_for(&flow(0, "new")).as_deref(), Some("low2"));
    push(&mut queue, 0, "new", 1);
    assert_eq!(queue.displace_for(&flow(0, "newer")), None);
    assert_eq!(queue.displace_for(&flow(3, "low")), None);
    // The eighth is free for a lower rank as soon as one of it is gone.
    let low = queue.in_order()[14].0;
    assert_eq!(queue.remove(low).as_deref(), Some("low0"));
    push(&mut queue, 0, "newer", 1);
    let displaced = queue.displace_for(&flow(3, "lower"));
    assert!(displaced.is_some_and(|d| d.starts_with("high") || d.starts_with("new")));
}

#[test]
fn a_request_that_gives_up_leaves_the_share_of_its_workspace() {
    let mut queue = FairQueue::default();
    let ticket = queue.push(flow(1, "a"), DEADLINE, "gone".to_owned(), NOW);
    push(&mut queue, 1, "a", 1);
    push(&mut queue, 1, "b", 1);
    assert_eq!(queue.remove(ticket).as_deref(), Some("gone"));
    assert_eq!(queue.remove(ticket), None);
    assert_eq!(grant_all(&mut queue), ["a0", "b0"]);
}

#[test]
fn a_new_request_waits_for_those_that_go_before_it() {
    let mut queue = FairQueue::default();
    push(&mut queue, 1, "large", 30);
    push(&mut queue, 0, "high", 20);
    let ahead = |workspace, rank| queue.outlook(&flow(rank, workspace), DEADLINE).ahead;
    assert_eq!(ahead("small", 1), 21);
    assert_eq!(ahead("large", 1), 50);
    // Two turns of the lower rank come among the high ones.
    assert_eq!(ahead("high", 0), 22);
    let mut queue = FairQueue::default();
    push(&mut queue, 0, "high", 100);
    assert_eq!(queue.outlook(&flow(3, "low"), DEADLINE).ahead, 7);
}

#[test]
fn a_request_is_late_only_if_it_has_to_wait() {
    let supply = SlotSupply {
        slots: 4,
        busy: 4,
        mean_ms: 50.0,
    };
    let outlook = |ahead| Outlook { ahead, paced: None };
    assert_eq!(supply.wait(&outlook(7)), Millis(100));
    let paced = Some(Millis(400));
    assert_eq!(supply.wait(&Outlook { ahead: 0, paced }), Millis(400));
    assert!(supply.is_late(Millis(100), Millis(149)));
    assert!(!supply.is_late(Millis(100), Millis(150)));
    // Slow upstreams are still asked while they have free slots.
    let idle = SlotSupply { busy: 0, ..supply };
    assert_eq!(idle.wait(&outlook(0)), Millis::ZERO);
    assert!(!idle.is_late(Millis::ZERO, Millis(10)));
}

/// A waiting request without a workspace.
#[derive(Clone, Debug)]
struct Waiting {
    id: u64,
    rank: u8,
    deadline: Millis,
    /// Upstreams that it may use, as bits.
    candidates: u8,
}

/// The queue before workspaces: sorted by rank and deadline, refuses when full.
#[derive(Default)]
struct ByDeadline(Vec<Waiting>);

impl ByDeadline {
    fn push(&mut self, waiting: Waiting) {
        let key = (waiting.rank, waiting.deadline);
        let at = self.0.partition_point(|w| (w.rank, w.deadline) <= key);
        self.0.insert(at, waiting);
    }

    fn grant(&mut self, mut free: u8, now: Millis) -> Vec<(u64, bool)> {
        let mut log = Vec::new();
        let mut at = 0;
        while at < self.0.len() && free != 0 {
            let is_viable = now <= self.0[at].deadline;
            let used = self.0[at].candidates & free;
            match (is_viable, used) {
                (false, _) => log.push((self.0.remove(at).id, false)),
                (true, 0) => at += 1,
                (true, used) => {
                    log.push((self.0.remove(at).id, true));
                    free &= !(1 << used.trailing_zeros());
                }
            }
        }
        log
    }
}

fn grant_fairly(queue: &mut FairQueue<Waiting>, mut free: u8, now: Millis) -> Vec<(u64, bool)> {
    let mut log = Vec::new();
    while free != 0 {
        let next = queue.in_order().into_iter().find_map(|(ticket, w)| {
            let is_viable = now <= w.deadline;
            let used = w.candidates & free;
            (!is_viable || used != 0).then_some((ticket, is_viable, used))
        });
        let Some((ticket, is_viable, used)) = next else {
            break;
        };
        let removed = match is_viable {
            true => queue.grant(ticket, now),
            false => queue.remove(ticket),
        };
        log.extend(removed.map(|w| (w.id, is_viable)));
        if is_viable {
            free &= !(1 << used.trailing_zeros());
        }
    }
    log
}

/// Guards against a change for deployments without workspaces: the same requests are
/// granted, dropped and refused in the same order.
#[test]
fn without_workspaces_grants_and_refusals_are_as_before() {
    const LIMIT: usize = 12;
    let anonymous = |rank| FlowKey {
        rank,
        workspace: None,
    };
    for seed in 0..20 {
        let mut rng = StdRng::seed_from_u64(seed);
        let (mut fair, mut before) = (FairQueue::default(), ByDeadline::default());
        let mut refused = 0;
        for id in 0..2_000 {
            let now = Millis(id);
            let waiting = Waiting {
                id,
                rank: rng.random_range(0..3),
                deadline: now + Millis(rng.random_range(5..60)),
                candidates: rng.random_range(1..8),
            };
            let flow = anonymous(waiting.rank);
            assert_eq!(fair.len(), before.0.len());
            match before.0.len() < LIMIT {
                true => {
                    fair.push(flow, waiting.deadline, waiting.clone(), now);
                    before.push(waiting);
                }
                false => {
                    refused += 1;
                    assert!(fair.displace_for(&flow).is_none());
                }
            }
            let free = rng.random_range(0..8) & rng.random_range(0..8);
            assert_eq!(grant_fairly(&mut fair, free, now), before.grant(free, now));
        }
        assert!(refused > 50, "{refused}");
    }
}

/// Guards against tickets that name another request after some were removed.
#[test]
fn tickets_stay_with_their_requests() {
    let mut queue = FairQueue::default();
    let tickets: Vec<Ticket> = (0..5)
        .map(|n| queue.push(flow(0, "a"), DEADLINE, n.to_string(), NOW))
        .collect();
    queue.remove(tickets[1]);
    let removed = queue.remove_if(|item| item == "3");
    assert_eq!(removed, ["3"]);
    assert_eq!(queue.grant(tickets[4], NOW).as_deref(), Some("4"));
    assert_eq!(queue.len(), 2);
}
