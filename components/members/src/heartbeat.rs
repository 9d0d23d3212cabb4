//! The heartbeat loop and the exchange with one peer.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use clock::Millis;
use futures_util::future::join_all;
use prost::Message;
use rand::seq::IndexedRandom;
use schema::HeartbeatMessage;
use serde::Serialize;
use slog::{Logger, info};
use store::{InstanceList, InstanceState};
use telemetry::names;
use transport::{PeerClient, peer_client};

use crate::confirmation::Confirmation;
use crate::member::{Member, State};
use crate::ownership::rank;
use crate::table::{Effect, Table};

/// Up to this number of peers, heartbeats go to all of them.
const FULL_MESH_PEERS: usize = 8;
/// Number of peers that heartbeats go to in a larger system.
const FAN_OUT: usize = 3;
/// A running peer answers a probe within this time.
const PROBE_TIMEOUT: Millis = Millis(50);
const LIST_INTERVAL: Millis = Millis(5_000);
// Applies until the first other daemon is known.
const ALONE_LIST_INTERVAL: Millis = Millis(500);

/// Data of other parts of the daemon that heartbeats carry.
pub trait Digest {
    /// Returns the revision in force.
    fn revision(&self) -> u64;

    /// Adds this daemon's digests to a message.
    fn collect(&self, message: &mut HeartbeatMessage);

    /// Merges a peer's digests.
    fn merge(&self, message: &HeartbeatMessage);
}

/// The members of the system from the view of this daemon.
pub struct Members {
    me: RefCell<Member>,
    table: RefCell<Table>,
    clients: RefCell<HashMap<SocketAddr, PeerClient>>,
    digest: RefCell<Option<Rc<dyn Digest>>>,
    interval: Millis,
    /// Confirmation of the revision in force.
    pub confirmation: Confirmation,
    log: Logger,
}

/// A member with its observed ages, for the state dump.
#[derive(Serialize)]
pub struct MemberView {
    #[serde(flatten)]
    member: Member,
    heard_ms: Millis,
    changed_ms: Millis,
    misses: u32,
}

impl Members {
    /// Returns the members of a daemon that has just started.
    pub fn new(
        id: &str,
        domain: &str,
        address: SocketAddr,
        interval: Millis,
        log: &Logger,
    ) -> Rc<Self> {
        let me = Member {
            id: id.to_owned(),
            address,
            domain: domain.to_owned(),
            incarnation: Millis::wall().0,
            state: State::Alive,
            revision: 0,
        };
        Rc::new(Self {
            table: RefCell::new(Table::new(id)),
            me: RefCell::new(me),
            clients: RefCell::default(),
            digest: RefCell::default(),
            interval,
            confirmation: Confirmation::default(),
            log: log.clone(),
        })
    }

    /// Sets the source of the digests that heartbeats carry.
    pub fn set_digest(&self, digest: Rc<dyn Digest>) {
        *self.digest.borrow_mut() = Some(digest);
    }

    /// Returns this daemon as a member.
    pub fn me(&self) -> Member {
        let mut me = self.me.borrow().clone();
        me.revision = self.digest.borrow().as_ref().map_or(0, |d| d.revision());
        me
    }

    /// Returns a number that grows whenever ownership may change.
    pub fn epoch(&self) -> u64 {
        self.table.borrow().epoch() + u64::from(self.me.borrow().state == State::Leaving)
    }

    /// Ranks the members that can own `key`, this daemon included; one that is
    /// leaving only if no other can.
    pub fn owners(&self, key: &str, domain: &str) -> Vec<Member> {
        let me = self.me.borrow();
        let table = self.table.borrow();
        let mine = Some(&*me).filter(|m| m.state == State::Alive);
        let all = table.responsive().chain(mine);
        let ranked = rank(key, domain, all);
        match ranked.is_empty() {
            true => vec![me.clone()],
            false => ranked.into_iter().cloned().collect(),
        }
    }

    /// Whether this daemon ranks among the first `count` members of its failure
    /// domain for `key`.
    pub fn is_chosen(&self, key: &str, count: usize) -> bool {
        let me = self.me.borrow();
        let table = self.table.borrow();
        let same = table
            .in_state(State::Alive)
            .filter(|m| m.domain == me.domain);
        let ranked = rank(key, &me.domain, same.chain([&*me]));
        ranked.iter().take(count).any(|m| m.id == me.id)
    }

    /// Returns the peers that are alive.
    pub fn alive(&self) -> Vec<Member> {
        self.table
            .borrow()
            .in_state(State::Alive)
            .cloned()
            .collect()
    }

    /// Returns all peers that are not dead.
    pub fn reachable(&self) -> Vec<Member> {
        self.table.borrow().all_reachable()
    }

    /// Finds a peer by its name.
    pub fn find(&self, id: &str) -> Option<Member> {
        self.table.borrow().find(id).cloned()
    }

    /// Whether a peer is alive, answered the last heartbeat and left no probe
    /// unanswered since.
    pub fn is_responsive(&self, id: &str) -> bool {
        self.table.borrow().responsive().any(|m| m.id == id)
    }

    /// Whether no other daemon was ever known.
    pub fn is_alone(&self) -> bool {
        self.table.borrow().was_always_empty()
    }

    /// Returns the time since the last heartbeat that a peer answered.
    pub fn age(&self, id: &str) -> Millis {
        let now = Millis::now();
        self.table
            .borrow()
            .heard(id)
            .map_or(now, |heard| now.since(heard))
    }

    /// Returns a client of the daemon at an address.
    pub fn client(&self, address: SocketAddr) -> PeerClient {
        let mut clients = self.clients.borrow_mut();
        clients
            .entry(address)
            .or_insert_with(|| peer_client(address))
            .clone()
    }

    /// Returns the members with their ages, for the state dump.
    pub fn view(&self) -> Vec<MemberView> {
        let now = Millis::now();
        let table = self.table.borrow();
        let view = table.records().map(|r| MemberView {
            member: r.member.clone(),
            heard_ms: now.since(r.heard),
            changed_ms: now.since(r.changed),
            misses: r.misses,
        });
        view.collect()
    }

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

    /// Reads the platform's list of instances at intervals, until the daemon
    /// stops.
    pub async fn follow_list(self: Rc<Self>, list: Rc<dyn InstanceList>) {
        loop {
            match list.list().await {
                Ok(instances) => self.seed(&instances),
                Err(e) => info!(self.log, "instance list not read"; "error" => %e),
            }
            let pause = if self.is_alone() {
                ALONE_LIST_INTERVAL
            } else {
                LIST_INTERVAL
            };
            compio::time::sleep(pause.into()).await;
        }
    }

    fn seed(&self, instances: &[store::Instance]) {
        let now = Millis::now();
        let live = instances.iter().filter(|i| i.state == InstanceState::Live);
        for instance in live {
            let member = Member {
                id: instance.id.clone(),
                address: instance.address,
                domain: instance.domain.clone(),
                incarnation: 0,
                // The list lags, so an instance stays suspect until it answers.
                state: State::Suspect,
                revision: 0,
            };
            self.table.borrow_mut().seed(member, now);
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
