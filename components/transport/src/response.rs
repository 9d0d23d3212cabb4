//! Reads the bodies of responses, with limits for one and for all together.

use std::net::SocketAddr;

use async_lock::Semaphore;
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;

use crate::error::{Error, Result};

/// Responses up to this size need no place among the large ones.
const SMALL_BYTES: usize = 256 * 1024;
const LARGE_AT_ONCE: usize = 2;

/// Places for large responses. A response beyond a quarter of a megabyte waits for
/// one of a few places before more of it is read, so that the memory of responses
/// without a bound stays limited, however many there are.
#[derive(Debug)]
pub struct LargeResponses {
    places: Semaphore,
}

impl Default for LargeResponses {
    fn default() -> Self {
        Self {
            places: Semaphore::new(LARGE_AT_ONCE),
        }
    }
}

/// Reads a body of at most `limit` bytes; a large one waits for its place.
pub(crate) async fn read_body(
    address: SocketAddr,
    body: Incoming,
    limit: usize,
    large: Option<&LargeResponses>,
) -> Result<Bytes> {
    let mut body = Limited::new(body, limit);
    let (mut read, mut place) = (Parts::default(), None);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| match e.downcast::<hyper::Error>() {
            Ok(source) => Error::from_exchange(address, *source),
            Err(_) => Error::TooLarge { address, limit },
        })?;
        if let Ok(part) = frame.into_data() {
            read.add(part);
        }
        match large {
            Some(large) if read.len() > SMALL_BYTES && place.is_none() => {
                place = Some(large.places.acquire().await);
            }
            _ => {}
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
