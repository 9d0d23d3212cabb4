//! The gRPC service for operators.

use std::rc::Rc;

use catalog::{Catalog, Declarations, Outcome, Proposal, changes_between};
use futures_util::future::join_all;
use schema::apply_reply::Outcome as ApplyOutcome;
use schema::operator_server::Operator;
use schema::{
    ApplyReply, ApplyRequest, DrainReply, DrainRequest, DumpReply, DumpRequest, Finding, GetReply,
    GetRequest, HistoryEntry, HistoryReply, HistoryRequest, InstanceStatus, LeaveReply,
    LeaveRequest, PlanReply, PlanRequest, StatusReply, StatusRequest,
};
use settings::Severity;
use slog::info;
use tonic::{Request, Response, Status};
use transport::{Local, local, operator_client};
use uuid::Uuid;

use crate::dump;
use crate::in_flight::{End, InFlightRequest};
use crate::state::Daemon;

const DRAIN_ATTEMPTS: usize = 3;

type Reply<T> = std::result::Result<Response<T>, Status>;

/// Serves requests of operators.
pub(crate) struct OperatorService(pub(crate) Local<Rc<Daemon>>);

#[tonic::async_trait]
impl Operator for OperatorService {
    async fn plan(&self, request: Request<PlanRequest>) -> Reply<PlanReply> {
        let daemon = self.0.clone();
        local(async move { plan(&daemon, request.get_ref()).await })
            .await
            .map(Response::new)
    }

    async fn apply(&self, request: Request<ApplyRequest>) -> Reply<ApplyReply> {
        let daemon = self.0.clone();
        let listed = InFlightRequest::new("apply", &request.get_ref().operation_id, "");
        let apply = async move { apply(&daemon, request.get_ref()).await };
        match local(self.0.in_flight.run_detached(listed, apply)).await {
            End::Done(reply) => Ok(Response::new(reply)),
            End::Cut => Ok(Response::new(cut_apply())),
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
        let daemon = self.0.clone();
        Ok(Response::new(
            local(async move { status(&daemon).await }).await,
        ))
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
            End::Failed => Err(Status::internal("the task ended without an outcome")),
        }
    }

    async fn leave(&self, request: Request<LeaveRequest>) -> Reply<LeaveReply> {
        let daemon = self.0.clone();
        local(async move { leave(&daemon, request.into_inner()).await })
            .await
            .map(Response::new)
    }

    async fn dump(&self, _request: Request<DumpRequest>) -> Reply<DumpReply> {
        let json = dump::render(&self.0).map_err(|e| Status::internal(e.to_string()))?;
        Ok(Response::new(DumpReply { json }))
    }
}

async fn plan(daemon: &Daemon, request: &PlanRequest) -> Result<PlanReply, Status> {
    let (declarations, findings) = match catalog::parse(&request.yaml, &request.file) {
        Ok(parsed) => parsed,
        Err(e) => {
            return Ok(PlanReply {
                findings: to_messages(&e.list),
                ..PlanReply::default()
            });
        }
    };
    let latest = load_latest(daemon).await?;
    let old = latest.declarations();
    let new = catalog::merge(&old, &declarations, request.prune);
    Ok(PlanReply {
        base_revision: latest.revision(),
        changes: changes_between(&old, &new),
        findings: to_messages(&findings),
    })
}

/// Loads the latest revision from the store.
async fn load_latest(daemon: &Daemon) -> Result<Catalog, Status> {
    let repository = &daemon.sync.repository;
    let (_, head) = repository.read_head().await.map_err(unavailable)?;
    let installed = daemon.sync.catalog();
    repository.load(head, &installed).await.map_err(unavailable)
}

fn unavailable(error: catalog::Error) -> Status {
    Status::unavailable(error.to_string())
}

async fn apply(daemon: &Daemon, request: &ApplyRequest) -> ApplyReply {
    if request.operation_id.is_empty() {
        let detail = "the operation id is missing".to_owned();
        return ApplyReply {
            outcome: ApplyOutcome::Invalid.into(),
            detail,
            ..ApplyReply::default()
        };
    }
    let (declarations, findings) = match catalog::parse(&request.yaml, &request.file) {
        Ok(parsed) => parsed,
        Err(e) => {
            let findings = to_messages(&e.list);
            return ApplyReply {
                outcome: ApplyOutcome::Invalid.into(),
                findings,
                ..ApplyReply::default()
            };
        }
    };
    let proposal = Proposal {
        base_revision: request.base_revision,
        operation_id: &request.operation_id,
        declarations: &declarations,
        prune: request.prune,
    };
    let reply = commit(daemon, &proposal).await;
    ApplyReply {
        findings: to_messages(&findings),
        ..reply
    }
}

/// Returns the reply to an apply that is in flight when the shutdown runs out of
/// time.
fn cut_apply() -> ApplyReply {
    ApplyReply {
        outcome: ApplyOutcome::Unknown.into(),
        detail: "this daemon shut down; apply again with the same operation id".to_owned(),
        ..ApplyReply::default()
    }
}

/// Commits a proposal and installs it on this daemon without waiting for the
/// watch.
async fn commit(daemon: &Daemon, proposal: &Proposal<'_>) -> ApplyReply {
    let empty = ApplyReply::default();
    let outcome = match daemon.sync.repository.commit(proposal).await {
        Ok(outcome) => outcome,
        Err(e) => {
            return ApplyReply {
                outcome: ApplyOutcome::Unavailable.into(),
                detail: e.to_string(),
                ..empty
            };
        }
    };
    match outcome {
        Outcome::Committed(commit) => {
            info!(daemon.log, "revision committed"; "revision" => commit.revision, "operation" => &commit.operation_id);
            refresh(daemon).await;
            let (revision, changes) = (commit.revision, commit.changes);
            ApplyReply {
                outcome: ApplyOutcome::Committed.into(),
                revision,
                changes,
                ..empty
            }
        }
        Outcome::Unchanged(revision) => ApplyReply {
            outcome: ApplyOutcome::Unchanged.into(),
            revision,
            ..empty
        },
        Outcome::Conflict { revision, changes } => {
            let detail = format!(
                "revision {revision} was committed after revision {}",
                proposal.base_revision
            );
            ApplyReply {
                outcome: ApplyOutcome::Conflict.into(),
                revision,
                changes,
                detail,
                ..empty
            }
        }
        Outcome::Invalid(lines) => ApplyReply {
            outcome: ApplyOutcome::Invalid.into(),
            detail: lines.join("\n"),
            ..empty
        },
        Outcome::Unknown => {
            let detail =
                "the store stopped responding; apply again with the same operation id".to_owned();
            ApplyReply {
                outcome: ApplyOutcome::Unknown.into(),
                detail,
                ..empty
            }
        }
    }
}

/// Installs the committed revision and notifies peers; after a failure the
/// watch installs it later.
async fn refresh(daemon: &Daemon) {
    if let Ok((_, head)) = daemon.sync.repository.read_head().await {
        let _ = daemon.sync.install_head(head).await;
    }
    daemon.members.send_heartbeats();
}

async fn status(daemon: &Daemon) -> StatusReply {
    let peers = daemon.members.reachable();
    let answers = join_all(peers.iter().map(|p| daemon.members.exchange(p))).await;
    let me = daemon.members.me();
    let mut instances = vec![instance_status(&me, 0)];
    for (peer, has_answered) in peers.iter().zip(answers) {
        let member = daemon
            .members
            .find(&peer.id)
            .unwrap_or_else(|| peer.clone());
        let mut status = instance_status(&member, daemon.members.age(&peer.id).0);
        if !has_answered {
            status.state = format!("{} (no answer)", status.state);
        }
        instances.push(status);
    }
    let revision = instances.iter().map(|i| i.revision).max().unwrap_or(0);
    StatusReply {
        revision,
        instances,
    }
}

fn instance_status(member: &members::Member, age_ms: u64) -> InstanceStatus {
    InstanceStatus {
        id: member.id.clone(),
        domain: member.domain.clone(),
        state: format!("{:?}", member.state).to_lowercase(),
        revision: member.revision,
        age_ms,
    }
}

/// Begins the shutdown of this daemon, or forwards the request to the daemon
/// that it names.
async fn leave(daemon: &Daemon, request: LeaveRequest) -> Result<LeaveReply, Status> {
    let instance = request.instance.clone();
    if instance == daemon.members.me().id {
        daemon.leave_signal.begin();
        return Ok(LeaveReply { instance });
    }
    let member = daemon.members.find(&instance);
    let member = member
        .ok_or_else(|| Status::not_found(format!("instance `{instance}` is not a live daemon")))?;
    let reply = operator_client(member.address).leave(request).await?;
    Ok(reply.into_inner())
}

/// Commits a revision that drains or resumes one upstream.
async fn drain(daemon: &Daemon, request: &DrainRequest) -> Result<DrainReply, Status> {
    let mut detail = String::new();
    for _ in 0..DRAIN_ATTEMPTS {
        let latest = load_latest(daemon).await?;
        let declarations = declarations_with_drain(&latest, request)?;
        let operation_id = Uuid::new_v4().to_string();
        let proposal = Proposal {
            base_revision: latest.revision(),
            operation_id: &operation_id,
            declarations: &declarations,
            prune: false,
        };
        let reply = commit(daemon, &proposal).await;
        match reply.outcome() {
            ApplyOutcome::Committed => {
                return Ok(DrainReply {
                    accepted: true,
                    detail: format!("revision {}", reply.revision),
                });
            }
            ApplyOutcome::Unchanged => {
                return Ok(DrainReply {
                    accepted: true,
                    detail: "nothing to change".to_owned(),
                });
            }
            _ => detail = reply.detail,
        }
    }
    Ok(DrainReply {
        accepted: false,
        detail,
    })
}

fn declarations_with_drain(
    catalog: &Catalog,
    request: &DrainRequest,
) -> Result<Declarations, Status> {
    let topology = catalog.services.get(&request.service);
    let topology = topology.ok_or_else(|| {
        Status::not_found(format!("service `{}` is not declared", request.service))
    })?;
    let mut service = (*topology.service).clone();
    let upstream = service
        .upstreams
        .iter_mut()
        .find(|u| u.name == request.upstream);
    let upstream = upstream.ok_or_else(|| {
        Status::not_found(format!(
            "service `{}` has no upstream `{}`",
            request.service, request.upstream
        ))
    })?;
    upstream.drain = !request.resume;
    Ok(Declarations {
        services: vec![service],
    })
}

fn to_messages(list: &[settings::Finding]) -> Vec<Finding> {
    let message = |f: &settings::Finding| Finding {
        warning: f.severity == Severity::Warning,
        file: f.file.clone(),
        line: f.line,
        column: f.column,
        message: f.message.clone(),
        hint: f.hint.clone(),
    };
    list.iter().map(message).collect()
}
