//! `drain`: stops new work on an upstream, or resumes it.

use schema::DrainRequest;
use serde_json::json;
use transport::operator_client;

use crate::cli::{DrainArgs, Output};
use crate::cmd::call::{block_on, failed, print_json};
use crate::exit::{Code, Result};

pub(crate) fn run(args: &DrainArgs, output: Output) -> Result<Code> {
    let address = args.daemon.daemon;
    let request = DrainRequest {
        service: args.service.clone(),
        upstream: args.upstream.clone(),
        resume: args.resume,
    };
    let reply = block_on(async move { operator_client(address).drain(request).await })?;
    let reply = reply.map_err(|s| failed(address, &s))?.into_inner();
    match output {
        Output::Json => print_json(&json!({ "accepted": reply.accepted, "detail": reply.detail })),
        Output::Text if reply.accepted => println!("accepted: {}", reply.detail),
        Output::Text => println!("refused: {}", reply.detail),
    }
    Ok(if reply.accepted {
        Code::Success
    } else {
        Code::Conflict
    })
}
