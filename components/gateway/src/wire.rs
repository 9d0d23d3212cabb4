//! The interface to the platform's wire format: header names and their meaning.

use std::cell::RefCell;
use std::rc::Rc;

use bytes::Bytes;
use clock::Millis;
use http::{HeaderMap, Method, Response, Uri};
use upstreams::{Answer, Message};

/// The identifier and the timeout that a caller sends with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestContext {
    /// Identifier of the request.
    pub id: String,
    /// Time that the caller will wait, if it is given.
    pub timeout: Option<Millis>,
}

/// Use of an upstream's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// The answer is the caller's response.
    Whole,
    /// The answer is merged with those of other shards.
    Part,
}

/// A caller's request as it is forwarded to upstreams.
#[derive(Debug)]
pub struct ForwardedRequest {
    /// Identifier of the request.
    pub id: String,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// The caller's headers, without hop-by-hop headers.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
    /// Use of the answer.
    pub purpose: Purpose,
    /// Error response of an upstream that ran the request, if there is one.
    pub error_response: RefCell<Option<Answer>>,
}

/// Reads and writes the platform's headers.
pub trait WireFormat {
    /// Reads the context of a request from its headers.
    ///
    /// # Errors
    ///
    /// The error names the missing or malformed header.
    fn request_context(&self, headers: &HeaderMap) -> Result<RequestContext, String>;

    /// Returns the key that a caller sent; `None` if there is none, or more than one.
    fn api_key<'a>(&self, headers: &'a HeaderMap) -> Option<&'a [u8]>;

    /// Removes the key and sets the workspace, or removes it if there is none.
    fn set_workspace(&self, headers: &mut HeaderMap, workspace: Option<&str>);

    /// Returns the message for the upstreams.
    fn message(&self, forwarded: Rc<ForwardedRequest>) -> Rc<dyn Message>;

    /// Builds the response of a search from its parts, the number of missing
    /// shards, and the merged records.
    fn merged_response(&self, parts: &[Answer], missing: usize, records: Bytes) -> Response<Bytes>;
}
