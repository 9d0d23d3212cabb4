//! The members of the system from the view of a daemon, and the queries about
//! them.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use clock::Millis;
use serde::Serialize;
use slog::Logger;
use transport::{PeerClient, peer_client};

use crate::confirmation::Confirmation;
use crate::digest::Digest;
use crate::member::{Member, State};
use crate::ownership::rank;
use crate::table::Table;

/// The members of the system from the view of this daemon.
pub struct Members {
    pub(crate) me: RefCell<Member>,
    pub(crate) table: RefCell<Table>,
    clients: RefCell<HashMap<SocketAddr, PeerClient>>,
    pub(crate) digest: RefCell<Option<Rc<dyn Digest>>>,
    pub(crate) interval: Millis,
    /// Confirmation of the revision in force.
    pub confirmation: Confirmation,
    pub(crate) log: Logger,
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
}
