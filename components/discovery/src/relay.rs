//! Records passed between daemons, for those that the store turns away.

use std::net::SocketAddr;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use clock::Millis;
use http::{Request, StatusCode, header};
use serde::{Deserialize, Serialize};
use transport::Payload;

use crate::entry::Record;
use crate::feed::{Error, Result, Snapshot};

const TIMEOUT: Millis = Millis(500);
const ANSWER_LIMIT_BYTES: usize = 16 * 1024 * 1024;

/// What a daemon tells a peer that is behind.
#[derive(Debug, Serialize, Deserialize)]
pub struct RelayState {
    revision: u64,
    records: Vec<RelayRecord>,
}

#[derive(Debug, Serialize, Deserialize)]
struct RelayRecord {
    key: String,
    // Base64, since foreign values need not be text.
    value: String,
    revision: u64,
}

impl From<Snapshot> for RelayState {
    fn from(snapshot: Snapshot) -> Self {
        let record = |r: Record| RelayRecord {
            key: r.key,
            value: STANDARD.encode(r.value),
            revision: r.revision,
        };
        Self {
            revision: snapshot.revision,
            records: snapshot.records.into_iter().map(record).collect(),
        }
    }
}

impl TryFrom<RelayState> for Snapshot {
    type Error = base64::DecodeError;

    fn try_from(state: RelayState) -> std::result::Result<Self, Self::Error> {
        let record = |r: RelayRecord| {
            Ok(Record {
                key: r.key,
                value: STANDARD.decode(r.value)?,
                revision: r.revision,
            })
        };
        Ok(Self {
            revision: state.revision,
            records: state
                .records
                .into_iter()
                .map(record)
                .collect::<std::result::Result<_, _>>()?,
        })
    }
}

/// A peer that may know more than this daemon.
pub struct PeerFeed {
    address: SocketAddr,
}

impl PeerFeed {
    /// Returns the peer at an address.
    pub fn new(address: SocketAddr) -> Self {
        Self { address }
    }

    /// Asks for all records; `None` if the peer knows nothing after a revision.
    ///
    /// # Errors
    ///
    /// Fails if the peer gives no usable answer.
    pub async fn read(&self, after: u64) -> Result<Option<Snapshot>> {
        let unavailable = |detail: String| Error::Unavailable { detail };
        let request = Request::get(format!("/v1/directory?after={after}"))
            .header(header::HOST, "peer")
            .body(Payload::new(Bytes::new()))
            .map_err(|e| unavailable(e.to_string()))?;
        let response = transport::request(self.address, request, ANSWER_LIMIT_BYTES, TIMEOUT)
            .await
            .map_err(|e| unavailable(e.to_string()))?;
        match response.status() {
            StatusCode::NO_CONTENT => Ok(None),
            StatusCode::OK => {
                let state: RelayState = serde_json::from_slice(response.body())
                    .map_err(|e| unavailable(e.to_string()))?;
                let snapshot = Snapshot::try_from(state).map_err(|e| unavailable(e.to_string()))?;
                Ok(Some(snapshot))
            }
            status => Err(unavailable(format!("status {status}"))),
        }
    }
}
