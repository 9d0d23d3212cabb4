//! `apply`: commits declarations as the next revision.

use schema::apply_reply::Outcome;
use schema::{ApplyReply, ApplyRequest};
use serde_json::json;
use transport::operator_client;
use uuid::Uuid;

use crate::cli::{ApplyArgs, Output};
use crate::cmd::call::{block_on, call_error, print_json, read_file};
use crate::cmd::plan;
use crate::exit::{Code, Result};
use crate::messages;

pub(crate) fn run(args: &ApplyArgs, output: Output) -> Result<Code> {
    let base_revision = match args.base {
        Some(base) => base,
        None => plan::request_plan(&args.plan)?.base_revision,
    };
    let address = args.plan.daemon.daemon;
    let operation_id = args
        .operation
        .clone()
        .unwrap_or_else(|| Uuid::new_v4().to_string());
    let request = ApplyRequest {
        yaml: read_file(&args.plan.file)?,
        file: args.plan.file.display().to_string(),
        base_revision,
        operation_id: operation_id.clone(),
        prune: args.plan.prune,
    };
    let reply = block_on(async move { operator_client(address).apply(request).await })?;
    let reply = reply
        .map(tonic::Response::into_inner)
        .map_err(|s| call_error(address, &s))?;
    print(&reply, &operation_id, output);
    Ok(match reply.outcome() {
        Outcome::Committed | Outcome::Unchanged => Code::Success,
        Outcome::Conflict => Code::Conflict,
        Outcome::Invalid => Code::Findings,
        Outcome::Unknown | Outcome::Unavailable => Code::Unavailable,
        Outcome::Unspecified => Code::Failure,
    })
}

fn print(reply: &ApplyReply, operation: &str, output: Output) {
    let findings = reply.findings.iter().map(messages::finding);
    if output == Output::Json {
        return print_json(&json!({
            "outcome": reply.outcome().as_str_name().to_lowercase(),
            "revision": reply.revision,
            "changes": reply.changes,
            "findings": findings.collect::<Vec<_>>(),
            "detail": reply.detail,
            "operation": operation,
        }));
    }
    findings.for_each(|f| println!("{f}"));
    println!("{} (operation {operation})", messages::applied(reply));
    reply.changes.iter().for_each(|c| println!("  {c}"));
}
