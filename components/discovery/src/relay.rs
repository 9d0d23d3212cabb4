//! Records passed between daemons: to those that leave watching the store to
//! others, and to those that the store turns away.

use std::net::SocketAddr;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use clock::Millis;
use http::{Request, StatusCode, header};
use serde::{Deserialize, Serialize};
use transport::{Client, Payload};

use crate::entry::Record;
use crate::feed::{Change, Changes, Error, News, Result, Snapshot};

/// Added to the time that a peer may wait for news.
const TIMEOUT: Millis = Millis(500);
const ANSWER_LIMIT_BYTES: usize = 16 * 1024 * 1024;

/// What a daemon tells a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerNews {
    /// What the peer may not know.
    pub news: News,
    /// The time since the store last answered, directly or through others.
    pub age: Millis,
    /// For how long records that are missing may be on their way back.
    pub lapse_left: Millis,
}

/// The same as JSON.
#[derive(Debug, Serialize, Deserialize)]
pub struct RelayState {
    revision: u64,
    /// Whether what isn't in the list doesn't exist.
    is_all: bool,
    age_ms: u64,
    lapse_left_ms: u64,
    records: Vec<RelayRecord>,
}

#[derive(Debug, Serialize, Deserialize)]
struct RelayRecord {
    key: String,
    // Base64, since foreign values need not be text; none if it was deleted.
    value: Option<String>,
    revision: u64,
}

impl From<Record> for RelayRecord {
    fn from(record: Record) -> Self {
        Self {
            key: record.key,
            value: Some(STANDARD.encode(record.value)),
            revision: record.revision,
        }
    }
}

impl From<Change> for RelayRecord {
    fn from(change: Change) -> Self {
        match change {
            Change::Put(record) => record.into(),
            Change::Delete { key, revision } => Self {
                key,
                value: None,
                revision,
            },
        }
    }
}

impl TryFrom<RelayRecord> for Change {
    type Error = base64::DecodeError;

    fn try_from(record: RelayRecord) -> std::result::Result<Self, Self::Error> {
        let (key, revision) = (record.key, record.revision);
        match record.value {
            Some(value) => Ok(Change::Put(Record {
                key,
                value: STANDARD.decode(value)?,
                revision,
            })),
            None => Ok(Change::Delete { key, revision }),
        }
    }
}

impl From<PeerNews> for RelayState {
    fn from(told: PeerNews) -> Self {
        let (is_all, revision, records) = match told.news {
            News::All(all) => {
                let records = all.records.into_iter().map(RelayRecord::from);
                (true, all.revision, records.collect())
            }
            News::Changes(changes) => {
                let records = changes.list.into_iter().map(RelayRecord::from);
                (false, changes.revision, records.collect())
            }
        };
        Self {
            revision,
            is_all,
            age_ms: told.age.0,
            lapse_left_ms: told.lapse_left.0,
            records,
        }
    }
}

impl TryFrom<RelayState> for PeerNews {
    type Error = base64::DecodeError;

    fn try_from(state: RelayState) -> std::result::Result<Self, Self::Error> {
        let revision = state.revision;
        let changes = state.records.into_iter().map(Change::try_from);
        let list = changes.collect::<std::result::Result<Vec<Change>, _>>()?;
        let put = |change| match change {
            Change::Put(record) => Some(record),
            Change::Delete { .. } => None,
        };
        let news = match state.is_all {
            true => News::All(Snapshot {
                records: list.into_iter().filter_map(put).collect(),
                revision,
            }),
            false => News::Changes(Changes { list, revision }),
        };
        Ok(Self {
            news,
            age: Millis(state.age_ms),
            lapse_left: Millis(state.lapse_left_ms),
        })
    }
}

/// A peer that may know more than this daemon.
pub struct PeerFeed {
    /// Where it is asked.
    pub address: SocketAddr,
    client: Client,
}

impl PeerFeed {
    /// Returns the peer at an address.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            client: Client::with_idle_limit(address, 1),
        }
    }

    /// Asks what happened after a revision; the peer waits at most `wait` for
    /// news.
    ///
    /// # Errors
    ///
    /// Fails if the peer gives no usable answer.
    pub async fn follow(&self, after: u64, wait: Millis) -> Result<PeerNews> {
        let unavailable = |detail: String| Error::Unavailable { detail };
        let uri = format!("/v1/directory?after={after}&wait_ms={}", wait.0);
        let request = Request::get(uri)
            .header(header::HOST, "peer")
            .body(Payload::new(Bytes::new()))
            .map_err(|e| unavailable(e.to_string()))?;
        let sent = self
            .client
            .send(request, ANSWER_LIMIT_BYTES, wait + TIMEOUT);
        let response = sent.await.map_err(|e| unavailable(e.to_string()))?;
        match response.status() {
            StatusCode::OK => {
                let state: RelayState = serde_json::from_slice(response.body())
                    .map_err(|e| unavailable(e.to_string()))?;
                PeerNews::try_from(state).map_err(|e| unavailable(e.to_string()))
            }
            status => Err(unavailable(format!("status {status}"))),
        }
    }
}
