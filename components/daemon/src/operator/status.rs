//! The status of all daemons.

use futures_util::future::join_all;
use schema::{InstanceStatus, StatusReply};

use crate::state::Daemon;

/// Exchanges a heartbeat with each peer and returns the state of all daemons.
pub(crate) async fn status(daemon: &Daemon) -> StatusReply {
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
