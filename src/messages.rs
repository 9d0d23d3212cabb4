//! Human-readable output of the subcommands.

use std::path::Path;

use platform::PlatformSettings;
use routes::Configuration;
use schema::apply_reply::Outcome;
use schema::{ApplyReply, Finding, HistoryEntry, StatusReply};

use crate::exit::Error;

pub(crate) fn error(error: &Error) -> String {
    match error {
        Error::Findings { .. } => error.to_string(),
        // The text has one line for each finding.
        Error::Platform { .. } => format!("error: {error}").replace('\n', "\nerror: "),
        _ => format!("error: {error}"),
    }
}

pub(crate) fn finding(f: &Finding) -> String {
    let severity = if f.warning { "warning" } else { "error" };
    let hint = if f.hint.is_empty() {
        String::new()
    } else {
        format!(" (hint: {})", f.hint)
    };
    format!(
        "{}:{}:{}: {severity}: {}{hint}",
        f.file, f.line, f.column, f.message
    )
}

pub(crate) fn checked(file: &str, services: usize, upstreams: usize, warnings: usize) -> String {
    format!("{file}: {services} services on {upstreams} upstreams, {warnings} warnings")
}

pub(crate) fn checked_platform(file: &Path, settings: &PlatformSettings) -> String {
    let gateway = &settings.gateway;
    format!(
        "{}: instance {} in {}, callers at {}, store at {}",
        file.display(),
        gateway.instance,
        gateway.domain,
        gateway.caller_address,
        settings.store
    )
}

pub(crate) fn checked_configuration(
    file: &str,
    configuration: &Configuration,
    warnings: usize,
) -> String {
    let workspaces = match &configuration.workspaces {
        Some(workspaces) => format!("{} workspaces", workspaces.len()),
        None => "no keys required".to_owned(),
    };
    format!(
        "{file}: version {}, {} routes, {workspaces}, {warnings} warnings",
        configuration.version,
        configuration.routes.len()
    )
}

pub(crate) fn plan_header(revision: u64) -> String {
    format!("changes to revision {revision}:")
}

pub(crate) fn no_changes(revision: u64) -> String {
    format!("nothing to change; revision {revision} is in force")
}

pub(crate) fn applied(reply: &ApplyReply) -> String {
    match reply.outcome() {
        Outcome::Committed => format!("revision {} is committed", reply.revision),
        Outcome::Unchanged => no_changes(reply.revision),
        Outcome::Conflict => format!("refused: {}; run plan again", reply.detail),
        Outcome::Invalid if reply.detail.is_empty() => {
            "refused: the declarations have errors".to_owned()
        }
        Outcome::Invalid => format!("refused: {}", reply.detail),
        Outcome::Unknown => format!(
            "outcome unknown, the change may be committed: {}",
            reply.detail
        ),
        Outcome::Unavailable => format!("not committed: {}", reply.detail),
        Outcome::Unspecified => "the daemon returned no outcome".to_owned(),
    }
}

pub(crate) fn history_entry(entry: &HistoryEntry) -> String {
    let changes: Vec<_> = entry.changes.iter().map(|c| format!("  {c}")).collect();
    format!(
        "revision {} (operation {})\n{}",
        entry.revision,
        entry.operation_id,
        changes.join("\n")
    )
}

pub(crate) fn status(reply: &StatusReply) -> String {
    let current = reply
        .instances
        .iter()
        .filter(|i| i.revision == reply.revision)
        .count();
    let header = format!(
        "revision {} is in force on {current} of {} known instances",
        reply.revision,
        reply.instances.len()
    );
    let lines = reply.instances.iter().map(|i| {
        let lag = reply.revision - i.revision;
        format!(
            "  {:<16} {:<12} {:<20} revision {} (lag {lag}), last heard from {} ms ago",
            i.id, i.domain, i.state, i.revision, i.age_ms
        )
    });
    std::iter::once(header)
        .chain(lines)
        .collect::<Vec<_>>()
        .join("\n")
}
