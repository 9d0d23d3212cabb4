//! Merges the records of a search's parts.

use bytes::{Bytes, BytesMut};

/// Bytes of one record.
const RECORD_BYTES: usize = 16;

/// Returns the `top` greatest records of all parts, greatest first, compared
/// byte by byte; equal records all count. A shorter remainder of a part is no
/// record.
pub fn top_records<'a>(parts: impl Iterator<Item = &'a [u8]>, top: usize) -> Bytes {
    let mut records: Vec<&[u8]> = parts.flat_map(|p| p.chunks_exact(RECORD_BYTES)).collect();
    records.sort_unstable_by(|a, b| b.cmp(a));
    records.truncate(top);
    let mut merged = BytesMut::with_capacity(records.len() * RECORD_BYTES);
    for record in records {
        merged.extend_from_slice(record);
    }
    merged.freeze()
}
