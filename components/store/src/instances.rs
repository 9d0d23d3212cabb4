//! The platform's list of instances, which lags behind the truth.

use std::net::SocketAddr;

use async_trait::async_trait;
use bytes::Bytes;
use clock::Millis;
use http::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use transport::Client;

use crate::error::Result;
use crate::http::{build, call, decode, refused};

const SERVICE: &str = "instance list";
const CALL_TIMEOUT: Millis = Millis(1_500);

/// What the platform says of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum InstanceState {
    /// The instance is in service.
    Live,
    /// The instance will be taken away.
    Leaving,
}

/// One instance of the system as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Unique name.
    pub id: String,
    /// Address of the service between daemons.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: String,
    /// State as the platform last knew it.
    pub state: InstanceState,
}

/// The platform's list of instances.
#[async_trait(?Send)]
pub trait InstanceList {
    /// Returns the instances as the platform knows them.
    async fn list(&self) -> Result<Vec<Instance>>;
}

/// The list of instances over HTTP.
pub struct HttpInstanceList {
    client: Client,
}

impl HttpInstanceList {
    /// Returns an adapter for the list at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            client: Client::new(address),
        }
    }
}

#[derive(Deserialize)]
struct Listing {
    instances: Vec<Instance>,
}

#[async_trait(?Send)]
impl InstanceList for HttpInstanceList {
    async fn list(&self) -> Result<Vec<Instance>> {
        let request = build(SERVICE, Method::GET, "/v1/instances", Bytes::new())?;
        let response = call(SERVICE, &self.client, request, CALL_TIMEOUT).await?;
        match response.status() {
            StatusCode::OK => decode::<Listing>(SERVICE, response.body()).map(|l| l.instances),
            status => Err(refused(SERVICE, status)),
        }
    }
}
