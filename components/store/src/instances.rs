//! The platform's list of instances, which can be out of date.

use std::net::SocketAddr;

use async_trait::async_trait;
use bytes::Bytes;
use clock::Millis;
use http::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use transport::Client;

use crate::error::Result;
use crate::http::{build, call, decode, status_error};

const SERVICE: &str = "instance list";
const CALL_TIMEOUT: Millis = Millis(1_500);
/// Longest part of a reason that is kept, in characters: it can quote the entry.
const REASON_CHARS: usize = 300;

/// State of an instance in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum InstanceState {
    /// The instance is in service.
    Live,
    /// The instance will be removed.
    Leaving,
}

/// One instance of the system as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Unique name.
    pub id: String,
    /// Address of the gRPC service between daemons.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: String,
    /// Last state that the platform recorded.
    pub state: InstanceState,
}

/// What the platform lists.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Listing {
    /// The instances.
    pub instances: Vec<Instance>,
    /// Why entries could not be read, one reason for each of them.
    pub unreadable: Vec<String>,
}

/// The platform's list of instances.
#[async_trait(?Send)]
pub trait InstanceList {
    /// Returns the instances that the platform lists; an entry that can't be read costs
    /// itself alone.
    async fn list(&self) -> Result<Listing>;
}

/// HTTP client of the list of instances.
pub struct HttpInstanceList {
    client: Client,
}

impl HttpInstanceList {
    /// Returns a client of the list at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            client: Client::new(address),
        }
    }
}

#[derive(Deserialize)]
struct ListReply<'a> {
    #[serde(borrow)]
    instances: Vec<&'a RawValue>,
}

impl From<ListReply<'_>> for Listing {
    fn from(reply: ListReply<'_>) -> Self {
        let mut listing = Self::default();
        for entry in reply.instances {
            match serde_json::from_str(entry.get()) {
                Ok(instance) => listing.instances.push(instance),
                Err(e) => {
                    let reason = e.to_string().chars().take(REASON_CHARS).collect();
                    listing.unreadable.push(reason);
                }
            }
        }
        listing
    }
}

#[async_trait(?Send)]
impl InstanceList for HttpInstanceList {
    async fn list(&self) -> Result<Listing> {
        let request = build(SERVICE, Method::GET, "/v1/instances", Bytes::new())?;
        let response = call(SERVICE, &self.client, request, CALL_TIMEOUT).await?;
        match response.status() {
            StatusCode::OK => {
                let reply = decode::<ListReply<'_>>(SERVICE, response.body());
                reply.map(Listing::from)
            }
            status => Err(status_error(SERVICE, status)),
        }
    }
}
