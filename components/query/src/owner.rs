//! The owner of a group of upstreams: this daemon or a peer.

use std::error::Error as _;
use std::rc::Rc;

use async_trait::async_trait;
use clock::Millis;
use schema::{
    DispatchReply, DispatchRequest, ScatterReply, ScatterRequest, SurveyReply, SurveyRequest,
};
use snafu::Snafu;
use tonic::Status;
use tonic::metadata::MetadataValue;
use transport::PeerClient;

use crate::server::Server;

// Metadata of a status that promises that the request did not run.
const RAN_METADATA: &str = "x-ran";
const NOT_RUN: &str = "no";

/// Why a call to a peer failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum PeerError {
    /// The peer did not run the request.
    #[snafu(display("the peer did not run the request"))]
    Unsent,
    /// The request may have reached the peer.
    #[snafu(display("the peer gave no answer"))]
    Lost,
}

/// Runs sub-requests on the upstreams that a daemon owns.
#[async_trait(?Send)]
pub trait Owner {
    /// Returns the snapshots that the upstreams hold.
    async fn survey(
        &self,
        request: SurveyRequest,
        timeout: Millis,
    ) -> Result<SurveyReply, PeerError>;

    /// Runs the sub-requests of a search.
    async fn scatter(
        &self,
        request: ScatterRequest,
        timeout: Millis,
    ) -> Result<ScatterReply, PeerError>;

    /// Runs a booking.
    async fn dispatch(
        &self,
        request: DispatchRequest,
        timeout: Millis,
    ) -> Result<DispatchReply, PeerError>;
}

/// This daemon as an owner.
pub struct LocalOwner {
    /// The handlers of sub-requests on this daemon.
    pub server: Rc<Server>,
}

#[async_trait(?Send)]
impl Owner for LocalOwner {
    async fn survey(
        &self,
        request: SurveyRequest,
        _timeout: Millis,
    ) -> Result<SurveyReply, PeerError> {
        Ok(self.server.survey(&request))
    }

    async fn scatter(
        &self,
        request: ScatterRequest,
        _timeout: Millis,
    ) -> Result<ScatterReply, PeerError> {
        Ok(self.server.scatter(request).await)
    }

    async fn dispatch(
        &self,
        request: DispatchRequest,
        _timeout: Millis,
    ) -> Result<DispatchReply, PeerError> {
        Ok(self.server.dispatch(request).await)
    }
}

/// A peer as an owner.
pub struct RemoteOwner {
    /// A client of the peer.
    pub client: PeerClient,
}

#[async_trait(?Send)]
impl Owner for RemoteOwner {
    async fn survey(
        &self,
        request: SurveyRequest,
        timeout: Millis,
    ) -> Result<SurveyReply, PeerError> {
        let mut client = self.client.clone();
        peer_result(compio::time::timeout(timeout.into(), client.survey(request)).await)
    }

    async fn scatter(
        &self,
        request: ScatterRequest,
        timeout: Millis,
    ) -> Result<ScatterReply, PeerError> {
        let mut client = self.client.clone();
        peer_result(compio::time::timeout(timeout.into(), client.scatter(request)).await)
    }

    async fn dispatch(
        &self,
        request: DispatchRequest,
        timeout: Millis,
    ) -> Result<DispatchReply, PeerError> {
        let mut client = self.client.clone();
        peer_result(compio::time::timeout(timeout.into(), client.dispatch(request)).await)
    }
}

/// Returns a peer's reply, or whether the peer may have run the request.
pub(crate) fn peer_result<T, E>(
    outcome: Result<Result<tonic::Response<T>, Status>, E>,
) -> Result<T, PeerError> {
    match outcome {
        Ok(Ok(response)) => Ok(response.into_inner()),
        Ok(Err(status)) if is_unsent(&status) => Err(PeerError::Unsent),
        Ok(Err(_)) | Err(_) => Err(PeerError::Lost),
    }
}

/// Returns the status of a sub-request that was not run, so that the root may send
/// it to the next owner.
pub fn not_run_status(detail: &str) -> Status {
    let mut status = Status::unavailable(detail);
    let value = MetadataValue::from_static(NOT_RUN);
    status.metadata_mut().insert(RAN_METADATA, value);
    status
}

/// Whether a peer stated that it did not run the request, or the request did not
/// reach it.
fn is_unsent(status: &Status) -> bool {
    if status
        .metadata()
        .get(RAN_METADATA)
        .is_some_and(|v| v == NOT_RUN)
    {
        return true;
    }
    let mut source = status.source();
    while let Some(error) = source {
        if let Some(error) = error.downcast_ref::<transport::Error>() {
            return error.is_unsent();
        }
        source = error.source();
    }
    false
}
