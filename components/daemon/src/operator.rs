//! The gRPC service for operators.

mod apply;
mod commit;
mod drain;
mod status;

use std::rc::Rc;

use query::not_run_status;
use schema::operator_server::Operator;
use schema::{
    ApplyReply, ApplyRequest, DrainReply, DrainRequest, DumpReply, DumpRequest, GetReply,
    GetRequest, HistoryEntry, HistoryReply, HistoryRequest, LeaveReply, LeaveRequest, PlanReply,
    PlanRequest, StatusReply, StatusRequest,
};
use tonic::{Request, Response, Status};
use transport::{Local, local, operator_client};

use self::apply::{apply, cut_apply, plan};
use self::drain::drain;
use self::status::status;
use crate::dump;
use crate::in_flight::{End, InFlightRequest};
use crate::state::Daemon;

type Reply<T> = std::result::Result<Response<T>, Status>;

/// Serves requests of operators.
pub(crate) struct OperatorService(pub(crate) Local<Rc<Daemon>>);

#[tonic::async_trait]
impl Operator for OperatorService {
    async fn plan(&self, request: Request<PlanRequest>) -> Reply<PlanReply> {
        let listed = InFlightRequest::new("plan", "", "");
        let plan = plan(&self.0, request.get_ref());
        let end = local(self.0.in_flight.run(listed, plan)).await;
        until_exit(end)?.map(Response::new)
    }

    async fn apply(&self, request: Request<ApplyRequest>) -> Reply<ApplyReply> {
        let daemon = self.0.clone();
        let listed = InFlightRequest::new("apply", &request.get_ref().operation_id, "");
        let apply = async move { apply(&daemon, request.get_ref()).await };
        match local(self.0.in_flight.run_detached(listed, apply)).await {
            End::Done(reply) => Ok(Response::new(reply)),
            End::Cut => Ok(Response::new(cut_apply())),
            End::NotRun => Err(not_run()),
            End::Failed => Err(Status::internal("the task ended without an outcome")),
        }
    }

    async fn get(&self, request: Request<GetRequest>) -> Reply<GetReply> {
        let catalog = self.0.sync.catalog();
        let mut declarations = catalog.declarations();
        let name = &request.get_ref().service;
        if !name.is_empty() {
            declarations.services.retain(|s| s.name == *name);
        }
        if !name.is_empty() && declarations.services.is_empty() {
            return Err(Status::not_found(format!(
                "service `{name}` is not declared"
            )));
        }
        let yaml = catalog::render(&declarations);
        Ok(Response::new(GetReply {
            revision: catalog.revision(),
            yaml,
        }))
    }

    async fn history(&self, request: Request<HistoryRequest>) -> Reply<HistoryReply> {
        let limit = request.get_ref().limit as usize;
        let catalog = self.0.sync.catalog();
        let entries = catalog
            .head
            .history
            .iter()
            .rev()
            .take(limit)
            .map(|c| HistoryEntry {
                revision: c.revision,
                committed_ms: c.committed_ms.0,
                operation_id: c.operation_id.clone(),
                changes: c.changes.clone(),
            });
        Ok(Response::new(HistoryReply {
            entries: entries.collect(),
        }))
    }

    async fn status(&self, _request: Request<StatusRequest>) -> Reply<StatusReply> {
        let listed = InFlightRequest::new("status", "", "");
        let status = status(&self.0);
        let end = local(self.0.in_flight.run(listed, status)).await;
        until_exit(end).map(Response::new)
    }

    async fn drain(&self, request: Request<DrainRequest>) -> Reply<DrainReply> {
        let daemon = self.0.clone();
        let listed = InFlightRequest::new("drain", "", &request.get_ref().service);
        let drain = async move { drain(&daemon, request.get_ref()).await };
        match local(self.0.in_flight.run_detached(listed, drain)).await {
            End::Done(reply) => reply.map(Response::new),
            End::Cut => Err(Status::unavailable(
                "this daemon shut down; the revision may have been committed",
            )),
            End::NotRun => Err(not_run()),
            End::Failed => Err(Status::internal("the task ended without an outcome")),
        }
    }

    async fn leave(&self, request: Request<LeaveRequest>) -> Reply<LeaveReply> {
        let listed = InFlightRequest::new("leave", "", "");
        let leave = leave(&self.0, request.into_inner());
        let end = local(self.0.in_flight.run(listed, leave)).await;
        until_exit(end)?.map(Response::new)
    }

    async fn dump(&self, _request: Request<DumpRequest>) -> Reply<DumpReply> {
        let json = dump::render(&self.0).map_err(|e| Status::internal(e.to_string()))?;
        Ok(Response::new(DumpReply { json }))
    }
}

/// Returns the outcome of a request, or a status if it has none.
fn until_exit<T>(end: End<T>) -> Result<T, Status> {
    match end {
        End::Done(outcome) => Ok(outcome),
        End::Cut => Err(Status::unavailable(
            "this daemon shut down before the request had an outcome",
        )),
        End::NotRun => Err(not_run()),
        End::Failed => Err(Status::internal("the task ended without an outcome")),
    }
}

/// Refuses a request that arrives after the shutdown cut those in flight.
fn not_run() -> Status {
    not_run_status("this daemon is about to exit")
}

/// Begins the shutdown of this daemon, or forwards the request to the daemon
/// that it names.
async fn leave(daemon: &Daemon, request: LeaveRequest) -> Result<LeaveReply, Status> {
    let instance = request.instance.clone();
    if instance == daemon.members.me().id {
        daemon.leave_signal.set();
        return Ok(LeaveReply { instance });
    }
    let member = daemon.members.find(&instance);
    let member = member
        .ok_or_else(|| Status::not_found(format!("instance `{instance}` is not a live daemon")))?;
    let reply = operator_client(member.address).leave(request).await?;
    Ok(reply.into_inner())
}
