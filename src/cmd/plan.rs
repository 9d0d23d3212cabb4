//! `plan`: shows what applying declarations would change.

use schema::{PlanReply, PlanRequest};
use serde_json::json;
use transport::operator_client;

use crate::cli::{Output, PlanArgs};
use crate::cmd::call::{block_on, call_error, print_json, read_file};
use crate::exit::{Code, Result};
use crate::messages;

pub(crate) fn run(args: &PlanArgs, output: Output) -> Result<Code> {
    let reply = request_plan(args)?;
    let has_errors = reply.findings.iter().any(|f| !f.warning);
    match output {
        Output::Json => print_json(&json!({
            "base_revision": reply.base_revision,
            "changes": reply.changes,
            "findings": reply.findings.iter().map(messages::finding).collect::<Vec<_>>(),
        })),
        Output::Text => print_text(&reply, has_errors),
    }
    Ok(if has_errors {
        Code::Findings
    } else {
        Code::Success
    })
}

fn print_text(reply: &PlanReply, has_errors: bool) {
    reply
        .findings
        .iter()
        .for_each(|f| println!("{}", messages::finding(f)));
    match () {
        () if has_errors => {}
        () if reply.changes.is_empty() => println!("{}", messages::no_changes(reply.base_revision)),
        () => {
            println!("{}", messages::plan_header(reply.base_revision));
            reply.changes.iter().for_each(|c| println!("  {c}"));
        }
    }
}

/// Requests the plan for a file of declarations from a daemon.
pub(crate) fn request_plan(args: &PlanArgs) -> Result<PlanReply> {
    let address = args.daemon.daemon;
    let request = PlanRequest {
        yaml: read_file(&args.file)?,
        file: args.file.display().to_string(),
        prune: args.prune,
    };
    let reply = block_on(async move { operator_client(address).plan(request).await })?;
    reply
        .map(tonic::Response::into_inner)
        .map_err(|s| call_error(address, &s))
}
