//! `search`: searches as a caller would.

use http::HeaderMap;
use serde_json::json;
use serde_json::value::RawValue;

use crate::cli::SearchArgs;
use crate::cmd::call::{check_json, send, service_path};
use crate::exit::{Code, Result};

pub(crate) fn run(args: &SearchArgs) -> Result<Code> {
    check_json(&args.query)?;
    let query = RawValue::from_string(args.query.clone()).ok();
    let mut body = json!({ "query": query });
    if !args.shard.is_empty() {
        body["shards"] = json!(args.shard);
    }
    let path = service_path(&args.service, "search");
    send(&args.caller, &path, body.to_string(), HeaderMap::new())
}
