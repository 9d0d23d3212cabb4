//! `status`: shows which revision each instance has in force.

use schema::StatusRequest;
use serde_json::json;
use transport::operator_client;

use crate::cli::{DaemonArgs, Output};
use crate::cmd::call::{block_on, call_error, print_json};
use crate::exit::{Code, Result};
use crate::messages;

pub(crate) fn run(args: &DaemonArgs, output: Output) -> Result<Code> {
    let address = args.daemon;
    let reply = block_on(async move { operator_client(address).status(StatusRequest {}).await })?;
    let reply = reply.map_err(|s| call_error(address, &s))?.into_inner();
    if output == Output::Text {
        println!("{}", messages::status(&reply));
        return Ok(Code::Success);
    }
    let instances = reply.instances.iter().map(|i| {
        json!({
            "id": i.id,
            "domain": i.domain,
            "state": i.state,
            "revision": i.revision,
            "lag": reply.revision - i.revision,
            "age_ms": i.age_ms,
        })
    });
    print_json(&json!({ "revision": reply.revision, "instances": instances.collect::<Vec<_>>() }));
    Ok(Code::Success)
}
