//! The registration of this daemon under a lease.

use std::rc::Rc;

use async_trait::async_trait;
use clock::Millis;
use slog::{Logger, info, warn};

use crate::entry::InstanceEntry;
use crate::feed::{Error, Result};

/// The registration of a failed daemon expires after this time.
const LEASE_TTL: Millis = Millis(10_000);
const RENEWAL_INTERVAL: Millis = Millis(3_000);
const RETRY_DELAY: Millis = Millis(1_000);

/// Registrations that last as long as their lease is renewed.
#[async_trait(?Send)]
pub trait Leases {
    /// Registers an instance under a new lease and returns the lease.
    async fn register(&self, instance: &InstanceEntry, ttl: Millis) -> Result<u64>;

    /// Renews a lease; fails with [`Error::LeaseEnded`] if it is gone.
    async fn renew(&self, lease: u64) -> Result<()>;

    /// Ends a lease, which removes the registration.
    async fn end(&self, lease: u64) -> Result<()>;
}

/// The registration of this daemon.
pub struct Registration {
    leases: Rc<dyn Leases>,
    instance: InstanceEntry,
    lease: std::cell::Cell<Option<u64>>,
    log: Logger,
}

impl Registration {
    /// Returns a registration that is not written yet.
    pub fn new(leases: Rc<dyn Leases>, instance: InstanceEntry, log: &Logger) -> Rc<Self> {
        Rc::new(Self {
            leases,
            instance,
            lease: std::cell::Cell::new(None),
            log: log.clone(),
        })
    }

    /// Registers and renews until the task is dropped.
    pub async fn run(self: Rc<Self>) {
        loop {
            let pause = match self.register_or_renew().await {
                Ok(()) => RENEWAL_INTERVAL,
                Err(_) => RETRY_DELAY,
            };
            compio::time::sleep(pause.into()).await;
        }
    }

    async fn register_or_renew(&self) -> Result<()> {
        let result = match self.lease.get() {
            Some(lease) => self.leases.renew(lease).await,
            None => self.register().await,
        };
        match &result {
            Err(Error::LeaseEnded) => {
                warn!(self.log, "registration expired, registering again"; "lease" => self.lease.get());
                self.lease.set(None);
            }
            Err(e) => slog::debug!(self.log, "registration not made or renewed"; "error" => %e),
            Ok(()) => {}
        }
        result
    }

    async fn register(&self) -> Result<()> {
        let lease = self.leases.register(&self.instance, LEASE_TTL).await?;
        self.lease.set(Some(lease));
        info!(self.log, "registered"; "lease" => lease, "ttl_ms" => LEASE_TTL.0);
        Ok(())
    }

    /// Removes the registration.
    pub async fn end(&self) {
        let Some(lease) = self.lease.take() else {
            return;
        };
        if let Err(e) = self.leases.end(lease).await {
            info!(self.log, "registration not removed, it expires with its lease"; "error" => %e);
        }
    }
}
