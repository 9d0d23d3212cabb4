//! `get`: prints the declarations in force.

use schema::GetRequest;
use serde_json::json;
use transport::operator_client;

use crate::cli::{GetArgs, Output};
use crate::cmd::call::{block_on, call_error, print_json};
use crate::exit::{Code, Result};

pub(crate) fn run(args: &GetArgs, output: Output) -> Result<Code> {
    let address = args.daemon.daemon;
    let request = GetRequest {
        service: args.service.clone(),
    };
    let reply = block_on(async move { operator_client(address).get(request).await })?;
    let reply = reply.map_err(|s| call_error(address, &s))?.into_inner();
    match output {
        Output::Json => print_json(&json!({ "revision": reply.revision, "yaml": reply.yaml })),
        Output::Text => print!("# revision {}\n{}", reply.revision, reply.yaml),
    }
    Ok(Code::Success)
}
