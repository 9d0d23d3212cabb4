//! `history`: lists the most recent revisions.

use schema::HistoryRequest;
use serde_json::json;
use transport::operator_client;

use crate::cli::{HistoryArgs, Output};
use crate::cmd::call::{block_on, call_error, print_json};
use crate::exit::{Code, Result};
use crate::messages;

pub(crate) fn run(args: &HistoryArgs, output: Output) -> Result<Code> {
    let address = args.daemon.daemon;
    let request = HistoryRequest { limit: args.limit };
    let reply = block_on(async move { operator_client(address).history(request).await })?;
    let entries = reply
        .map_err(|s| call_error(address, &s))?
        .into_inner()
        .entries;
    match output {
        Output::Text => entries
            .iter()
            .for_each(|e| println!("{}", messages::history_entry(e))),
        Output::Json => {
            let list = entries.iter().map(|e| {
                json!({
                    "revision": e.revision,
                    "committed_ms": e.committed_ms,
                    "operation": e.operation_id,
                    "changes": e.changes,
                })
            });
            print_json(&list.collect::<Vec<_>>());
        }
    }
    Ok(Code::Success)
}
