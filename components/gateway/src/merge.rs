//! Merges the records from the shards of a search.

use bytes::{Bytes, BytesMut};

/// Size of one record in bytes.
const RECORD_BYTES: usize = 16;

/// Returns the `top_k` greatest records of all parts in descending byte order.
/// Duplicates are kept; an incomplete record at the end of a part is ignored.
pub fn top_records<'a>(parts: impl Iterator<Item = &'a [u8]>, top_k: usize) -> Bytes {
    let mut records: Vec<&[u8]> = parts.flat_map(|p| p.chunks_exact(RECORD_BYTES)).collect();
    records.sort_unstable_by(|a, b| b.cmp(a));
    records.truncate(top_k);
    let mut merged = BytesMut::with_capacity(records.len() * RECORD_BYTES);
    for record in records {
        merged.extend_from_slice(record);
    }
    merged.freeze()
}
