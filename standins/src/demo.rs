//! Demonstration of a declared deployment on loopback, in separate processes.

use std::error::Error;
use std::path::Path;

use serde_json::{Value, json};
use uuid::Uuid;

use crate::bookings::runs_by_key;
use crate::fleet::{Binaries, Fleet, Plan, ServicePlan, book, search};

const DAEMONS: usize = 3;

/// Runs the demonstration and prints each answer as one JSON line.
///
/// # Errors
///
/// Fails if the file can't be read, a request fails, or a response differs from
/// what its step expects.
pub async fn run(file: &Path, service: &str) -> Result<(), Box<dyn Error>> {
    let text = std::fs::read_to_string(file)?;
    let (declared, _) = catalog::parse(&text, &file.display().to_string())?;
    let services: Vec<ServicePlan> = declared
        .services
        .iter()
        .map(ServicePlan::declared)
        .collect();
    let mut domains: Vec<String> = declared
        .services
        .iter()
        .flat_map(|s| &s.upstreams)
        .map(|u| u.domain.clone())
        .collect();
    domains.sort();
    domains.dedup();
    let plan = Plan {
        daemons: DAEMONS,
        domains,
        services,
        ..Plan::default()
    };
    let mut fleet = Fleet::ready(&Binaries::find(), plan).await;
    print_step(
        "status",
        &fleet
            .run(&[
                "status",
                "--output",
                "json",
                "--daemon",
                &fleet.daemons[0].peers.to_string(),
            ])
            .await,
    );

    let first = search(&fleet.client(0), service, &json!("open callouts"))
        .await?
        .body;
    print_step("search", &first);
    ensure(
        first["complete"] == true,
        "the first search must cover every shard",
    )?;

    let key = Uuid::now_v7().to_string();
    let booked = book(&fleet.client(1), service, &key, &json!({ "job": 17 }))
        .await?
        .body;
    print_step("booking", &booked);
    let resent = book(&fleet.client(2), service, &key, &json!({ "job": 17 }))
        .await?
        .body;
    print_step("booking sent again", &resent);
    let runs = runs_by_key(&fleet).await;
    ensure(
        runs.get(&key) == Some(&1),
        "a booking that is sent again must run once",
    )?;

    let victim = fleet
        .declarations
        .services
        .iter()
        .find(|s| s.name == service)
        .map(|s| s.upstreams[0].name.clone());
    let victim = victim.ok_or_else(|| format!("service `{service}` is not declared"))?;
    fleet.upstream_process(&victim).kill();
    let second = search(&fleet.client(0), service, &json!("past visits"))
        .await?
        .body;
    print_step("search after the loss of an upstream", &second);
    let is_correct = is_coverage_correct(&fleet, &second, "past visits").await;
    ensure(
        is_correct,
        "the search after the loss must report its coverage correctly",
    )
}

/// Returns whether the covered shards are exactly those with rows in the answer,
/// each with an execution of the query that an upstream recorded.
async fn is_coverage_correct(fleet: &Fleet, answer: &Value, query: &str) -> bool {
    let executions = fleet.all_executions().await;
    let body = json!(query).to_string();
    let covered: Vec<&str> = answer["covered"]
        .as_array()
        .into_iter()
        .flatten()
        .filter_map(Value::as_str)
        .collect();
    let missing = answer["missing"].as_array().map_or(0, Vec::len);
    let is_confirmed = |shard: &&str| {
        let has_rows = answer["rows"][*shard][0]["query"] == query;
        has_rows
            && executions
                .iter()
                .any(|e| e["shard"] == **shard && e["body"] == body.as_str())
    };
    let rows = answer["rows"].as_object().map_or(0, serde_json::Map::len);
    let is_complete = answer["complete"] == (missing == 0);
    is_complete
        && rows == covered.len()
        && covered.iter().all(is_confirmed)
        && covered.len() + missing > 0
}

fn print_step(step: &str, answer: &Value) {
    println!("{}", json!({ "step": step, "answer": answer }));
}

fn ensure(holds: bool, message: &str) -> Result<(), Box<dyn Error>> {
    match holds {
        true => Ok(()),
        false => Err(message.into()),
    }
}
