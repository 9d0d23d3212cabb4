//! The registration of this daemon under a lease.

use std::cell::Cell;
use std::rc::Rc;

use async_trait::async_trait;
use clock::Millis;
use rand::RngExt;
use slog::{Logger, debug, info, warn};

use crate::entry::InstanceEntry;
use crate::feed::{Error, Result};

/// The registration of a failed daemon expires after this time.
const LEASE_TTL: Millis = Millis(10_000);
const RENEWAL_INTERVAL: Millis = Millis(3_000);
const RETRY_DELAY: Millis = Millis(1_000);
const END_CHECK_INTERVAL: Millis = Millis(1_000);
/// All daemons lose their registrations at once if the store is restored from a backup;
/// they make them again spread over this time.
const RESTORE_SPREAD_MS: std::ops::Range<u64> = 0..2_000;

/// A lease and the epoch of the store in which it was granted. A restored store
/// can grant the same number again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// Number that the store gave it.
    pub number: u64,
    /// Epoch of the store.
    pub epoch: u64,
}

/// Leases and the registrations that they hold.
#[async_trait(?Send)]
pub trait Leases {
    /// Returns a new lease that expires unless it is renewed within `ttl`.
    async fn grant(&self, ttl: Millis) -> Result<Lease>;

    /// Whether the store was restored from a backup since the lease was granted. Such
    /// a lease has ended for its holder; calls with it are not sent.
    fn is_lost(&self, lease: Lease) -> bool;

    /// Registers an instance until the lease ends; fails with
    /// [`Error::LeaseEnded`] if it is gone.
    async fn register(&self, lease: Lease, instance: &InstanceEntry) -> Result<()>;

    /// Renews a lease; fails with [`Error::LeaseEnded`] if it is gone.
    async fn renew(&self, lease: Lease) -> Result<()>;

    /// Ends a lease, which removes the registration; fails with
    /// [`Error::LeaseEnded`] if it is gone.
    async fn end(&self, lease: Lease) -> Result<()>;
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// There is no lease.
    Unregistered,
    /// The registration was not written, or its answer was lost.
    Granted(Lease),
    Registered(Lease),
}

impl State {
    fn lease(self) -> Option<Lease> {
        match self {
            State::Unregistered => None,
            State::Granted(lease) | State::Registered(lease) => Some(lease),
        }
    }
}

/// The registration of this daemon.
pub struct Registration {
    leases: Rc<dyn Leases>,
    instance: InstanceEntry,
    state: Cell<State>,
    is_ended: Cell<bool>,
    log: Logger,
}

impl Registration {
    /// Returns a registration that is not written yet.
    pub fn new(leases: Rc<dyn Leases>, instance: InstanceEntry, log: &Logger) -> Rc<Self> {
        Rc::new(Self {
            leases,
            instance,
            state: Cell::new(State::Unregistered),
            is_ended: Cell::new(false),
            log: log.clone(),
        })
    }

    /// Registers and renews until [`Registration::end`] is called; then ends the
    /// lease if that call has left one.
    pub async fn run(self: Rc<Self>) {
        while !self.is_ended.get() {
            if self.is_lost() {
                self.state.set(State::Unregistered);
                warn!(
                    self.log,
                    "registration lost with a restored store, registering again"
                );
                let spread = Millis(rand::rng().random_range(RESTORE_SPREAD_MS));
                self.wait(spread).await;
                continue;
            }
            let delay = match self.register_or_renew().await {
                _ if self.is_ended.get() => break,
                Ok(()) => RENEWAL_INTERVAL,
                Err(_) => RETRY_DELAY,
            };
            self.wait(delay).await;
        }
        self.end_lease().await;
    }

    /// Whether the store was restored from a backup without the registration.
    fn is_lost(&self) -> bool {
        let lease = self.state.get().lease();
        lease.is_some_and(|lease| self.leases.is_lost(lease))
    }

    /// Waits; returns within [`END_CHECK_INTERVAL`] once the registration is ended or
    /// lost.
    async fn wait(&self, delay: Millis) {
        let end = Millis::now() + delay;
        while !self.is_ended.get() && !self.is_lost() && Millis::now() < end {
            let left = end.since(Millis::now());
            compio::time::sleep(left.min(END_CHECK_INTERVAL).into()).await;
        }
    }

    async fn register_or_renew(&self) -> Result<()> {
        let result = match self.state.get() {
            State::Unregistered => self.register_anew().await,
            State::Granted(lease) => self.register_again(lease).await,
            State::Registered(lease) => self.leases.renew(lease).await,
        };
        match &result {
            Err(Error::LeaseEnded) => {
                let lease = self.state.replace(State::Unregistered).lease();
                if !self.is_ended.get() {
                    warn!(self.log, "registration expired, registering again";
                        "lease" => lease.map(|l| l.number), "epoch" => lease.map(|l| l.epoch));
                }
            }
            Err(e) => debug!(self.log, "registration not made or renewed"; "error" => %e),
            Ok(()) => {}
        }
        result
    }

    async fn register_anew(&self) -> Result<()> {
        let lease = self.leases.grant(LEASE_TTL).await?;
        self.state.set(State::Granted(lease));
        self.register(lease).await
    }

    /// Repeats a registration without an answer. It keeps its lease, so that a
    /// late execution of the first call changes nothing.
    async fn register_again(&self, lease: Lease) -> Result<()> {
        self.leases.renew(lease).await?;
        self.register(lease).await
    }

    async fn register(&self, lease: Lease) -> Result<()> {
        if self.is_ended.get() {
            return Ok(());
        }
        self.leases.register(lease, &self.instance).await?;
        if !self.is_ended.get() {
            self.state.set(State::Registered(lease));
            info!(self.log, "registered"; "lease" => lease.number, "epoch" => lease.epoch,
                "ttl_ms" => LEASE_TTL.0);
        }
        Ok(())
    }

    /// Removes the registration; from now on it is not made again. Repeats failed
    /// calls; [`Registration::run`] continues if this call is dropped.
    pub async fn end(&self) {
        self.is_ended.set(true);
        self.end_lease().await;
    }

    async fn end_lease(&self) {
        while let Some(lease) = self.state.get().lease() {
            match self.leases.end(lease).await {
                Ok(()) | Err(Error::LeaseEnded) => self.state.set(State::Unregistered),
                Err(e) => {
                    info!(self.log, "registration not removed, it expires with its lease";
                        "lease" => lease.number, "error" => %e);
                    compio::time::sleep(RETRY_DELAY.into()).await;
                }
            }
        }
    }
}
