//! The gRPC service for other daemons.

use std::rc::Rc;

use schema::peer_server::Peer;
use schema::{
    ClaimReply, ClaimRequest, DispatchReply, DispatchRequest, FetchCatalogReply,
    FetchCatalogRequest, HeartbeatMessage, OutcomeReply, OutcomeRequest, ScatterReply,
    ScatterRequest, SurveyReply, SurveyRequest,
};
use tonic::{Request, Response, Status};
use transport::{Local, detached, local};

use crate::state::Daemon;

type Reply<T> = std::result::Result<Response<T>, Status>;

/// Serves requests of other daemons.
pub(crate) struct PeerService(pub(crate) Local<Rc<Daemon>>);

fn task_failed() -> Status {
    Status::internal("the task ended without an outcome")
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
        // This future is dropped when the root cancels the call, which cancels
        // the sub-requests.
        let reply = local(self.0.server.scatter(request.into_inner())).await;
        Ok(Response::new(reply))
    }

    async fn claim(&self, request: Request<ClaimRequest>) -> Reply<ClaimReply> {
        let server = self.0.server.clone();
        let task = local(detached(
            async move { server.claim(request.into_inner()).await },
        ));
        task.await.map(Response::new).ok_or_else(task_failed)
    }

    async fn dispatch(&self, request: Request<DispatchRequest>) -> Reply<DispatchReply> {
        let server = self.0.server.clone();
        let task = local(detached(async move {
            server.dispatch(request.into_inner()).await
        }));
        task.await.map(Response::new).ok_or_else(task_failed)
    }

    async fn outcome(&self, request: Request<OutcomeRequest>) -> Reply<OutcomeReply> {
        Ok(Response::new(self.0.server.outcome(request.get_ref())))
    }
}
