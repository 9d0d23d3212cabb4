//! Descriptions of changes between declarations.

use std::collections::BTreeMap;
use std::fmt::Display;

use crate::declaration::{Declarations, Service, Shard, Upstream};

/// Maximum number of change sentences that are stored with a commit.
pub const MAX_COMMIT_CHANGES: usize = 20;

const MAX_LISTED_NAMES: usize = 5;

/// Returns one sentence for each service that differs.
pub fn changes_between(old: &Declarations, new: &Declarations) -> Vec<String> {
    let old: BTreeMap<&str, &Service> = old.services.iter().map(|s| (s.name.as_str(), s)).collect();
    let new: BTreeMap<&str, &Service> = new.services.iter().map(|s| (s.name.as_str(), s)).collect();
    let removed = old.iter().filter(|(name, _)| !new.contains_key(*name));
    let removed = removed.map(|(name, _)| format!("service {name}: removed"));
    let added_or_changed = new
        .iter()
        .filter_map(|(name, service)| match old.get(name) {
            None => Some(describe_added(service)),
            Some(before) if before == service => None,
            Some(before) => Some(format!(
                "service {name}: {}",
                describe_changed(before, service).join(", ")
            )),
        });
    removed.chain(added_or_changed).collect()
}

fn describe_added(service: &Service) -> String {
    format!(
        "service {}: added with {} shards on {} upstreams",
        service.name,
        service.shards.len(),
        service.upstreams.len()
    )
}

fn describe_changed(old: &Service, new: &Service) -> Vec<String> {
    let mut list = Vec::new();
    let mut field = |name: &str, a: &dyn Display, b: &dyn Display| {
        let (a, b) = (a.to_string(), b.to_string());
        if a != b {
            list.push(format!("{name} {a} -> {b}"));
        }
    };
    let objective = |s: &Service| format!("{:?}", s.objective).to_lowercase();
    let percent = |value: u8| format!("{value}%");
    field("objective", &objective(old), &objective(new));
    field("deadline", &old.deadline_ms, &new.deadline_ms);
    field(
        "minimum coverage",
        &percent(old.coverage_percent),
        &percent(new.coverage_percent),
    );
    field("partitioning", &old.partitioning, &new.partitioning);
    field("bookings", &old.bookings, &new.bookings);
    field("key retention", &old.retention_ms, &new.retention_ms);
    field("concurrency", &old.concurrency, &new.concurrency);
    field("queue", &old.queue, &new.queue);
    field(
        "hedge budget",
        &percent(old.hedge_percent),
        &percent(new.hedge_percent),
    );
    field(
        "retry budget",
        &percent(old.retry_percent),
        &percent(new.retry_percent),
    );
    field("slots", &old.slots, &new.slots);
    field("connections", &old.connections, &new.connections);
    let upstreams = |s: &Service| {
        s.upstreams
            .iter()
            .map(|u| (u.name.clone(), u.clone()))
            .collect()
    };
    let shards = |s: &Service| {
        s.shards
            .iter()
            .map(|u| (u.name.clone(), u.clone()))
            .collect()
    };
    let (a, b): (BTreeMap<String, Upstream>, _) = (upstreams(old), upstreams(new));
    list.extend(describe_items("upstream", &a, &b));
    list.extend(describe_drains(&a, &b));
    let (a, b): (BTreeMap<String, Shard>, _) = (shards(old), shards(new));
    list.extend(describe_items("shard", &a, &b));
    match list.is_empty() {
        true => vec!["order of entries changed".to_owned()],
        false => list,
    }
}

fn describe_items<T: PartialEq>(
    kind: &str,
    old: &BTreeMap<String, T>,
    new: &BTreeMap<String, T>,
) -> Vec<String> {
    let added: Vec<_> = new.keys().filter(|name| !old.contains_key(*name)).collect();
    let removed: Vec<_> = old.keys().filter(|name| !new.contains_key(*name)).collect();
    let changed: Vec<_> = new
        .iter()
        .filter(|(n, v)| old.get(*n).is_some_and(|o| o != *v))
        .map(|(n, _)| n)
        .collect();
    [("added", added), ("removed", removed), ("changed", changed)]
        .into_iter()
        .filter(|(_, names)| !names.is_empty())
        .map(|(verb, names)| describe_names(kind, verb, &names))
        .collect()
}

fn describe_names(kind: &str, verb: &str, names: &[&String]) -> String {
    let shown: Vec<_> = names
        .iter()
        .take(MAX_LISTED_NAMES)
        .map(|n| n.as_str())
        .collect();
    let rest = names.len() - shown.len();
    let plural = if names.len() == 1 { "" } else { "s" };
    let more = if rest == 0 {
        String::new()
    } else {
        format!(" and {rest} more")
    };
    format!(
        "{} {kind}{plural} {verb} ({}{more})",
        names.len(),
        shown.join(" ")
    )
}

fn describe_drains(
    old: &BTreeMap<String, Upstream>,
    new: &BTreeMap<String, Upstream>,
) -> Vec<String> {
    let differs = |u: &&Upstream| old.get(&u.name).is_some_and(|o| o.drain != u.drain);
    let verb = |u: &Upstream| if u.drain { "drained" } else { "resumed" };
    new.values()
        .filter(differs)
        .map(|u| format!("upstream {} {}", u.name, verb(u)))
        .collect()
}
