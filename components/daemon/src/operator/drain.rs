//! Drains and resumes upstreams.

use catalog::{Catalog, Declarations, Proposal};
use schema::apply_reply::Outcome as ApplyOutcome;
use schema::{DrainReply, DrainRequest};
use tonic::Status;
use uuid::Uuid;

use super::commit::{commit, load_latest};
use crate::state::Daemon;

const DRAIN_ATTEMPTS: usize = 3;

/// Commits a revision that drains or resumes one upstream.
pub(crate) async fn drain(daemon: &Daemon, request: &DrainRequest) -> Result<DrainReply, Status> {
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
