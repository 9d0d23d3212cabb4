//! Values of headers.

use http::HeaderMap;

/// Returns the whole number in a header; `None` if the header is absent.
///
/// # Errors
///
/// Returns a message if the value is no whole number.
pub fn header_number(headers: &HeaderMap, name: &str) -> Result<Option<u64>, String> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let number = value.to_str().ok().and_then(|text| text.parse().ok());
    number
        .map(Some)
        .ok_or_else(|| format!("{name} is no whole number: {value:?}"))
}
