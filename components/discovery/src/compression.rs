//! Compression of large values on their way to peers: a configuration of many routes would
//! keep the link of a daemon that relays it to many peers busy for seconds.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io::Read;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use flate2::Compression;
use flate2::read::{DeflateDecoder, DeflateEncoder};

use crate::entry::Record;
use crate::feed::{Error, Result};

/// Smaller values are relayed as they are.
const MIN_BYTES: usize = 4 * 1024;
/// Compressed values that are kept for further peers.
const KEPT_VALUES: usize = 4;
const LARGEST_VALUE_BYTES: u64 = 16 * 1024 * 1024;

/// Identifies a value: the epoch, the key and the revision.
type ValueKey = (u64, String, u64);

/// Compresses large values, each once for all peers.
#[derive(Debug, Default)]
pub struct Compressor {
    kept: RefCell<HashMap<ValueKey, String>>,
}

impl Compressor {
    /// Returns the deflated value of a record in base64; `None` if it is small.
    pub(crate) fn deflate(&self, record: &Record, epoch: u64) -> Option<String> {
        if record.value.len() < MIN_BYTES {
            return None;
        }
        let key = (epoch, record.key.clone(), record.revision);
        let mut kept = self.kept.borrow_mut();
        if let Some(known) = kept.get(&key) {
            return Some(known.clone());
        }
        let mut deflated = Vec::new();
        let mut encoder = DeflateEncoder::new(record.value.as_slice(), Compression::fast());
        encoder.read_to_end(&mut deflated).ok()?;
        let text = STANDARD.encode(deflated);
        if kept.len() >= KEPT_VALUES {
            kept.clear();
        }
        kept.insert(key, text.clone());
        Some(text)
    }
}

/// Restores a value that [`Compressor::deflate`] compressed.
pub(crate) fn inflate(text: &str) -> Result<Vec<u8>> {
    let unavailable = |detail: String| Error::Unavailable { detail };
    let deflated = STANDARD
        .decode(text)
        .map_err(|e| unavailable(e.to_string()))?;
    let mut value = Vec::new();
    DeflateDecoder::new(deflated.as_slice())
        .take(LARGEST_VALUE_BYTES + 1)
        .read_to_end(&mut value)
        .map_err(|e| unavailable(format!("a value can't be inflated: {e}")))?;
    match value.len() as u64 {
        0..=LARGEST_VALUE_BYTES => Ok(value),
        _ => Err(unavailable(format!(
            "a value is larger than {LARGEST_VALUE_BYTES} bytes"
        ))),
    }
}
