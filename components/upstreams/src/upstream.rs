//! One upstream: its slots, connections and measured state.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use clock::Millis;
use futures_channel::oneshot;
use slotmap::{SlotMap, new_key_type};
use transport::Connection;

use crate::crash_check::CrashCheck;
use crate::endpoint::Endpoint;
use crate::health::Health;
use crate::sent::{SentKey, SentRequest};
use crate::shared::PoolConfig;
use crate::silence::Silence;
use crate::unanswered::UnansweredRequests;
use crate::upstream_latency::UpstreamLatency;

const TRIAL_INTERVAL: Millis = Millis(250);
/// Cost of an upstream in another failure domain, in milliseconds and as a share
/// of its mean latency; a wait up to this cost in the preferred domain is chosen
/// instead.
const CROSS_DOMAIN_MS: f64 = 3.0;
const CROSS_DOMAIN_SHARE: f64 = 0.6;
/// Share of an idle timeout during which a connection is reused, as numerator and
/// denominator.
const IDLE_REUSE_SHARE: (u64, u64) = (3, 4);
/// A request that runs longer than this many mean latencies counts as stuck.
const STUCK_FACTOR: f64 = 3.0;
/// Cost of a failure, in mean latencies.
const FAILURE_COST: f64 = 8.0;

new_key_type! {
    /// Key of an upstream in its pool.
    pub struct UpstreamKey;
}

/// An upstream with the state that this daemon measured.
pub struct Upstream {
    /// `service/upstream`, as in the messages between daemons.
    pub id: String,
    /// Identifier of its process, `id` and its start time: a restarted upstream may
    /// have the same `id`.
    pub(crate) process: String,
    /// Identifier within its service.
    pub name: String,
    /// Address of its HTTP interface.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: String,
    /// Wall-clock time of its start, if known.
    pub(crate) started_at: Option<Millis>,
    pub(crate) slots: Cell<usize>,
    pub(crate) connections: Cell<usize>,
    pub(crate) is_drained: Cell<bool>,
    pub(crate) is_evacuated: Cell<bool>,
    /// Whether another process was found at its address.
    pub(crate) is_replaced: Cell<bool>,
    /// Whether its pool has dropped it.
    pub(crate) is_removed: Cell<bool>,
    pub(crate) open: Rc<Cell<usize>>,
    idle: RefCell<Vec<PooledConnection>>,
    pub(crate) health: RefCell<Health>,
    pub(crate) latency: RefCell<UpstreamLatency>,
    /// Whether it is in the preferred failure domain.
    is_preferred: bool,
    /// Requests that were sent to it and are not answered yet.
    pub(crate) sent: RefCell<SlotMap<SentKey, SentRequest>>,
    /// Requests that were sent to it and will not be answered.
    pub(crate) unanswered: UnansweredRequests,
    /// Whether it is watched for its end, as abandoned requests may run there.
    pub(crate) is_watched: Cell<bool>,
    pub(crate) silence: Silence,
    /// Set while it is checked whether it ended.
    pub(crate) check: RefCell<Option<CrashCheck>>,
    /// Requests that run here now.
    pub(crate) running: RefCell<Vec<Running>>,
    pub(crate) last_used: Cell<Millis>,
    poll_request: RefCell<Option<oneshot::Sender<()>>>,
}

/// A request that holds a slot of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Running {
    pub(crate) fingerprint: u64,
    pub(crate) since: Millis,
    /// Whether it was suspected of crashing upstreams when it started.
    pub(crate) is_suspect: bool,
}

/// A connection that counts towards its upstream's limit while it is open.
pub(crate) struct PooledConnection {
    pub(crate) conn: Connection,
    /// Time until which it is reused; the upstream closes it later.
    usable_until: Millis,
    open: Rc<Cell<usize>>,
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        self.open.set(self.open.get() - 1);
    }
}

/// Counts a connection that is being opened.
struct Opening(Rc<Cell<usize>>);

impl Opening {
    fn new(open: &Rc<Cell<usize>>) -> Self {
        open.set(open.get() + 1);
        Self(open.clone())
    }
}

impl Drop for Opening {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Upstream {
    pub(crate) fn new(service: &str, endpoint: &Endpoint, config: &PoolConfig) -> Self {
        let is_preferred = config
            .preferred_domain
            .as_ref()
            .is_none_or(|d| *d == endpoint.domain);
        let id = format!("{service}/{}", endpoint.id);
        let process = match endpoint.started_at {
            Some(start) => format!("{id}@{}", start.0),
            None => id.clone(),
        };
        Self {
            id,
            process,
            name: endpoint.id.clone(),
            address: endpoint.address,
            domain: endpoint.domain.clone(),
            started_at: endpoint.started_at,
            slots: Cell::new(1),
            connections: Cell::new(1),
            is_drained: Cell::new(false),
            is_evacuated: Cell::new(false),
            is_replaced: Cell::new(false),
            is_removed: Cell::new(false),
            open: Rc::default(),
            idle: RefCell::default(),
            health: RefCell::new(Health::new(config.failures_to_eject)),
            is_preferred,
            sent: RefCell::default(),
            unanswered: UnansweredRequests::default(),
            is_watched: Cell::default(),
            silence: Silence::default(),
            check: RefCell::default(),
            latency: RefCell::default(),
            running: RefCell::default(),
            last_used: Cell::new(Millis::ZERO),
            poll_request: RefCell::default(),
        }
    }

    /// Whether an endpoint refers to the same process.
    pub(crate) fn is_same_process(&self, endpoint: &Endpoint) -> bool {
        endpoint.address == self.address
            && endpoint.domain == self.domain
            && endpoint.started_at == self.started_at
    }

    /// Returns how many requests may run here at the same time now.
    pub(crate) fn limit(&self) -> usize {
        let health = self.health.borrow();
        match health.is_failing() {
            true => 1,
            false => {
                let capacity = self.slots.get().min(self.connections.get());
                capacity.min(health.ramp.max(1))
            }
        }
    }

    /// Whether the last request started long enough ago for a trial request.
    pub(crate) fn is_due_for_trial(&self, now: Millis) -> bool {
        now.since(self.last_used.get()) >= TRIAL_INTERVAL
    }

    /// Returns the number of slots in use.
    pub(crate) fn busy(&self) -> usize {
        self.running.borrow().len()
    }

    pub(crate) fn has_free_slot(&self) -> bool {
        self.busy() < self.limit()
    }

    /// Returns the expected time of a new request here, in milliseconds: longer
    /// with the load, with a request that is stuck here, with the share of
    /// requests that fail, and in another failure domain. `pool_mean_ms` is the mean
    /// latency of the service.
    pub(crate) fn expected_ms(&self, pool_mean_ms: f64, now: Millis) -> f64 {
        let health = self.health.borrow();
        let busy = self.busy() as f64 / self.slots.get() as f64;
        let mean = self.latency.borrow().mean_ms(pool_mean_ms, now);
        let queued = mean * (1.0 + health.load(now)) * (1.0 + busy);
        let stuck = self.oldest_ms(now) - mean * STUCK_FACTOR;
        let failing = mean * FAILURE_COST * health.failing_share(now);
        let cross_domain = match self.is_preferred {
            true => 0.0,
            false => CROSS_DOMAIN_MS + mean * CROSS_DOMAIN_SHARE,
        };
        queued + stuck.max(0.0) + failing + cross_domain
    }

    /// Returns how long the oldest request has run here, in milliseconds.
    fn oldest_ms(&self, now: Millis) -> f64 {
        let oldest = self.oldest_since();
        oldest.map_or(0.0, |since| now.since(since).0 as f64)
    }

    /// Returns since when the oldest request holds a slot here.
    pub(crate) fn oldest_since(&self) -> Option<Millis> {
        let running = self.running.borrow();
        running.iter().map(|r| r.since).min()
    }

    /// Takes an idle connection or opens one.
    pub(crate) async fn check_out(&self) -> Result<PooledConnection, CheckoutError> {
        if let Some(pooled) = self.take_idle() {
            return Ok(pooled);
        }
        self.open_connection().await
    }

    /// Opens a connection within a time: an upstream that accepts it has not ended before.
    pub(crate) async fn check_out_new(
        &self,
        within: Millis,
    ) -> Result<PooledConnection, CheckoutError> {
        // Makes room for it.
        drop(self.take_idle());
        let opening = compio::time::timeout(within.into(), self.open_connection());
        opening.await.unwrap_or(Err(CheckoutError::Refused))
    }

    fn take_idle(&self) -> Option<PooledConnection> {
        let mut idle = self.idle.borrow_mut();
        let now = Millis::now();
        idle.retain(|pooled| pooled.conn.is_open() && now < pooled.usable_until);
        idle.pop()
    }

    async fn open_connection(&self) -> Result<PooledConnection, CheckoutError> {
        match self.open.get() < self.connections.get() {
            true => self.connect().await,
            false => Err(CheckoutError::Limit),
        }
    }

    /// Opens a connection, whatever the limit.
    pub(crate) async fn connect(&self) -> Result<PooledConnection, CheckoutError> {
        let opening = Opening::new(&self.open);
        let conn = Connection::open(self.address)
            .await
            .map_err(|e| match e.is_refused() {
                true => CheckoutError::Refused,
                false => CheckoutError::Failed,
            })?;
        // The pooled connection counts from here on, instead of `opening`.
        self.open.set(self.open.get() + 1);
        drop(opening);
        Ok(PooledConnection {
            conn,
            usable_until: Millis(u64::MAX),
            open: self.open.clone(),
        })
    }

    /// Keeps a connection for reuse after its last request was answered
    /// completely.
    pub(crate) fn keep(&self, mut pooled: PooledConnection, idle_timeout: Option<Millis>) {
        let usable = idle_timeout.map(|t| Millis(t.0 / IDLE_REUSE_SHARE.1 * IDLE_REUSE_SHARE.0));
        pooled.usable_until = usable.map_or(Millis(u64::MAX), |u| Millis::now() + u);
        let mut idle = self.idle.borrow_mut();
        if pooled.conn.is_open() && idle.len() < self.slots.get() {
            idle.push(pooled);
        }
    }

    /// Whether an idle connection is open.
    pub(crate) fn has_open_idle(&self) -> bool {
        self.idle
            .borrow()
            .iter()
            .any(|pooled| pooled.conn.is_open())
    }

    /// Requests a health poll now.
    pub(crate) fn request_poll(&self) {
        if let Some(request) = self.poll_request.borrow_mut().take() {
            let _ = request.send(());
        }
    }

    /// Returns a receiver that completes when a poll is requested.
    pub(crate) fn poll_requested(&self) -> oneshot::Receiver<()> {
        let (sender, receiver) = oneshot::channel();
        *self.poll_request.borrow_mut() = Some(sender);
        receiver
    }

    /// Opens connections in advance, one for each slot.
    pub(crate) async fn warm_up(&self) {
        while self.open.get() < self.slots.get() {
            match self.open_connection().await {
                Ok(pooled) => self.keep(pooled, None),
                Err(_) => return,
            }
        }
    }

    /// Closes the connections that no request uses.
    pub(crate) fn close_idle(&self) {
        self.idle.borrow_mut().clear();
    }
}

/// Why no connection is available for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CheckoutError {
    /// All connections that this daemon may open are open.
    Limit,
    /// The upstream refused the connection, or did not accept it in time.
    Refused,
    /// The connection could not be opened for another reason, which can be this daemon's.
    Failed,
}
