//! The heartbeat loop and the exchange with one peer.

use std::rc::Rc;

use clock::Millis;
use futures_util::future::join_all;
use prost::Message;
use rand::seq::IndexedRandom;
use schema::HeartbeatMessage;
use slog::info;
use telemetry::names;

use crate::member::{Member, State};
use crate::members::Members;
use crate::table::Effect;

/// Up to this number of peers, heartbeats go to all of them.
const FULL_MESH_PEERS: usize = 8;
/// Number of peers that heartbeats go to in a larger system.
const FAN_OUT: usize = 3;
/// A running peer answers a probe within this time.
const PROBE_TIMEOUT: Millis = Millis(50);

impl Members {
    /// Announces that this daemon is shutting down.
    pub async fn leave(self: &Rc<Self>) {
        self.me.borrow_mut().state = State::Leaving;
        let peers = self.reachable();
        join_all(peers.iter().map(|peer| self.exchange(peer))).await;
    }

    /// Sends heartbeats until the daemon stops.
    pub async fn run(self: Rc<Self>) {
        loop {
            self.table.borrow_mut().expire(Millis::now());
            for peer in self.targets() {
                let members = self.clone();
                let task = async move { members.exchange(&peer).await };
                compio::runtime::spawn(task).detach();
            }
            compio::time::sleep(self.interval.into()).await;
        }
    }

    fn targets(&self) -> Vec<Member> {
        let all = self.reachable();
        let mut targets = match all.len() <= FULL_MESH_PEERS {
            true => all,
            false => all.sample(&mut rand::rng(), FAN_OUT).cloned().collect(),
        };
        // One dead member is tried each time, so that a healed partition is
        // noticed without waiting for the platform's list.
        let table = self.table.borrow();
        let dead: Vec<&Member> = table.in_state(State::Dead).collect();
        targets.extend(dead.choose(&mut rand::rng()).map(|m| (*m).clone()));
        targets
    }

    /// Sends heartbeats at once, for a change that can't wait for the interval.
    pub fn send_heartbeats(self: &Rc<Self>) {
        for peer in self.targets() {
            let members = self.clone();
            compio::runtime::spawn(async move { members.exchange(&peer).await }).detach();
        }
    }

    /// Records that a peer answered a call.
    pub fn record_reply(&self, id: &str) {
        self.table.borrow_mut().record_reply(id, Millis::now());
    }

    /// Sends a heartbeat as a probe to a peer that has answered no call since
    /// `since`. If it does not answer in time it is not responsive until it does.
    pub fn probe(self: &Rc<Self>, id: &str, since: Millis) {
        let Some(peer) = self.table.borrow_mut().begin_probe(id, since) else {
            return;
        };
        let members = self.clone();
        compio::runtime::spawn(async move {
            let exchange = members.exchange(&peer);
            match compio::time::timeout(PROBE_TIMEOUT.into(), exchange).await {
                Ok(true) => {}
                Ok(false) | Err(_) => members.table.borrow_mut().fail_probe(&peer.id),
            }
        })
        .detach();
    }

    /// Exchanges one heartbeat with a peer; `true` if it answered.
    pub async fn exchange(&self, peer: &Member) -> bool {
        let sent = Millis::now();
        let message = self.message_for(&peer.id);
        metrics::counter!(names::CONTROL_BYTES_TOTAL, "kind" => "heartbeat")
            .increment(message.encoded_len() as u64);
        let mut client = self.client(peer.address);
        let call = compio::time::timeout(self.interval.into(), client.heartbeat(message));
        let answer = match call.await {
            Ok(Ok(answer)) => answer.into_inner(),
            Ok(Err(_)) => return self.record_miss(&peer.id, true),
            Err(_) => return self.record_miss(&peer.id, false),
        };
        let Some(sender) = answer.sender.as_ref().and_then(Member::from_message) else {
            return self.record_miss(&peer.id, false);
        };
        let revision = sender.revision;
        let effect = self
            .table
            .borrow_mut()
            .record_heartbeat(sender, sent, Millis::now());
        self.apply(effect);
        self.merge_message(&answer);
        if revision <= self.me().revision {
            self.confirmation.confirm(sent);
        }
        true
    }

    fn record_miss(&self, id: &str, refused: bool) -> bool {
        let effect = self
            .table
            .borrow_mut()
            .record_miss(id, refused, Millis::now());
        if effect == Effect::Changed {
            info!(self.log, "peer is suspected"; "peer" => id, "refused" => refused);
        }
        false
    }

    /// Merges a peer's heartbeat and returns the answer to it; a peer that just
    /// started receives all members.
    pub fn answer(&self, message: &HeartbeatMessage) -> HeartbeatMessage {
        let Some(sender) = message.sender.as_ref().and_then(Member::from_message) else {
            return HeartbeatMessage::default();
        };
        let is_new = self
            .table
            .borrow()
            .find(&sender.id)
            .is_none_or(|m| m.incarnation < sender.incarnation);
        let effect = self.table.borrow_mut().merge(sender.clone(), Millis::now());
        self.apply(effect);
        self.merge_message(message);
        let mut answer = self.message_for(&sender.id);
        if is_new {
            answer.members = self
                .table
                .borrow()
                .all_reachable()
                .iter()
                .map(Member::to_message)
                .collect();
        }
        answer
    }

    fn message_for(&self, peer: &str) -> HeartbeatMessage {
        let updates = self.table.borrow().updates_for(peer, Millis::now());
        let heard_revision = self.table.borrow().highest_revision(peer);
        let mut message = HeartbeatMessage {
            heard_revision,
            sender: Some(self.me().to_message()),
            members: updates.iter().map(Member::to_message).collect(),
            ..HeartbeatMessage::default()
        };
        if let Some(digest) = self.digest.borrow().as_ref() {
            digest.collect(&mut message);
        }
        message
    }

    fn merge_message(&self, message: &HeartbeatMessage) {
        if let Some(sender) = &message.sender {
            self.table
                .borrow_mut()
                .record_revision(&sender.id, sender.revision);
        }
        for member in message.members.iter().filter_map(Member::from_message) {
            let effect = self.table.borrow_mut().merge(member, Millis::now());
            self.apply(effect);
        }
        let digest = self.digest.borrow().clone();
        if let Some(digest) = digest {
            digest.merge(message);
        }
    }

    fn apply(&self, effect: Effect) {
        if let Effect::Refute(incarnation) = effect {
            let mut me = self.me.borrow_mut();
            me.incarnation = me.incarnation.max(incarnation + 1);
        }
    }
}
