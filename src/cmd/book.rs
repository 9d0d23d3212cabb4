//! `book`: books as a caller would.

use http::{HeaderMap, HeaderValue};
use serde_json::json;
use serde_json::value::RawValue;
use uuid::Uuid;

use crate::cli::BookArgs;
use crate::cmd::call::{check_json, send, service_path};
use crate::exit::{ArgumentSnafu, Code, Result};

pub(crate) fn run(args: &BookArgs) -> Result<Code> {
    check_json(&args.booking)?;
    let booking = RawValue::from_string(args.booking.clone()).ok();
    let mut body = json!({ "booking": booking });
    if let Some(shard) = &args.shard {
        body["shard"] = json!(shard);
    }
    let key = args
        .key
        .clone()
        .unwrap_or_else(|| Uuid::now_v7().to_string());
    let value = HeaderValue::from_str(&key);
    let value = value.map_err(|_| {
        ArgumentSnafu {
            detail: "`--key` is not a valid header value",
        }
        .build()
    })?;
    let headers = HeaderMap::from_iter([(http::HeaderName::from_static("idempotency-key"), value)]);
    let path = service_path(&args.service, "book");
    send(&args.caller, &path, body.to_string(), headers)
}
