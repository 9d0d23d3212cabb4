//! Reads the bodies of responses within their limits.

use std::net::SocketAddr;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Incoming};

use crate::error::{Error, Result};
use crate::response_memory::ResponseMemory;

/// Responses up to this size do not count towards [`ResponseMemory`].
const SMALL_BYTES: usize = 64 * 1024;
/// Size of the blocks that a body is copied into.
const BLOCK_BYTES: usize = 64 * 1024;

/// Reads a body of at most `limit` bytes, a large one as `memory` allows.
pub(crate) async fn read_body(
    address: SocketAddr,
    body: Incoming,
    limit: usize,
    memory: Option<&ResponseMemory>,
) -> Result<Bytes> {
    // A length that is told is known before any of the body is kept.
    if body.size_hint().lower() > limit as u64 {
        return Err(Error::TooLarge { address, limit });
    }
    let mut body = Limited::new(body, limit);
    let (mut read, mut reader) = (Parts::default(), None);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| match e.downcast::<hyper::Error>() {
            Ok(source) => Error::from_exchange(address, *source),
            Err(_) => Error::TooLarge { address, limit },
        })?;
        if let Ok(part) = frame.into_data() {
            read.add(part);
        }
        if let Some(memory) = memory.filter(|_| read.len > SMALL_BYTES) {
            let reader = reader.get_or_insert_with(|| memory.start_reader());
            reader.hold(read.len).await;
        }
    }
    Ok(read.join())
}

/// The parts of a body. Several are copied into blocks as they arrive: each holds a buffer
/// of the connection, which can be far larger than the part, and one growing buffer would
/// need up to three times the body.
#[derive(Default)]
struct Parts {
    /// The only part so far.
    first: Bytes,
    /// All parts if there are several.
    blocks: Vec<BytesMut>,
    len: usize,
}

impl Parts {
    fn add(&mut self, part: Bytes) {
        match self.len {
            0 => self.first = part.clone(),
            _ => {
                let first = std::mem::take(&mut self.first);
                self.copy(&first);
                self.copy(&part);
            }
        }
        self.len += part.len();
    }

    fn copy(&mut self, mut part: &[u8]) {
        while !part.is_empty() {
            let has_room = |block: &&mut BytesMut| block.len() < block.capacity();
            let block = match self.blocks.last_mut().filter(has_room) {
                Some(block) => block,
                None => {
                    self.blocks.push(BytesMut::with_capacity(BLOCK_BYTES));
                    continue;
                }
            };
            let room = block.capacity() - block.len();
            let (now, later) = part.split_at(room.min(part.len()));
            block.extend_from_slice(now);
            part = later;
        }
    }

    fn join(self) -> Bytes {
        if self.blocks.is_empty() {
            return self.first;
        }
        let mut joined = BytesMut::with_capacity(self.len);
        for block in self.blocks {
            joined.extend_from_slice(&block);
        }
        joined.freeze()
    }
}
