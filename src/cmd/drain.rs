//! `drain`: stops new work on an upstream, resumes it, or shuts down a daemon.

use std::net::SocketAddr;

use schema::{DrainRequest, LeaveRequest};
use serde_json::json;
use transport::operator_client;

use crate::cli::{DrainArgs, Output};
use crate::cmd::call::{block_on, call_error, print_json};
use crate::exit::{Code, Result};

pub(crate) fn run(args: &DrainArgs, output: Output) -> Result<Code> {
    let address = args.daemon.daemon;
    match &args.instance {
        Some(instance) => shut_down_daemon(address, instance, output),
        None => drain_upstream(address, args, output),
    }
}

fn shut_down_daemon(address: SocketAddr, instance: &str, output: Output) -> Result<Code> {
    let request = LeaveRequest {
        instance: instance.to_owned(),
    };
    let reply = block_on(async move { operator_client(address).leave(request).await })?;
    let reply = reply.map_err(|s| call_error(address, &s))?.into_inner();
    match output {
        Output::Json => print_json(&json!({ "accepted": true, "instance": reply.instance })),
        Output::Text => println!(
            "accepted: {} finishes its work and shuts down",
            reply.instance
        ),
    }
    Ok(Code::Success)
}

fn drain_upstream(address: SocketAddr, args: &DrainArgs, output: Output) -> Result<Code> {
    let request = DrainRequest {
        service: args.service.clone().unwrap_or_default(),
        upstream: args.upstream.clone().unwrap_or_default(),
        resume: args.resume,
    };
    let reply = block_on(async move { operator_client(address).drain(request).await })?;
    let reply = reply.map_err(|s| call_error(address, &s))?.into_inner();
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
