//! The gRPC service for other daemons.

use std::rc::Rc;

use clock::Millis;
use query::not_run_status;
use schema::peer_server::Peer;
use schema::{
    ClaimReply, ClaimRequest, DispatchReply, DispatchRequest, FetchCatalogReply,
    FetchCatalogRequest, HeartbeatMessage, OutcomeReply, OutcomeRequest, ScatterReply,
    ScatterRequest, SurveyReply, SurveyRequest,
};
use tonic::{Request, Response, Status};
use transport::{Local, local};

use crate::in_flight::{End, InFlightRequest};
use crate::state::Daemon;

type Reply<T> = std::result::Result<Response<T>, Status>;

/// Serves requests of other daemons.
pub(crate) struct PeerService(pub(crate) Local<Rc<Daemon>>);

impl PeerService {
    /// Refuses a sub-request as not run if it may need more time than this daemon
    /// has left.
    fn check_time(&self, service: &str, timeout_ms: u64) -> Result<(), Status> {
        if self.0.in_flight.is_cut() {
            return Err(not_run_status("this daemon is about to exit"));
        }
        let timeout = Millis(timeout_ms);
        let pool = self.0.pools.find(service);
        let declared = pool.map_or(timeout, |p| p.topology().service.deadline_ms);
        let exit = &self.0.server.exit;
        match exit.deadline(Millis::now(), Some(timeout), declared) {
            Ok(_) => Ok(()),
            Err(refusal) => Err(not_run_status(&refusal.detail)),
        }
    }
}

impl<T> End<T> {
    fn into_reply(self) -> Reply<T> {
        match self {
            End::Done(reply) => Ok(Response::new(reply)),
            End::Cut => Err(Status::unavailable(
                "this daemon shut down before the sub-request had an outcome",
            )),
            End::NotRun => Err(not_run_status("this daemon is about to exit")),
            End::Failed => Err(Status::internal("the task ended without an outcome")),
        }
    }
}

#[tonic::async_trait]
impl Peer for PeerService {
    async fn heartbeat(&self, request: Request<HeartbeatMessage>) -> Reply<HeartbeatMessage> {
        Ok(Response::new(self.0.members.answer(request.get_ref())))
    }

    async fn fetch_catalog(
        &self,
        request: Request<FetchCatalogRequest>,
    ) -> Reply<FetchCatalogReply> {
        let bundle = self
            .0
            .sync
            .catalog()
            .bundle_above(request.get_ref().above_revision);
        let catalog = serde_json::to_vec(&bundle).map_err(|e| Status::internal(e.to_string()))?;
        Ok(Response::new(FetchCatalogReply { catalog }))
    }

    async fn survey(&self, request: Request<SurveyRequest>) -> Reply<SurveyReply> {
        Ok(Response::new(self.0.server.survey(request.get_ref())))
    }

    async fn scatter(&self, request: Request<ScatterRequest>) -> Reply<ScatterReply> {
        let request = request.into_inner();
        self.check_time(&request.service, request.budget_ms)?;
        let listed = InFlightRequest::new("scatter", &request.request_id, &request.service);
        // This future is dropped when the root cancels the call, which cancels
        // the sub-requests.
        let scatter = self.0.server.scatter(request);
        local(self.0.in_flight.run(listed, scatter))
            .await
            .into_reply()
    }

    async fn claim(&self, request: Request<ClaimRequest>) -> Reply<ClaimReply> {
        let request = request.into_inner();
        self.check_time(&request.service, request.budget_ms)?;
        let listed = InFlightRequest::new("claim", &request.key, &request.service);
        let server = self.0.server.clone();
        let claim = async move { server.claim(request).await };
        local(self.0.in_flight.run_detached(listed, claim))
            .await
            .into_reply()
    }

    async fn dispatch(&self, request: Request<DispatchRequest>) -> Reply<DispatchReply> {
        let request = request.into_inner();
        self.check_time(&request.service, request.budget_ms)?;
        let listed = InFlightRequest::new("dispatch", &request.request_id, &request.service);
        let server = self.0.server.clone();
        let dispatch = async move { server.dispatch(request).await };
        local(self.0.in_flight.run_detached(listed, dispatch))
            .await
            .into_reply()
    }

    async fn outcome(&self, request: Request<OutcomeRequest>) -> Reply<OutcomeReply> {
        Ok(Response::new(self.0.server.outcome(request.get_ref())))
    }
}
