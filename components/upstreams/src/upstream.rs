//! One upstream: its slots and connections.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use clock::Millis;
use futures_channel::oneshot;
use slotmap::new_key_type;
use transport::Connection;

use crate::endpoint::Endpoint;
use crate::health::Health;
use crate::shared::PoolConfig;
use crate::upstream_latency::UpstreamLatency;

const TRIAL_INTERVAL: Millis = Millis(250);
/// An upstream that crashed refuses connections this soon.
const CRASH_CONFIRMATION: Millis = Millis(500);
/// A longer wait, in milliseconds and in mean latencies, is preferred to
/// another failure domain.
const DETOUR_MS: f64 = 3.0;
const DETOUR_SHARE: f64 = 0.6;
/// Share of an idle timeout for which a connection is used, as a fraction.
const IDLE_SHARE: (u64, u64) = (3, 4);
/// A request that runs longer than this many mean latencies is stuck.
const STUCK_FACTOR: f64 = 3.0;
/// What a failure costs, in mean latencies.
const FAILURE_COST: f64 = 8.0;

new_key_type! {
    /// Key of an upstream in its pool.
    pub struct UpstreamKey;
}

/// An upstream with what this daemon observed of it.
pub struct Upstream {
    /// `service/upstream`, as in the marks that daemons exchange.
    pub id: String,
    /// Name in the declaration.
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
    /// Whether another process was found at its address.
    pub(crate) is_replaced: Cell<bool>,
    pub(crate) open: Rc<Cell<usize>>,
    idle: RefCell<Vec<Lease>>,
    pub(crate) health: RefCell<Health>,
    pub(crate) pace: RefCell<UpstreamLatency>,
    /// Whether it is in the preferred failure domain.
    is_near: bool,
    /// What ran when connections were lost, until it is known whether the
    /// upstream crashed.
    lost: RefCell<Option<(Millis, Vec<Running>)>>,
    /// What runs here now.
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
pub(crate) struct Lease {
    pub(crate) conn: Connection,
    /// When the upstream may close it, with a margin.
    usable_until: Millis,
    open: Rc<Cell<usize>>,
}

impl Drop for Lease {
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
        let is_near = config
            .preferred_domain
            .as_ref()
            .is_none_or(|d| *d == endpoint.domain);
        Self {
            id: format!("{service}/{}", endpoint.id),
            name: endpoint.id.clone(),
            address: endpoint.address,
            domain: endpoint.domain.clone(),
            started_at: endpoint.started_at,
            slots: Cell::new(1),
            connections: Cell::new(1),
            is_drained: Cell::new(false),
            is_replaced: Cell::new(false),
            open: Rc::default(),
            idle: RefCell::default(),
            health: RefCell::new(Health::new(config.failures_to_eject)),
            is_near,
            lost: RefCell::default(),
            pace: RefCell::default(),
            running: RefCell::default(),
            last_used: Cell::new(Millis::ZERO),
            poll_request: RefCell::default(),
        }
    }

    /// Whether an endpoint names this very process.
    pub(crate) fn is_same_process(&self, endpoint: &Endpoint) -> bool {
        endpoint.address == self.address
            && endpoint.domain == self.domain
            && endpoint.started_at == self.started_at
    }

    /// Requests that may run here at a time now.
    pub(crate) fn limit(&self) -> usize {
        let health = self.health.borrow();
        match health.is_failing() {
            true => 1,
            false => {
                let carried = self.slots.get().min(self.connections.get());
                carried.min(health.ramp.max(1))
            }
        }
    }

    /// Whether it is time to try again whether this upstream works.
    pub(crate) fn is_due_for_trial(&self, now: Millis) -> bool {
        now.since(self.last_used.get()) >= TRIAL_INTERVAL
    }

    /// Slots in use.
    pub(crate) fn busy(&self) -> usize {
        self.running.borrow().len()
    }

    pub(crate) fn has_free_slot(&self) -> bool {
        self.busy() < self.limit()
    }

    /// The time that a new request can expect here, in milliseconds: longer
    /// with its load, with a request that is stuck here, with the share of
    /// requests that fail, and in another failure domain. `usual_ms` is what
    /// is usual in the service.
    pub(crate) fn expected_ms(&self, usual_ms: f64, now: Millis) -> f64 {
        let health = self.health.borrow();
        let busy = self.busy() as f64 / self.slots.get() as f64;
        let mean = self.pace.borrow().mean_ms(usual_ms, now);
        let queued = mean * (1.0 + health.load(now)) * (1.0 + busy);
        let stuck = self.oldest_ms(now) - mean * STUCK_FACTOR;
        let failing = mean * FAILURE_COST * health.failing_share(now);
        let detour = match self.is_near {
            true => 0.0,
            false => DETOUR_MS + mean * DETOUR_SHARE,
        };
        queued + stuck.max(0.0) + failing + detour
    }

    /// How long the oldest request runs here, in milliseconds.
    fn oldest_ms(&self, now: Millis) -> f64 {
        let running = self.running.borrow();
        let oldest = running.iter().map(|r| now.since(r.since).0).max();
        oldest.unwrap_or(0) as f64
    }

    /// Remembers what ran when a connection was lost.
    pub(crate) fn note_lost(&self, now: Millis) {
        let running = self.running.borrow().clone();
        *self.lost.borrow_mut() = Some((now, running));
    }

    /// Takes what ran when a connection was lost a moment ago.
    pub(crate) fn take_lost(&self, now: Millis) -> Vec<Running> {
        match self.lost.borrow_mut().take() {
            Some((at, running)) if now.since(at) < CRASH_CONFIRMATION => running,
            _ => Vec::new(),
        }
    }

    /// Takes an idle connection or opens one.
    pub(crate) async fn lease(&self) -> Result<Lease, LeaseError> {
        if let Some(lease) = self.take_idle() {
            return Ok(lease);
        }
        self.open_lease().await
    }

    fn take_idle(&self) -> Option<Lease> {
        let mut idle = self.idle.borrow_mut();
        let now = Millis::now();
        idle.retain(|lease| lease.conn.is_open() && now < lease.usable_until);
        idle.pop()
    }

    async fn open_lease(&self) -> Result<Lease, LeaseError> {
        if self.open.get() >= self.connections.get() {
            return Err(LeaseError::Limit);
        }
        let opening = Opening::new(&self.open);
        let conn = Connection::open(self.address)
            .await
            .map_err(|_| LeaseError::Refused)?;
        // The count passes from the opening to the lease.
        self.open.set(self.open.get() + 1);
        drop(opening);
        Ok(Lease {
            conn,
            usable_until: Millis(u64::MAX),
            open: self.open.clone(),
        })
    }

    /// Keeps a connection whose last request was answered whole.
    pub(crate) fn keep(&self, mut lease: Lease, idle_timeout: Option<Millis>) {
        let usable = idle_timeout.map(|t| Millis(t.0 / IDLE_SHARE.1 * IDLE_SHARE.0));
        lease.usable_until = usable.map_or(Millis(u64::MAX), |u| Millis::now() + u);
        let mut idle = self.idle.borrow_mut();
        if lease.conn.is_open() && idle.len() < self.slots.get() {
            idle.push(lease);
        }
    }

    /// Asks for a poll of health now.
    pub(crate) fn request_poll(&self) {
        if let Some(request) = self.poll_request.borrow_mut().take() {
            let _ = request.send(());
        }
    }

    /// Completes when a poll is asked for.
    pub(crate) fn poll_requested(&self) -> oneshot::Receiver<()> {
        let (sender, receiver) = oneshot::channel();
        *self.poll_request.borrow_mut() = Some(sender);
        receiver
    }

    /// Opens connections ahead of need, one for each slot.
    pub(crate) async fn warm_up(&self) {
        while self.open.get() < self.slots.get() {
            match self.open_lease().await {
                Ok(lease) => self.keep(lease, None),
                Err(_) => return,
            }
        }
    }

    /// Closes the connections that no request uses.
    pub(crate) fn cool_down(&self) {
        self.idle.borrow_mut().clear();
    }
}

/// Why there is no connection for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LeaseError {
    /// All connections that this daemon may open are open.
    Limit,
    /// The upstream does not accept the connection.
    Refused,
}
