//! Reads the bodies of responses within their limits.

use std::net::SocketAddr;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;

use crate::error::{Error, Result};
use crate::response_memory::ResponseMemory;

/// Responses up to this size do not count towards [`ResponseMemory`].
const SMALL_BYTES: usize = 256 * 1024;

/// Reads a body of at most `limit` bytes, a large one as `memory` allows.
pub(crate) async fn read_body(
    address: SocketAddr,
    body: Incoming,
    limit: usize,
    memory: Option<&ResponseMemory>,
) -> Result<Bytes> {
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
        if let Some(memory) = memory.filter(|_| read.len() > SMALL_BYTES) {
            let reader = reader.get_or_insert_with(|| memory.start_reader());
            reader.hold(read.len()).await;
        }
    }
    Ok(read.join())
}

/// The parts of a body. Several are copied into one buffer as they arrive: each holds
/// a buffer of the connection, which can be far larger than the part.
#[derive(Default)]
struct Parts {
    /// The only part so far.
    first: Bytes,
    /// All parts if there are several.
    joined: BytesMut,
}

impl Parts {
    fn add(&mut self, part: Bytes) {
        match self.len() {
            0 => self.first = part,
            _ => {
                let first = std::mem::take(&mut self.first);
                self.joined.extend_from_slice(&first);
                self.joined.extend_from_slice(&part);
            }
        }
    }

    fn len(&self) -> usize {
        self.first.len() + self.joined.len()
    }

    fn join(self) -> Bytes {
        match self.joined.is_empty() {
            true => self.first,
            false => self.joined.freeze(),
        }
    }
}
