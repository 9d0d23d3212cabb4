//! `dump`: prints a daemon's state.

use schema::DumpRequest;
use transport::operator_client;

use crate::cli::DaemonArgs;
use crate::cmd::call::{block_on, call_error};
use crate::exit::{Code, Result};

pub(crate) fn run(args: &DaemonArgs) -> Result<Code> {
    let address = args.daemon;
    let reply = block_on(async move { operator_client(address).dump(DumpRequest {}).await })?;
    println!(
        "{}",
        reply
            .map_err(|s| call_error(address, &s))?
            .into_inner()
            .json
    );
    Ok(Code::Success)
}
