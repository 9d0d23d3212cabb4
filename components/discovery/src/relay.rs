//! Records that daemons relay to peers: to those that don't watch the store
//! themselves, and to those that can't reach it or are refused by it.

use std::net::SocketAddr;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use clock::Millis;
use http::{Method, Request, StatusCode, header};
use serde::{Deserialize, Serialize};
use transport::{Client, Payload};

use crate::compression::{Compressor, inflate};
use crate::entry::{CrashEntry, Record, SuspicionEntry};
use crate::feed::{Change, Changes, Error, Position, Result, Snapshot, Update};

/// Path at which a daemon accepts the crashes of its peers.
pub const CRASHES_PATH: &str = "/v1/crashes";
/// Path at which a daemon accepts the suspicions of its peers.
pub const SUSPICIONS_PATH: &str = "/v1/suspicions";
/// Added to the time for which a peer may wait before it responds.
const RESPONSE_MARGIN: Millis = Millis(500);
/// Time for a peer to accept crashes.
const SEND_TIMEOUT: Millis = Millis(500);
const RESPONSE_LIMIT_BYTES: usize = 16 * 1024 * 1024;

/// An update of the directory that a daemon sends to a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerUpdate {
    /// The records or changes that the peer may lack.
    pub update: Update,
    /// Time since the store last answered, directly or through a watcher.
    pub age: Millis,
    /// For how long missing records may still be written again.
    pub lapse_left: Millis,
    /// Crashes that the daemon knows and the store is not known to hold.
    pub crashes: Vec<CrashEntry>,
}

/// JSON form of a [`PeerUpdate`].
#[derive(Debug, Serialize, Deserialize)]
pub struct RelayState {
    // Absent from daemons that don't know epochs.
    #[serde(default)]
    epoch: u64,
    revision: u64,
    /// Whether the list holds all records; keys that it lacks don't exist then.
    is_all: bool,
    age_ms: u64,
    lapse_left_ms: u64,
    records: Vec<RelayRecord>,
    // Absent from daemons that don't exchange crashes.
    #[serde(default)]
    crashes: Vec<CrashEntry>,
}

#[derive(Debug, Serialize, Deserialize)]
struct RelayRecord {
    key: String,
    // Base64, since foreign values need not be text; `None` for a deletion, or if the value
    // is in `deflated`.
    value: Option<String>,
    // Sent only to peers that accept it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    deflated: Option<String>,
    revision: u64,
}

/// Builds the records for one peer.
struct RecordWriter<'a> {
    /// Present if the peer accepts compressed values.
    compressor: Option<&'a Compressor>,
    epoch: u64,
}

impl RecordWriter<'_> {
    fn record(&self, record: Record) -> RelayRecord {
        let compressor = self.compressor;
        let deflated = compressor.and_then(|c| c.deflate(&record, self.epoch));
        RelayRecord {
            key: record.key,
            value: match deflated {
                Some(_) => None,
                None => Some(STANDARD.encode(record.value)),
            },
            deflated,
            revision: record.revision,
        }
    }

    fn change(&self, change: Change) -> RelayRecord {
        match change {
            Change::Put(record) => self.record(record),
            Change::Delete { key, revision } => RelayRecord {
                key,
                value: None,
                deflated: None,
                revision,
            },
        }
    }
}

impl TryFrom<RelayRecord> for Change {
    type Error = Error;

    fn try_from(record: RelayRecord) -> Result<Self> {
        let (key, revision) = (record.key, record.revision);
        let value = match (record.deflated, record.value) {
            (Some(deflated), _) => inflate(&deflated)?,
            (None, Some(value)) => STANDARD.decode(value).map_err(|e| Error::Unavailable {
                detail: e.to_string(),
            })?,
            (None, None) => return Ok(Change::Delete { key, revision }),
        };
        Ok(Change::Put(Record {
            key,
            value,
            revision,
        }))
    }
}

impl PeerUpdate {
    /// Returns the position of the peer.
    pub(crate) fn position(&self) -> Position {
        match &self.update {
            Update::Snapshot(snapshot) => snapshot.at,
            Update::Changes(changes) => changes.at,
        }
    }
}

impl RelayState {
    /// Returns the form of an update for a peer, with compressed values if the peer accepts
    /// them.
    pub fn new(update: PeerUpdate, compressor: Option<&Compressor>) -> Self {
        let writer = RecordWriter {
            compressor,
            epoch: update.position().epoch,
        };
        let (is_all, at, records) = match update.update {
            Update::Snapshot(all) => {
                let records = all.records.into_iter().map(|r| writer.record(r));
                (true, all.at, records.collect())
            }
            Update::Changes(changes) => {
                let records = changes.list.into_iter().map(|c| writer.change(c));
                (false, changes.at, records.collect())
            }
        };
        Self {
            epoch: at.epoch,
            revision: at.revision,
            is_all,
            age_ms: update.age.0,
            lapse_left_ms: update.lapse_left.0,
            records,
            crashes: update.crashes,
        }
    }
}

impl TryFrom<RelayState> for PeerUpdate {
    type Error = Error;

    fn try_from(state: RelayState) -> Result<Self> {
        let at = Position {
            epoch: state.epoch,
            revision: state.revision,
        };
        let changes = state.records.into_iter().map(Change::try_from);
        let list = changes.collect::<Result<Vec<Change>>>()?;
        let put = |change| match change {
            Change::Put(record) => Some(record),
            Change::Delete { .. } => None,
        };
        let update = match state.is_all {
            true => Update::Snapshot(Snapshot {
                records: list.into_iter().filter_map(put).collect(),
                at,
            }),
            false => Update::Changes(Changes { list, at }),
        };
        Ok(Self {
            update,
            age: Millis(state.age_ms),
            lapse_left: Millis(state.lapse_left_ms),
            crashes: state.crashes,
        })
    }
}

/// A client that polls the directory of a peer.
pub struct RelayClient {
    /// Address of the peer.
    pub address: SocketAddr,
    client: Client,
}

impl RelayClient {
    /// Returns a client of the peer at an address.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            client: Client::with_idle_limit(address, 1),
        }
    }

    /// Requests what this daemon at the position `after` needs to become
    /// current; the peer waits at most `wait` for a change.
    ///
    /// # Errors
    ///
    /// Fails if the peer is unreachable or its response is unusable.
    pub async fn poll(&self, after: Position, wait: Millis) -> Result<PeerUpdate> {
        let unavailable = |detail: String| Error::Unavailable { detail };
        let uri = format!(
            "/v1/directory?epoch={}&after={}&wait_ms={}&deflate=1",
            after.epoch, after.revision, wait.0
        );
        let body = self
            .send(Method::GET, &uri, Bytes::new(), wait + RESPONSE_MARGIN)
            .await?;
        let state: RelayState =
            serde_json::from_slice(&body).map_err(|e| unavailable(e.to_string()))?;
        PeerUpdate::try_from(state)
    }

    /// Sends crashes that the peer may not know.
    ///
    /// # Errors
    ///
    /// Fails if the peer is unreachable or does not accept them.
    pub async fn send_crashes(&self, crashes: &[CrashEntry]) -> Result<()> {
        self.post(CRASHES_PATH, crashes).await
    }

    /// Sends suspicions; older daemons accept none.
    ///
    /// # Errors
    ///
    /// As [`RelayClient::send_crashes`].
    pub async fn send_suspicions(&self, suspicions: &[SuspicionEntry]) -> Result<()> {
        self.post(SUSPICIONS_PATH, suspicions).await
    }

    async fn post(&self, path: &str, list: &[impl Serialize]) -> Result<()> {
        let body = serde_json::to_vec(list).map_err(|e| Error::Unavailable {
            detail: e.to_string(),
        })?;
        let sent = self.send(Method::POST, path, body.into(), SEND_TIMEOUT);
        sent.await.map(|_| ())
    }

    async fn send(&self, method: Method, uri: &str, body: Bytes, timeout: Millis) -> Result<Bytes> {
        let unavailable = |detail: String| Error::Unavailable { detail };
        let request = Request::builder()
            .method(method)
            .uri(uri)
            .header(header::HOST, "peer")
            .header(header::CONTENT_TYPE, "application/json")
            .body(Payload::new(body))
            .map_err(|e| unavailable(e.to_string()))?;
        let sent = self.client.send(request, RESPONSE_LIMIT_BYTES, timeout);
        let response = sent.await.map_err(|e| unavailable(e.to_string()))?;
        match response.status() {
            StatusCode::OK => Ok(response.into_body()),
            status => Err(unavailable(format!("unexpected status {status}"))),
        }
    }
}
