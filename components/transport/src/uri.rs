//! Names and keys of others in the URI of a request.

use std::fmt::Display;

use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, percent_encode};

/// All bytes but those that mean the same everywhere in a URI.
const RESERVED: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~');

/// Returns any bytes in the form in which they are one segment of a path or one value of a
/// query.
pub fn uri_component(bytes: &[u8]) -> impl Display + '_ {
    percent_encode(bytes, RESERVED)
}
