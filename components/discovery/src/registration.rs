//! The registration of this daemon under a lease.

use std::cell::Cell;
use std::rc::Rc;

use async_trait::async_trait;
use clock::Millis;
use slog::{Logger, debug, info, warn};

use crate::entry::InstanceEntry;
use crate::feed::{Error, Result};

/// The registration of a failed daemon expires after this time.
const LEASE_TTL: Millis = Millis(10_000);
const RENEWAL_INTERVAL: Millis = Millis(3_000);
const RETRY_DELAY: Millis = Millis(1_000);
const END_CHECK_INTERVAL: Millis = Millis(1_000);

/// Leases and the registrations that they hold.
#[async_trait(?Send)]
pub trait Leases {
    /// Returns a new lease that expires unless it is renewed within `ttl`.
    async fn grant(&self, ttl: Millis) -> Result<u64>;

    /// Registers an instance until the lease ends; fails with
    /// [`Error::LeaseEnded`] if it is gone.
    async fn register(&self, lease: u64, instance: &InstanceEntry) -> Result<()>;

    /// Renews a lease; fails with [`Error::LeaseEnded`] if it is gone.
    async fn renew(&self, lease: u64) -> Result<()>;

    /// Ends a lease, which removes the registration; fails with
    /// [`Error::LeaseEnded`] if it is gone.
    async fn end(&self, lease: u64) -> Result<()>;
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// There is no lease.
    Unregistered,
    /// The registration was not written, or its answer was lost.
    Granted(u64),
    Registered(u64),
}

impl State {
    fn lease(self) -> Option<u64> {
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
            let delay = match self.register_or_renew().await {
                _ if self.is_ended.get() => break,
                Ok(()) => RENEWAL_INTERVAL,
                Err(_) => RETRY_DELAY,
            };
            self.wait(delay).await;
        }
        self.end_lease().await;
    }

    /// Waits; returns within [`END_CHECK_INTERVAL`] once the registration is ended.
    async fn wait(&self, delay: Millis) {
        let end = Millis::now() + delay;
        while !self.is_ended.get() && Millis::now() < end {
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
                    warn!(self.log, "registration expired, registering again"; "lease" => lease);
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
    async fn register_again(&self, lease: u64) -> Result<()> {
        self.leases.renew(lease).await?;
        self.register(lease).await
    }

    async fn register(&self, lease: u64) -> Result<()> {
        if self.is_ended.get() {
            return Ok(());
        }
        self.leases.register(lease, &self.instance).await?;
        if !self.is_ended.get() {
            self.state.set(State::Registered(lease));
            info!(self.log, "registered"; "lease" => lease, "ttl_ms" => LEASE_TTL.0);
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
                        "lease" => lease, "error" => %e);
                    compio::time::sleep(RETRY_DELAY.into()).await;
                }
            }
        }
    }
}
