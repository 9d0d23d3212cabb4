//! Calls to daemons, shared by the subcommands.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;

use bytes::Bytes;
use clock::Millis;
use http::{HeaderMap, Request, header};
use serde::Serialize;
use snafu::ResultExt;
use tonic::Status;
use transport::{Payload, uri_component};

use crate::cli::CallerArgs;
use crate::exit::{ArgumentSnafu, Code, Error, ReadSnafu, Result, RuntimeSnafu, TransportSnafu};

/// Longer than the longest deadline of a request, 60 s.
const CALLER_TIMEOUT: Millis = Millis(65_000);
const ANSWER_LIMIT_BYTES: usize = 256 * 1024 * 1024;

/// Runs a future to its end on a new runtime.
pub(crate) fn block_on<F: Future>(future: F) -> Result<F::Output> {
    let runtime = compio::runtime::Runtime::new().context(RuntimeSnafu)?;
    Ok(runtime.block_on(future))
}

pub(crate) fn read_file(path: &Path) -> Result<String> {
    fs::read_to_string(path).context(ReadSnafu {
        path: path.display().to_string(),
    })
}

/// Converts the gRPC status of a failed call into an error.
pub(crate) fn call_error(address: SocketAddr, status: &Status) -> Error {
    let detail = match status.message() {
        "" => format!("{:?}", status.code()),
        message => message.to_owned(),
    };
    Error::Call {
        address: address.to_string(),
        detail,
    }
}

pub(crate) fn print_json<T: Serialize>(value: &T) {
    println!("{}", serde_json::to_string(value).unwrap_or_default());
}

/// Returns the path of an operation of a service.
pub(crate) fn service_path(service: &str, operation: &str) -> String {
    let service = uri_component(service.as_bytes());
    format!("/v1/services/{service}/{operation}")
}

/// Sends a request as a caller and prints the body of the answer.
pub(crate) fn send(
    caller: &CallerArgs,
    path: &str,
    body: String,
    mut headers: HeaderMap,
) -> Result<Code> {
    headers.extend(
        caller
            .deadline_ms
            .map(|ms| (header::HeaderName::from_static("x-deadline-ms"), ms.into())),
    );
    headers.insert(
        header::CONTENT_TYPE,
        header::HeaderValue::from_static("application/json"),
    );
    let mut request = Request::post(path)
        .header(header::HOST, caller.callers.to_string())
        .body(Payload::new(Bytes::from(body)))
        .map_err(|e| {
            ArgumentSnafu {
                detail: e.to_string(),
            }
            .build()
        })?;
    request.headers_mut().extend(headers);
    let call = transport::request(caller.callers, request, ANSWER_LIMIT_BYTES, CALLER_TIMEOUT);
    let response = block_on(call)?.context(TransportSnafu)?;
    println!("{}", String::from_utf8_lossy(response.body()));
    Ok(if response.status().is_success() {
        Code::Success
    } else {
        Code::Refused
    })
}

/// Checks that an argument is JSON before it becomes part of a body.
pub(crate) fn check_json(text: &str) -> Result<()> {
    let parsed: Result<&serde_json::value::RawValue, _> = serde_json::from_str(text);
    match parsed {
        Ok(_) => Ok(()),
        Err(e) => ArgumentSnafu {
            detail: format!("`{text}` is not JSON: {e}"),
        }
        .fail(),
    }
}
