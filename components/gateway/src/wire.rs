//! The border to the platform's wire: names of headers, and what they say.

use std::cell::RefCell;
use std::rc::Rc;

use bytes::Bytes;
use clock::Millis;
use http::{HeaderMap, Method, Response, Uri};
use upstreams::{Answer, Message};

/// What a caller asks besides the request itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestContext {
    /// Identifier of the request.
    pub id: String,
    /// How long the caller will wait, if it tells.
    pub timeout: Option<Millis>,
}

/// What an upstream's answer is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// It is the caller's answer.
    Whole,
    /// It is merged with those of other shards.
    Part,
}

/// A caller's request on its way to upstreams.
#[derive(Debug)]
pub struct ForwardedRequest {
    /// Identifier of the request.
    pub id: String,
    /// The method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// The caller's headers without those of its connection.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// What the answer is used for.
    pub purpose: Purpose,
    /// An answer with which an upstream failed after it ran the request.
    pub error_response: RefCell<Option<Answer>>,
}

/// Writes and reads the platform's headers.
pub trait WireFormat {
    /// Reads what a caller asks for.
    ///
    /// # Errors
    ///
    /// Says which header is missing or malformed.
    fn request_context(&self, headers: &HeaderMap) -> Result<RequestContext, String>;

    /// Returns the message that upstreams get.
    fn message(&self, forwarded: Rc<ForwardedRequest>) -> Rc<dyn Message>;

    /// Builds the answer of a search from its parts, the number of shards
    /// that it misses, and the merged records.
    fn merged_response(&self, parts: &[Answer], missing: usize, records: Bytes) -> Response<Bytes>;
}
