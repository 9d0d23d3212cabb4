//! The directory kept current from the store or from a watcher of it.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;

use clock::Millis;
use futures_channel::oneshot;
use futures_util::future::{Either, select};
use rand::RngExt;
use rand::seq::IndexedRandom;
use slog::{Logger, debug, info, warn};
use telemetry::names;

use crate::compression::Compressor;
use crate::crash_records::CrashExchange;
use crate::directory::Directory;
use crate::feed::{Changes, Error, Feed, Position, Result};
use crate::relay::{PeerUpdate, RelayClient};
use crate::watchers::watchers;

mod outage;
mod peers;
mod reach;

use outage::Outage;
pub use reach::Reach;

/// Longest wait of one watch; a watch that does not respond soon after has
/// failed.
const WATCH_WAIT: Millis = Millis(700);
/// A watch that has no answer this long after its wait is repeated on a new connection:
/// an open one can go silent without being closed.
const WATCH_OVERDUE: Millis = Millis(500);
/// Time for the answer to a repeated watch.
const REPEAT_TIMEOUT: Millis = Millis(500);
/// Delay between watches, so that the reports of many upstreams are read in
/// batches.
const WATCH_DELAY: Millis = Millis(700);
const STORE_RETRY_DELAY_MS: std::ops::Range<u64> = 150..350;
/// A watcher is given up if the store has not answered it for longer; peers are
/// polled if the store has not answered through a watcher for longer.
const RELAY_SILENCE: Millis = Millis(2_500);
/// Delay between polls of a watcher.
const RELAY_DELAY: Millis = Millis(300);
/// Delay between attempts if neither the watcher nor the store is reachable.
const RELAY_RETRY_DELAY_MS: std::ops::Range<u64> = 700..1_300;
/// For how long a daemon watches the store itself when its watcher fails.
const DIRECT_PERIOD_MS: std::ops::Range<u64> = 3_000..6_000;

/// After a silence of the store this long, the registration of this daemon may have expired.
const LONG_SILENCE: Millis = Millis(6_000);

/// Functions that are called with the directory after it has changed.
pub type Listeners = RefCell<Vec<Box<dyn Fn(&Directory)>>>;

/// A directory that the parts of a daemon share.
pub type SharedDirectory = Rc<RefCell<Directory>>;

/// Keeps a directory current.
pub struct Follower {
    feed: Rc<dyn Feed>,
    directory: SharedDirectory,
    listeners: Listeners,
    seeds: RefCell<Vec<SocketAddr>>,
    me: SocketAddr,
    is_loaded: Cell<bool>,
    outage: RefCell<Outage>,
    last_contact: Cell<Millis>,
    /// When the store had last answered this daemon, or a peer from which it got its changes,
    /// as [`Millis::since_boot`] counts.
    current_at: Cell<Millis>,
    /// When the store had last answered this daemon, by the same clock.
    answered_at: Cell<Millis>,
    /// When the last [`LONG_SILENCE`] ended, by the same clock.
    silence_ended: Cell<Millis>,
    reach: RefCell<Reach>,
    watcher: RefCell<Option<Rc<RelayClient>>>,
    /// When the [`DIRECT_PERIOD_MS`] ends.
    direct_until: Cell<Millis>,
    waiting_peers: RefCell<Vec<oneshot::Sender<()>>>,
    crash_exchange: RefCell<Option<Rc<dyn CrashExchange>>>,
    compressor: Compressor,
    log: Logger,
}

impl Follower {
    /// Returns a follower that has read nothing yet; `seeds` are peers to poll
    /// besides the registered ones, `me` is this daemon's own address. Upstreams write
    /// their records once in a `heartbeat`, which is zero if unknown.
    pub fn new(
        feed: Rc<dyn Feed>,
        directory: SharedDirectory,
        seeds: Vec<SocketAddr>,
        me: SocketAddr,
        heartbeat: Millis,
        log: &Logger,
    ) -> Rc<Self> {
        Rc::new(Self {
            feed,
            directory,
            listeners: RefCell::default(),
            seeds: RefCell::new(seeds),
            me,
            is_loaded: Cell::new(false),
            outage: RefCell::new(Outage::new(heartbeat)),
            last_contact: Cell::new(Millis::ZERO),
            current_at: Cell::new(Millis::since_boot()),
            answered_at: Cell::new(Millis::since_boot()),
            silence_ended: Cell::new(Millis::ZERO),
            reach: RefCell::default(),
            watcher: RefCell::default(),
            direct_until: Cell::new(Millis::ZERO),
            waiting_peers: RefCell::default(),
            crash_exchange: RefCell::default(),
            compressor: Compressor::default(),
            log: log.clone(),
        })
    }

    /// Calls `listener` after each change.
    pub fn add_listener(&self, listener: impl Fn(&Directory) + 'static) {
        self.listeners.borrow_mut().push(Box::new(listener));
    }

    /// Sends and merges the crashes of an exchange beside relayed records.
    pub fn set_crash_exchange(&self, exchange: Rc<dyn CrashExchange>) {
        *self.crash_exchange.borrow_mut() = Some(exchange);
    }

    /// Replaces the peers to poll besides the registered ones.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        *self.seeds.borrow_mut() = seeds;
    }

    /// Returns the time since the store last answered, directly or through a
    /// watcher.
    pub fn store_age(&self, now: Millis) -> Millis {
        now.since(self.last_contact.get())
    }

    /// Returns the age of the directory: the time since the store last answered, this
    /// daemon or a peer from which it got its changes. Other than by
    /// [`store_age`](Self::store_age), a daemon that was suspended finds it old. `now` is
    /// a time as [`Millis::since_boot`] counts.
    pub fn directory_age(&self, now: Millis) -> Millis {
        now.since(self.current_at.get())
    }

    /// Records that the directory was current at a time as [`Millis::since_boot`] counts.
    fn record_current(&self, at: Millis) {
        self.current_at.set(self.current_at.get().max(at));
    }

    /// Returns when the store last answered after so long a silence, or suspension of this
    /// daemon, that others may have dropped this one meanwhile.
    pub fn silence_ended(&self) -> Millis {
        self.silence_ended.get()
    }

    /// Whether the store is silent and the polls of peers show that they can be reached, at a
    /// time as [`Millis::since_boot`] counts.
    pub fn reaches_peers(&self, now: Millis) -> bool {
        self.reach.borrow().is_whole(now)
    }

    /// Follows the store, or a daemon that watches it for others, until the
    /// task is dropped.
    pub async fn follow_store(self: Rc<Self>) {
        loop {
            let delay = match self.find_watcher() {
                Some(watcher) => self.poll_watcher(&watcher).await,
                None => self.poll_store().await,
            };
            compio::time::sleep(delay.into()).await;
        }
    }

    /// Returns the watcher to poll; `None` if this daemon is to watch the store.
    fn find_watcher(&self) -> Option<Rc<RelayClient>> {
        let is_direct = Millis::now() < self.direct_until.get();
        if is_direct || !self.is_loaded.get() {
            return None;
        }
        let choice = watchers(self.directory.borrow().instances(), self.me)?;
        let mut watcher = self.watcher.borrow_mut();
        let is_kept = |w: &Rc<RelayClient>| choice.contains(&w.address);
        if !watcher.as_ref().is_some_and(is_kept) {
            let address = choice.choose(&mut rand::rng())?;
            slog::debug!(self.log, "polling a watcher"; "peer" => %address);
            *watcher = Some(Rc::new(RelayClient::new(*address)));
        }
        watcher.clone()
    }

    /// Polls a watcher; returns the delay before the next poll.
    async fn poll_watcher(&self, watcher: &RelayClient) -> Millis {
        let after = self.directory.borrow().position();
        match watcher.poll(after, WATCH_WAIT).await {
            Ok(update) if self.is_outdated(&update) => {
                slog::debug!(self.log, "watcher is in an older epoch"; "peer" => %watcher.address,
                    "epoch" => update.position().epoch);
                if self.store_age(Millis::now()) < RELAY_SILENCE {
                    return RELAY_DELAY;
                }
            }
            Ok(update) if update.age < RELAY_SILENCE => {
                self.record_contact(update.age);
                self.apply_update(update);
                return RELAY_DELAY;
            }
            Ok(update) => {
                slog::debug!(self.log, "watcher is cut off"; "peer" => %watcher.address,
                    "age_ms" => update.age.0);
                self.apply_update(update);
            }
            Err(e) => {
                slog::debug!(self.log, "watcher not reached"; "peer" => %watcher.address, "error" => %e);
            }
        }
        let period = Millis(rand::rng().random_range(DIRECT_PERIOD_MS));
        self.direct_until.set(Millis::now() + period);
        *self.watcher.borrow_mut() = None;
        Millis::ZERO
    }

    /// Whether the store was restored from a backup since the sender of an update read
    /// its records.
    fn is_outdated(&self, update: &PeerUpdate) -> bool {
        let known = self.directory.borrow().position().epoch;
        update.position().epoch < known.max(self.feed.epoch())
    }

    /// Reads or watches the store once; returns the delay before the next time.
    async fn poll_store(&self) -> Millis {
        let result = self.read_store().await;
        self.record_result(&result);
        let replaces_watcher = Millis::now() < self.direct_until.get();
        let range = match &result {
            Ok(()) => return WATCH_DELAY,
            Err(Error::Unavailable { .. } | Error::LeaseEnded) if replaces_watcher => {
                RELAY_RETRY_DELAY_MS
            }
            Err(_) => STORE_RETRY_DELAY_MS,
        };
        Millis(rand::rng().random_range(range))
    }

    async fn read_store(&self) -> Result<()> {
        if !self.is_loaded.get() {
            let snapshot = self.feed.read().await?;
            self.record_contact(Millis::ZERO);
            self.is_loaded.set(true);
            return self.update(|d, now| d.replace(snapshot, now));
        }
        let after = self.directory.borrow().position();
        let changes = self.watch(after).await?;
        self.record_contact(Millis::ZERO);
        self.update(|d, now| d.apply(changes, now))
    }

    /// Watches the store, and if the watch is overdue once more on a new connection; the
    /// first answer counts.
    async fn watch(&self, after: Position) -> Result<Changes> {
        let watch = pin!(self.feed.watch(after, WATCH_WAIT));
        let repeat = pin!(async {
            compio::time::sleep((WATCH_WAIT + WATCH_OVERDUE).into()).await;
            metrics::counter!(names::STORE_REPEATS_TOTAL).increment(1);
            debug!(self.log, "watch overdue, repeated on a new connection");
            self.feed.watch_anew(after, REPEAT_TIMEOUT).await
        });
        match select(watch, repeat).await {
            Either::Left((result, _)) => result,
            Either::Right((Err(Error::Unavailable { .. }), watch)) => watch.await,
            Either::Right((result, _)) => {
                info!(self.log, "connection to the store had gone silent");
                result
            }
        }
    }

    fn update(&self, change: impl FnOnce(&mut Directory, Millis) -> bool) -> Result<()> {
        let now = Millis::now();
        let before = self.directory.borrow().position();
        let (is_changed, after) = {
            let mut directory = self.directory.borrow_mut();
            let is_changed = change(&mut directory, now);
            (is_changed, directory.position())
        };
        if before.revision > 0 && after.epoch > before.epoch {
            metrics::counter!(names::STORE_RESTORES_TOTAL).increment(1);
            warn!(self.log, "store restored from a backup, records read anew"; "epoch" => after.epoch,
                "revision" => after.revision, "epoch_before" => before.epoch,
                "revision_before" => before.revision);
        }
        self.log_rejected();
        // Dropping the senders wakes the waiting peers.
        self.waiting_peers.borrow_mut().clear();
        if is_changed {
            self.notify_listeners();
        }
        Ok(())
    }

    fn log_rejected(&self) {
        let mut directory = self.directory.borrow_mut();
        directory.reject(self.feed.take_unreadable());
        for entry in directory.take_rejected() {
            warn!(self.log, "record ignored"; "entry" => entry);
        }
    }

    fn notify_listeners(&self) {
        let directory = self.directory.borrow();
        for listener in self.listeners.borrow().iter() {
            listener(&directory);
        }
    }

    fn expire(&self) {
        let is_changed = self.directory.borrow_mut().expire(Millis::now());
        if is_changed {
            self.notify_listeners();
        }
    }

    /// Records that the store answered this daemon or its watcher `age` ago.
    fn record_contact(&self, age: Millis) {
        let now = Millis::now();
        let at = now.since(age);
        let answered_at = Millis::since_boot() - age;
        if answered_at.since(self.answered_at.get()) >= LONG_SILENCE {
            self.silence_ended.set(Millis::since_boot());
        }
        self.answered_at
            .set(self.answered_at.get().max(answered_at));
        self.record_current(answered_at);
        self.last_contact.set(self.last_contact.get().max(at));
        if let Some(end) = self.outage.borrow_mut().record_contact(at) {
            let revision = self.directory.borrow().position().revision;
            info!(self.log, "store reachable again"; "revision" => revision,
                "outage_ms" => end.duration.0, "keeps_missing" => end.can_expire);
            if end.can_expire {
                self.directory.borrow_mut().record_reconnect(now);
            }
        }
    }

    fn record_result(&self, result: &Result<()>) {
        // A read that failed later on can have met some.
        self.log_rejected();
        match result {
            Err(Error::Compacted { after }) => {
                info!(self.log, "store compacted its history, reading all records"; "after" => after);
                self.is_loaded.set(false);
            }
            Err(Error::Restored { .. }) => self.is_loaded.set(false),
            Err(e) if self.record_failure() => {
                warn!(self.log, "store unreachable"; "error" => %e,
                    "revision" => self.directory.borrow().position().revision);
            }
            _ => {}
        }
    }

    /// Records a failed call; `true` if the one before did not fail.
    fn record_failure(&self) -> bool {
        let mut outage = self.outage.borrow_mut();
        outage.record_failure(self.last_contact.get(), Millis::now())
    }

    fn apply_update(&self, update: PeerUpdate) {
        self.feed.observe_epoch(update.position().epoch);
        if let Some(exchange) = &*self.crash_exchange.borrow() {
            exchange.merge_crashes(&update.crashes);
        }
        let _ = self.update(|d, now| {
            d.record_lapse(update.lapse_left, now);
            d.apply_update(update.update, now)
        });
    }
}
