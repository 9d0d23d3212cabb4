//! Plans and applies declarations that an operator sends.

use catalog::{Proposal, changes_between};
use schema::apply_reply::Outcome as ApplyOutcome;
use schema::{ApplyReply, ApplyRequest, Finding, PlanReply, PlanRequest};
use settings::Severity;
use tonic::Status;

use super::commit::{commit, load_latest};
use crate::state::Daemon;

/// Returns the changes that applying the declarations would make.
pub(crate) async fn plan(daemon: &Daemon, request: &PlanRequest) -> Result<PlanReply, Status> {
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

/// Returns the reply to an apply that is in flight when the shutdown runs out of
/// time.
pub(crate) fn cut_apply() -> ApplyReply {
    ApplyReply {
        outcome: ApplyOutcome::Unknown.into(),
        detail: "this daemon shut down; apply again with the same operation id".to_owned(),
        ..ApplyReply::default()
    }
}

/// Applies declarations, and reports their findings with the outcome.
pub(crate) async fn apply(daemon: &Daemon, request: &ApplyRequest) -> ApplyReply {
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
