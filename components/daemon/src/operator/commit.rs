//! Commits revisions to the store.

use catalog::{Catalog, Outcome, Proposal};
use schema::ApplyReply;
use schema::apply_reply::Outcome as ApplyOutcome;
use slog::info;
use tonic::Status;

use crate::state::Daemon;

/// Loads the latest revision from the store.
pub(crate) async fn load_latest(daemon: &Daemon) -> Result<Catalog, Status> {
    let repository = &daemon.sync.repository;
    let (_, head) = repository.read_head().await.map_err(unavailable)?;
    let installed = daemon.sync.catalog();
    repository.load(head, &installed).await.map_err(unavailable)
}

fn unavailable(error: catalog::Error) -> Status {
    Status::unavailable(error.to_string())
}

/// Commits a proposal and installs it on this daemon without waiting for the
/// watch.
pub(crate) async fn commit(daemon: &Daemon, proposal: &Proposal<'_>) -> ApplyReply {
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
