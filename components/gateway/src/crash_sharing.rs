//! Shares the crashes of upstreams with the other gateways, so that a request that
//! ends upstreams is quarantined by all of them and after a restart: a crash is
//! sent to some peers at once and written to the store soon after, and peers that
//! poll get those that are not written yet.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use clock::Millis;
use discovery::{
    CrashEntry, CrashExchange, CrashRecords, Directory, Error, Lease, Leases, RelayClient, Result,
    SharedDirectory, SuspicionEntry,
};
use futures_channel::oneshot;
use rand::seq::IndexedRandom;
use slog::{Logger, debug, info, warn};
use upstreams::{CRASH_TTL, Shared, SharedCrash};

use self::convert::{CrashKey, key, to_entry, to_shared_crash, to_suspicion, to_suspicion_entry};
pub use self::schedule::{MissingCrash, WriteSchedule, crash_write_delay};

mod convert;
mod schedule;

/// Delay before a crash is written; most harmless requests are served by another
/// upstream meanwhile and need no record.
const SETTLE_DELAY: Millis = Millis(150);
/// Interval between checks for crashes that the store lacks.
const REVIEW_INTERVAL: Millis = Millis(1_000);
/// Peers that a daemon sends its crashes to; the others read them from the store.
const NOTIFIED_PEERS: usize = 16;
/// A lease is used for new crashes for so long.
const LEASE_REUSE: Millis = Millis(30_000);
/// Crashes that expire sooner are not written again when their lease has ended.
const MIN_REMAINING: Millis = Millis(60_000);

/// Shares the crashes that one gateway knows.
pub(crate) struct CrashSharing {
    shared: Rc<Shared>,
    directory: SharedDirectory,
    records: Rc<dyn CrashRecords>,
    leases: Rc<dyn Leases>,
    /// Address of this daemon for its peers.
    me: SocketAddr,
    /// Own crashes that were sent to peers, and whether as cleared.
    sent: RefCell<HashMap<CrashKey, bool>>,
    schedule: RefCell<WriteSchedule<CrashKey>>,
    lease: Cell<Option<(Lease, Millis)>>,
    wake: RefCell<Option<oneshot::Sender<()>>>,
    is_failing: Cell<bool>,
    log: Logger,
}

impl CrashSharing {
    pub(crate) fn new(
        shared: Rc<Shared>,
        directory: SharedDirectory,
        records: Rc<dyn CrashRecords>,
        leases: Rc<dyn Leases>,
        me: SocketAddr,
        log: &Logger,
    ) -> Rc<Self> {
        Rc::new(Self {
            shared,
            directory,
            records,
            leases,
            me,
            sent: RefCell::default(),
            schedule: RefCell::default(),
            lease: Cell::new(None),
            wake: RefCell::default(),
            is_failing: Cell::new(false),
            log: log.clone(),
        })
    }

    /// Merges the suspicions of a peer.
    pub(crate) fn merge_suspicions(&self, entries: Vec<SuspicionEntry>) {
        let now = Millis::now();
        for entry in entries {
            let suspicion = to_suspicion(entry);
            self.shared.crashes.merge_suspicion(suspicion, now);
        }
    }

    /// Merges the crashes that the store holds.
    pub(crate) fn merge_directory(&self, directory: &Directory) {
        self.merge(directory.crashes(), "store");
    }

    fn merge<'a>(&self, entries: impl Iterator<Item = &'a CrashEntry>, source: &str) {
        let (now, wall) = (Millis::now(), Millis::wall());
        for entry in entries {
            let crash = to_shared_crash(entry, now, wall);
            if self.shared.crashes.merge_shared(crash, now) {
                warn!(self.log, "request quarantined"; "fingerprint" => entry.fingerprint,
                    "upstream" => &entry.upstream, "source" => source);
            }
        }
    }

    /// Sends crashes to peers and writes them to the store until the task is
    /// dropped.
    pub(crate) async fn run(self: Rc<Self>) {
        loop {
            if self.wait_for_change().await {
                self.send_to_peers(Millis::now());
                compio::time::sleep(SETTLE_DELAY.into()).await;
            }
            let result = self.write_due(Millis::now()).await;
            self.log_result(&result);
        }
    }

    /// Wakes [`CrashSharing::run`].
    pub(crate) fn notify(&self) {
        // Dropping the sender wakes the receiver.
        self.wake.borrow_mut().take();
    }

    /// Waits for a change, at most for [`REVIEW_INTERVAL`] or until a crash is to be
    /// written; `true` if there is a change.
    async fn wait_for_change(&self) -> bool {
        let (sender, receiver) = oneshot::channel::<()>();
        *self.wake.borrow_mut() = Some(sender);
        let now = Millis::now();
        let next = self.schedule.borrow().next();
        let left = next.map_or(REVIEW_INTERVAL, |at| at.since(now));
        let waiting = compio::time::timeout(left.min(REVIEW_INTERVAL).into(), receiver);
        waiting.await.is_ok()
    }

    /// Sends the own crashes that are new, or newly cleared, and new suspicions to some
    /// peers.
    fn send_to_peers(&self, now: Millis) {
        let crashes = self.find_unsent(now);
        let suspicions = self.shared.crashes.take_suspicions().into_iter();
        let suspicions: Vec<SuspicionEntry> = suspicions.map(to_suspicion_entry).collect();
        if crashes.is_empty() && suspicions.is_empty() {
            return;
        }
        for peer in self.choose_peers() {
            let (crashes, suspicions) = (crashes.clone(), suspicions.clone());
            let log = self.log.clone();
            compio::runtime::spawn(async move {
                if let Err(e) = send(peer, &crashes, &suspicions).await {
                    debug!(log, "crashes not sent to a peer"; "peer" => %peer, "error" => %e);
                }
            })
            .detach();
        }
    }

    fn find_unsent(&self, now: Millis) -> Vec<CrashEntry> {
        let wall = Millis::wall();
        let own = self.shared.crashes.shared(now).into_iter();
        let own: Vec<SharedCrash> = own.filter(|s| s.is_own).collect();
        let mut sent = self.sent.borrow_mut();
        let is_unsent = |s: &&SharedCrash| match sent.get(&key(s)) {
            Some(was_cleared) => s.is_cleared && !was_cleared,
            None => !s.is_cleared,
        };
        let entries = own.iter().filter(is_unsent);
        let entries = entries.map(|s| to_entry(s, now, wall)).collect();
        *sent = own.iter().map(|s| (key(s), s.is_cleared)).collect();
        entries
    }

    fn choose_peers(&self) -> Vec<SocketAddr> {
        let directory = self.directory.borrow();
        let instances = directory.instances().map(|i| i.address);
        let peers: Vec<SocketAddr> = instances.filter(|a| *a != self.me).collect();
        let chosen = peers.sample(&mut rand::rng(), NOTIFIED_PEERS);
        chosen.copied().collect()
    }

    async fn write_due(&self, now: Millis) -> Result<()> {
        let due = self.find_due(now);
        if due.is_empty() {
            return Ok(());
        }
        let lease = self.current_lease(now).await?;
        let written = self.records.write_crashes(lease, &due).await;
        if matches!(written, Err(Error::LeaseEnded)) {
            self.lease.set(None);
        }
        written?;
        info!(self.log, "crashes written to the store"; "count" => due.len(),
            "fingerprints" => ?due.iter().map(|c| c.fingerprint).collect::<Vec<u64>>());
        Ok(())
    }

    /// Returns the crashes that the store lacks and that are to be written now. They
    /// are due again later, if they are missing still.
    fn find_due(&self, now: Millis) -> Vec<CrashEntry> {
        let mut crashes = self.find_missing(now);
        let missing_crash = |shared: &SharedCrash| MissingCrash {
            key: key(shared),
            is_own: shared.is_own && !shared.is_cleared,
        };
        let missing: Vec<MissingCrash<CrashKey>> = crashes.iter().map(missing_crash).collect();
        let daemons = self.directory.borrow().instances().count();
        let mut schedule = self.schedule.borrow_mut();
        let due = schedule.take_due(&missing, daemons, now, rand::random);
        crashes.retain(|crash| due.contains(&key(crash)));
        let wall = Millis::wall();
        crashes.iter().map(|c| to_entry(c, now, wall)).collect()
    }

    /// Returns the crashes that the store lacks, or that it lists though a success
    /// voided them.
    fn find_missing(&self, now: Millis) -> Vec<SharedCrash> {
        let mut all = self.shared.crashes.shared(now);
        if all.is_empty() {
            return all;
        }
        let directory = self.directory.borrow();
        let stored: HashMap<(u64, &str), bool> = directory
            .crashes()
            .map(|c| ((c.fingerprint, c.upstream.as_str()), c.cleared))
            .collect();
        let is_missing = |s: &SharedCrash| {
            let stored = stored.get(&(s.fingerprint, s.crash.upstream.as_str()));
            match (stored, s.is_cleared) {
                (None, false) => s.crash.expires_at.since(now) > MIN_REMAINING,
                (Some(is_cleared), true) => !is_cleared,
                (None, true) | (Some(_), false) => false,
            }
        };
        all.retain(is_missing);
        all
    }

    async fn current_lease(&self, now: Millis) -> Result<Lease> {
        match self.lease.get() {
            Some((lease, granted)) if now.since(granted) < LEASE_REUSE => Ok(lease),
            _ => {
                let lease = self.leases.grant(CRASH_TTL).await?;
                self.lease.set(Some((lease, now)));
                Ok(lease)
            }
        }
    }

    fn log_result(&self, result: &Result<()>) {
        match result {
            Ok(()) if self.is_failing.replace(false) => {
                info!(self.log, "crashes are written to the store again");
            }
            Err(e) if !self.is_failing.replace(true) => {
                warn!(self.log, "crashes not written to the store"; "error" => %e);
            }
            _ => {}
        }
    }
}

async fn send(
    peer: SocketAddr,
    crashes: &[CrashEntry],
    suspicions: &[SuspicionEntry],
) -> Result<()> {
    let client = RelayClient::new(peer);
    if !crashes.is_empty() {
        client.send_crashes(crashes).await?;
    }
    if !suspicions.is_empty() {
        client.send_suspicions(suspicions).await?;
    }
    Ok(())
}

impl CrashExchange for CrashSharing {
    fn unwritten_crashes(&self) -> Vec<CrashEntry> {
        let (now, wall) = (Millis::now(), Millis::wall());
        let missing = self.find_missing(now);
        missing.iter().map(|m| to_entry(m, now, wall)).collect()
    }

    fn merge_crashes(&self, crashes: &[CrashEntry]) {
        self.merge(crashes.iter(), "peer");
    }
}
