//! The border to the platform's wire: names of headers, and what they say.

use std::cell::RefCell;
use std::rc::Rc;

use bytes::Bytes;
use clock::Millis;
use http::{HeaderMap, Method, Response, Uri};
use upstreams::{Answer, Message};

/// What a caller asks besides the request itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Terms {
    /// Identifier of the request.
    pub id: String,
    /// How long the caller will wait, if it tells.
    pub budget: Option<Millis>,
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
pub struct Forwarded {
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
    pub failed: RefCell<Option<Answer>>,
}

/// Writes and reads the platform's headers.
pub trait Wire {
    /// Reads what a caller asks for.
    ///
    /// # Errors
    ///
    /// Says which header is missing or malformed.
    fn terms(&self, headers: &HeaderMap) -> Result<Terms, String>;

    /// Returns the message that upstreams get.
    fn message(&self, forwarded: Rc<Forwarded>) -> Rc<dyn Message>;

    /// Builds the answer of a search from its parts, the number of shards
    /// that it misses, and the merged records.
    fn merged(&self, parts: &[Answer], missing: usize, records: Bytes) -> Response<Bytes>;
}
