//! Paired measurements on real processes: each round runs all variants of a
//! scenario in turn.

mod fault;
mod measure;
pub mod scale;
mod scenario;

use std::error::Error;
use std::path::Path;

use serde_json::{Value, json};

pub use scenario::{SCENARIOS, Scenario, Variant, find};

use crate::fleet::Binaries;

/// Options of a bench.
#[derive(Clone, Debug)]
pub struct Options {
    /// Name of the scenario.
    pub scenario: String,
    /// Seed of service times and arrivals; each round adds one.
    pub seed: u64,
    /// Text that the names of the measured variants contain.
    pub only: String,
    /// Number of rounds of each variant.
    pub rounds: u64,
    /// Length of the load in each round, in seconds.
    pub seconds: f64,
}

/// Runs a scenario, prints one JSON line for each variant, and returns them.
///
/// # Errors
///
/// Fails if the scenario is unknown or the examples can't be read.
pub async fn run(options: &Options, examples: &Path) -> Result<Vec<Value>, Box<dyn Error>> {
    let mut scenario = find(&options.scenario).ok_or_else(|| {
        format!(
            "unknown scenario `{}`; the scenarios are: {}",
            options.scenario,
            SCENARIOS.join(", ")
        )
    })?;
    scenario.variants.retain(|v| v.name.contains(&options.only));
    let binaries = Binaries::find();
    let mut rounds: Vec<Vec<Value>> = vec![Vec::new(); scenario.variants.len()];
    for round in 0..options.rounds {
        for (i, variant) in scenario.variants.iter().enumerate() {
            let seed = options.seed + round;
            let measured =
                measure::run(&binaries, variant, examples, seed, options.seconds).await?;
            eprintln!(
                "round {round} of {}: p99 {} ms",
                variant.name, measured["p99"]
            );
            rounds[i].push(measured);
        }
    }
    let lines: Vec<Value> = scenario
        .variants
        .iter()
        .zip(&rounds)
        .map(|(variant, rounds)| summarize(options, variant, rounds))
        .collect();
    lines.iter().for_each(|line| println!("{line}"));
    Ok(lines)
}

/// Reduces the rounds to median, minimum and maximum of each number; other values
/// come from the last round.
fn summarize(options: &Options, variant: &Variant, rounds: &[Value]) -> Value {
    let mut line = json!({
        "scenario": options.scenario,
        "variant": variant.name,
        "seed": options.seed,
        "rounds": options.rounds,
        "seconds": options.seconds,
    });
    let first = rounds
        .first()
        .and_then(Value::as_object)
        .cloned()
        .unwrap_or_default();
    for (name, example) in first {
        line[&name] = match example.is_number() {
            true => spread(rounds.iter().filter_map(|r| r[&name].as_f64()).collect()),
            false => rounds.last().map_or(Value::Null, |r| r[&name].clone()),
        };
    }
    line
}

fn spread(mut values: Vec<f64>) -> Value {
    values.sort_by(f64::total_cmp);
    let round = |v: f64| (v * 1_000.0).round() / 1_000.0;
    let at = |i: usize| values.get(i).copied().map(round);
    json!({ "median": at(values.len() / 2), "min": at(0), "max": at(values.len().saturating_sub(1)) })
}
