//! State of an upstream: slots, service times and recorded executions.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;

use futures_channel::oneshot;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::control::Behaviour;

const EXECUTION_LIMIT: usize = 200_000;

/// An execution of a request.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Execution {
    pub(crate) request_id: String,
    pub(crate) shard: String,
    pub(crate) snapshot: Option<String>,
    pub(crate) partitioning: String,
    pub(crate) key: Option<String>,
    pub(crate) body: String,
    pub(crate) at_ms: u64,
}

/// Counters of one upstream.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct Counts {
    pub(crate) searches: u64,
    pub(crate) bookings: u64,
    pub(crate) shed: u64,
    pub(crate) cancelled: u64,
    pub(crate) not_held: u64,
    pub(crate) open: usize,
    pub(crate) most_open: usize,
    pub(crate) most_busy: usize,
}

/// State of one upstream.
pub(crate) struct Upstream {
    pub(crate) name: String,
    pub(crate) boot: String,
    pub(crate) behaviour: RefCell<Behaviour>,
    pub(crate) counts: RefCell<Counts>,
    pub(crate) executions: RefCell<Vec<Execution>>,
    /// Request id, shard and rows of the last answer.
    pub(crate) previous: RefCell<Option<(String, String, String)>>,
    busy: Cell<usize>,
    waiting: RefCell<VecDeque<oneshot::Sender<()>>>,
    rng: RefCell<StdRng>,
}

/// A slot, released when it is dropped.
pub(crate) struct Slot {
    upstream: Rc<Upstream>,
    is_done: Cell<bool>,
}

impl Slot {
    /// Marks the request as finished, so that it does not count as cancelled.
    pub(crate) fn finish(&self) {
        self.is_done.set(true);
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if !self.is_done.get() {
            self.upstream.counts.borrow_mut().cancelled += 1;
        }
        self.upstream.release();
    }
}

impl Upstream {
    pub(crate) fn new(name: &str, behaviour: Behaviour, seed: u64) -> Rc<Self> {
        Rc::new(Self {
            name: name.to_owned(),
            boot: uuid::Uuid::new_v4().to_string(),
            behaviour: RefCell::new(behaviour),
            counts: RefCell::default(),
            executions: RefCell::default(),
            previous: RefCell::default(),
            busy: Cell::new(0),
            waiting: RefCell::default(),
            // The name is part of the seed, so that replicas do not draw the same
            // stragglers at the same time.
            rng: RefCell::new(StdRng::seed_from_u64(xxh3_64_with_seed(
                name.as_bytes(),
                seed,
            ))),
        })
    }

    /// Acquires a slot, waiting in the queue; returns `None` if the queue is full.
    pub(crate) async fn acquire(self: &Rc<Self>) -> Option<Slot> {
        let (slots, queue) = {
            let behaviour = self.behaviour.borrow();
            (behaviour.slots, behaviour.queue)
        };
        if self.busy.get() < slots {
            self.busy.set(self.busy.get() + 1);
            return Some(self.slot());
        }
        self.waiting.borrow_mut().retain(|s| !s.is_canceled());
        if self.waiting.borrow().len() >= queue {
            self.counts.borrow_mut().shed += 1;
            return None;
        }
        let (sender, receiver) = oneshot::channel();
        self.waiting.borrow_mut().push_back(sender);
        receiver.await.ok()?;
        Some(self.slot())
    }

    fn slot(self: &Rc<Self>) -> Slot {
        let mut counts = self.counts.borrow_mut();
        counts.most_busy = counts.most_busy.max(self.busy.get());
        Slot {
            upstream: self.clone(),
            is_done: Cell::new(false),
        }
    }

    /// Passes the slot to the next waiting request, or frees it.
    fn release(&self) {
        while let Some(next) = self.waiting.borrow_mut().pop_front() {
            if next.send(()).is_ok() {
                return;
            }
        }
        self.busy.set(self.busy.get() - 1);
    }

    pub(crate) fn load(&self) -> f64 {
        self.busy.get() as f64 / self.behaviour.borrow().slots.max(1) as f64
    }

    /// Draws a service time, in milliseconds.
    pub(crate) fn draw_service_ms(&self) -> f64 {
        let behaviour = self.behaviour.borrow();
        let mut rng = self.rng.borrow_mut();
        let spread = 0.5 + rng.random::<f64>();
        let is_straggler = rng.random::<f64>() < behaviour.straggler_share;
        let factor = if is_straggler {
            behaviour.straggler_factor
        } else {
            1.0
        };
        behaviour.service_ms * spread * factor * behaviour.slow_factor
    }

    pub(crate) fn record(&self, execution: Execution) {
        let mut counts = self.counts.borrow_mut();
        match execution.key {
            Some(_) => counts.bookings += 1,
            None => counts.searches += 1,
        }
        let mut executions = self.executions.borrow_mut();
        if self.behaviour.borrow().record && executions.len() < EXECUTION_LIMIT {
            executions.push(execution);
        }
    }
}
