//! What each workspace gets of a service whose demand exceeds its room.

use rstest::rstest;

#[path = "support/queue_model.rs"]
mod queue_model;

use queue_model::{ROOM, SLOTS, Source, Tally, flow, simulate};

const RUN_MS: u64 = 20_000;
const QUEUE_PER_SLOT: usize = 8;
const SEEDS: u64 = 5;
/// Demand of all workspaces together, as a part of the room.
const DEMAND: f64 = 1.5;

fn room() -> f64 {
    ROOM * RUN_MS as f64
}

/// Six workspaces, of which the first sends six times its usual rate.
fn sources() -> Vec<Source> {
    let usual = DEMAND / 11.0;
    let source = |n: usize| Source {
        flow: flow(1, &format!("w{n}")),
        demand: match n {
            0 => 6.0 * usual,
            _ => usual,
        },
    };
    (0..6).map(source).collect()
}

/// Guards against a large workspace that takes slots or places in the queue from others,
/// and against slots that stay idle although it could use them.
#[rstest]
#[case::usual_queue(QUEUE_PER_SLOT * SLOTS)]
#[case::short_queue(SLOTS)]
fn a_workspace_with_six_times_its_usual_rate_displaces_only_its_own_excess(
    #[case] queue_limit: usize,
) {
    for seed in 0..SEEDS {
        let tallies = simulate(&sources(), queue_limit, RUN_MS, seed);
        let served: usize = tallies.iter().map(|t| t.served).sum();
        let sent: usize = tallies.iter().map(|t| t.sent).sum();
        let overall = served as f64 / sent as f64;
        for tally in &tallies {
            assert!(tally.served_share() >= 0.25 * overall, "{tally:?}");
        }
        for tally in &tallies[1..] {
            let fair = (tally.sent as f64).min(room() / 6.0);
            assert!(tally.served as f64 >= 0.95 * fair, "{tally:?}");
        }
        let others: usize = tallies[1..].iter().map(|t| t.served).sum();
        let rest = room() - others as f64;
        let large = &tallies[0];
        assert!(large.served as f64 >= 0.9 * rest, "{large:?} of {rest}");
    }
}

/// Guards against requests that wait to their deadline for nothing: their callers have no
/// time left for another attempt.
#[test]
fn most_requests_that_are_not_served_are_refused_on_arrival() {
    for seed in 0..SEEDS {
        let tallies = simulate(&sources(), QUEUE_PER_SLOT * SLOTS, RUN_MS, seed);
        let sum = |count: fn(&Tally) -> usize| tallies.iter().map(count).sum::<usize>();
        let (refused, late) = (sum(|t| t.refused), sum(|t| t.expired + t.displaced));
        assert!(late * 10 <= refused, "{late} late, {refused} refused");
    }
}

/// Guards against a lower rank that gets nothing while a higher one floods the service,
/// also if the higher one could fill the queue alone.
#[rstest]
#[case::usual_queue(QUEUE_PER_SLOT * SLOTS)]
#[case::short_queue(SLOTS)]
fn a_lower_rank_gets_an_eighth_under_a_flood_of_a_higher_one(#[case] queue_limit: usize) {
    let flood = (0..3).map(|n| Source {
        flow: flow(0, &format!("high{n}")),
        demand: 1.0,
    });
    let low = Source {
        flow: flow(3, "low"),
        demand: 0.5,
    };
    let sources: Vec<Source> = flood.chain([low]).collect();
    for seed in 0..SEEDS {
        let tallies = simulate(&sources, queue_limit, RUN_MS, seed);
        let share = tallies[3].served as f64 / room();
        assert!((0.11..0.15).contains(&share), "{share}: {:?}", tallies[3]);
    }
}

/// Guards against lower ranks that delay higher ones without need.
#[test]
fn a_higher_rank_is_served_before_a_flood_of_a_lower_one() {
    let source = |rank, workspace, demand| Source {
        flow: flow(rank, workspace),
        demand,
    };
    let sources = [source(0, "high", 0.5), source(3, "low", 2.0)];
    for seed in 0..SEEDS {
        let tallies = simulate(&sources, QUEUE_PER_SLOT * SLOTS, RUN_MS, seed);
        assert!(tallies[0].served_share() >= 0.99, "{:?}", tallies[0]);
    }
}
