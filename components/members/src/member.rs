//! One daemon with its state.

use std::net::SocketAddr;

use serde::Serialize;

/// State of a daemon; a later state wins within an incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// Answers heartbeats.
    Alive,
    /// Missed heartbeats, or has not answered yet, and may be dead.
    Suspect,
    /// Announced that it is shutting down.
    Leaving,
    /// Missed heartbeats for too long.
    Dead,
}

impl From<u32> for State {
    fn from(value: u32) -> Self {
        match value {
            0 => State::Alive,
            1 => State::Suspect,
            2 => State::Leaving,
            _ => State::Dead,
        }
    }
}

impl From<State> for u32 {
    fn from(state: State) -> Self {
        match state {
            State::Alive => 0,
            State::Suspect => 1,
            State::Leaving => 2,
            State::Dead => 3,
        }
    }
}

/// A daemon's identity and state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Member {
    /// Unique name of the instance.
    pub id: String,
    /// Address of the service between daemons.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: String,
    /// Grows with each start and each refuted suspicion.
    pub incarnation: u64,
    /// Last known state.
    pub state: State,
    /// Revision in force as last reported by the daemon, directly or through
    /// peers.
    pub revision: u64,
}

impl Member {
    /// Reads a member from a message; `None` if its address is malformed.
    pub fn from_message(message: &schema::Member) -> Option<Self> {
        Some(Self {
            id: message.id.clone(),
            address: message.address.parse().ok()?,
            domain: message.domain.clone(),
            incarnation: message.incarnation,
            state: message.state.into(),
            revision: message.revision,
        })
    }

    /// Returns the member as a message.
    pub fn to_message(&self) -> schema::Member {
        schema::Member {
            id: self.id.clone(),
            address: self.address.to_string(),
            domain: self.domain.clone(),
            incarnation: self.incarnation,
            state: self.state.into(),
            revision: self.revision,
        }
    }
}
