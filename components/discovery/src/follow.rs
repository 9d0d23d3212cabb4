//! The tasks that keep the directory current.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use clock::Millis;
use rand::RngExt;
use rand::seq::IndexedRandom;
use slog::{Logger, info, warn};

use crate::directory::Directory;
use crate::feed::{Error, Feed, Result};
use crate::relay::PeerFeed;

/// Longest wait of one watch; a watch that is silent for longer is dead.
const WATCH_WAIT: Millis = Millis(700);
/// Pause between watches, so that the reports of many upstreams are read in
/// batches.
const WATCH_PAUSE: Millis = Millis(700);
const RETRY_MS: std::ops::Range<u64> = 150..350;
/// Without news from the store for this long, peers are asked.
const STORE_SILENCE: Millis = Millis(1_500);
const PEER_INTERVAL_MS: std::ops::Range<u64> = 300..500;

/// Called with the directory after it has changed.
pub type Wakers = RefCell<Vec<Box<dyn Fn(&Directory)>>>;

/// The directory that the parts of a daemon share.
pub type Shared = Rc<RefCell<Directory>>;

/// Keeps a directory current.
pub struct Follower {
    feed: Rc<dyn Feed>,
    directory: Shared,
    listeners: Wakers,
    seeds: RefCell<Vec<SocketAddr>>,
    me: SocketAddr,
    is_loaded: Cell<bool>,
    is_away: Cell<bool>,
    last_contact: Cell<Millis>,
    log: Logger,
}

impl Follower {
    /// Returns a follower that has read nothing yet; `seeds` are peers to ask
    /// while no registration is known, `me` is this daemon's own address.
    pub fn new(
        feed: Rc<dyn Feed>,
        directory: Shared,
        seeds: Vec<SocketAddr>,
        me: SocketAddr,
        log: &Logger,
    ) -> Rc<Self> {
        Rc::new(Self {
            feed,
            directory,
            listeners: RefCell::default(),
            seeds: RefCell::new(seeds),
            me,
            is_loaded: Cell::new(false),
            is_away: Cell::new(false),
            last_contact: Cell::new(Millis::ZERO),
            log: log.clone(),
        })
    }

    /// Calls `listener` after each change.
    pub fn add_listener(&self, listener: impl Fn(&Directory) + 'static) {
        self.listeners.borrow_mut().push(Box::new(listener));
    }

    /// Takes other peers to ask while no registration is known.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        *self.seeds.borrow_mut() = seeds;
    }

    /// The time since the store last answered.
    pub fn store_age(&self, now: Millis) -> Millis {
        now.since(self.last_contact.get())
    }

    /// Follows the store until the task is dropped.
    pub async fn follow_store(self: Rc<Self>) {
        loop {
            let result = self.step().await;
            let pause = match &result {
                Ok(()) => WATCH_PAUSE,
                Err(_) => Millis(rand::rng().random_range(RETRY_MS)),
            };
            self.note(&result);
            compio::time::sleep(pause.into()).await;
        }
    }

    /// Follows peers while the store is silent, until the task is dropped.
    pub async fn follow_peers(self: Rc<Self>) {
        loop {
            let pause = Millis(rand::rng().random_range(PEER_INTERVAL_MS));
            compio::time::sleep(pause.into()).await;
            self.settle();
            if self.store_age(Millis::now()) > STORE_SILENCE {
                self.ask_peer().await;
            }
        }
    }

    async fn step(&self) -> Result<()> {
        if !self.is_loaded.get() {
            let snapshot = self.feed.read().await?;
            self.note_contact();
            self.is_loaded.set(true);
            return self.update(|d, now| d.replace(snapshot, now));
        }
        let after = self.directory.borrow().revision();
        let changes = self.feed.watch(after, WATCH_WAIT).await?;
        self.note_contact();
        self.update(|d, now| d.apply(changes, now))
    }

    fn update(&self, change: impl FnOnce(&mut Directory, Millis) -> bool) -> Result<()> {
        let now = Millis::now();
        let (is_changed, rejected) = {
            let mut directory = self.directory.borrow_mut();
            (change(&mut directory, now), directory.take_rejected())
        };
        for entry in rejected {
            warn!(self.log, "record ignored"; "entry" => entry);
        }
        if is_changed {
            self.tell();
        }
        Ok(())
    }

    fn tell(&self) {
        let directory = self.directory.borrow();
        for listener in self.listeners.borrow().iter() {
            listener(&directory);
        }
    }

    fn settle(&self) {
        let is_changed = self.directory.borrow_mut().settle(Millis::now());
        if is_changed {
            self.tell();
        }
    }

    fn note_contact(&self) {
        let now = Millis::now();
        self.last_contact.set(now);
        if self.is_away.replace(false) {
            info!(self.log, "store regained"; "revision" => self.directory.borrow().revision());
            self.directory.borrow_mut().note_return(now);
        }
    }

    fn note(&self, result: &Result<()>) {
        match result {
            Err(Error::Compacted { after }) => {
                info!(self.log, "store dropped its history, reading all"; "after" => after);
                self.is_loaded.set(false);
            }
            Err(e) if !self.is_away.replace(true) => {
                warn!(self.log, "store lost"; "error" => %e,
                    "revision" => self.directory.borrow().revision());
            }
            _ => {}
        }
    }

    async fn ask_peer(&self) {
        let Some(address) = self.choose_peer() else {
            return;
        };
        let after = self.directory.borrow().revision();
        match PeerFeed::new(address).read(after).await {
            Ok(Some(snapshot)) if snapshot.revision > after => {
                info!(self.log, "learned from a peer"; "peer" => %address,
                    "from_revision" => after, "to_revision" => snapshot.revision);
                let _ = self.update(|d, now| d.replace(snapshot, now));
                self.is_loaded.set(true);
            }
            Ok(_) => {}
            Err(e) => slog::debug!(self.log, "peer not reached"; "peer" => %address, "error" => %e),
        }
    }

    fn choose_peer(&self) -> Option<SocketAddr> {
        let directory = self.directory.borrow();
        let mut peers: Vec<SocketAddr> = directory.instances().map(|i| i.address).collect();
        peers.extend(self.seeds.borrow().iter());
        peers.retain(|address| *address != self.me);
        peers.choose(&mut rand::rng()).copied()
    }
}
