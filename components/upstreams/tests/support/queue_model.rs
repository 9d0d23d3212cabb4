//! A service with a fair queue, simulated in steps of a millisecond.

use std::collections::HashMap;
use std::rc::Rc;

use clock::Millis;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use upstreams::{FairQueue, FlowKey, SlotSupply};

pub const SLOTS: usize = 18;
pub const MEAN_MS: f64 = 20.0;
/// Requests a millisecond that the slots can serve.
pub const ROOM: f64 = SLOTS as f64 / MEAN_MS;
pub const TIMEOUT: Millis = Millis(300);

/// A workspace and how many requests it sends, as a part of the room.
pub struct Source {
    pub flow: FlowKey,
    pub demand: f64,
}

/// What became of the requests of one workspace.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    pub sent: usize,
    pub served: usize,
    /// Refused on arrival.
    pub refused: usize,
    pub displaced: usize,
    /// Dropped from the queue because they could not be served in time any more.
    pub expired: usize,
}

impl Tally {
    pub fn served_share(&self) -> f64 {
        self.served as f64 / self.sent as f64
    }
}

pub fn flow(rank: u8, workspace: &str) -> FlowKey {
    FlowKey {
        rank,
        workspace: Some(Rc::from(workspace)),
    }
}

struct Waiting {
    source: usize,
    deadline: Millis,
}

struct Model {
    queue: FairQueue<Waiting>,
    queue_limit: usize,
    /// Times at which the running requests end.
    running: Vec<u64>,
    tallies: Vec<Tally>,
    rng: StdRng,
}

impl Model {
    fn start(&mut self, source: usize, now: Millis) {
        let held_ms = -MEAN_MS * (1.0 - self.rng.random::<f64>()).ln();
        self.running.push(now.0 + (held_ms.round() as u64).max(1));
        self.tallies[source].served += 1;
    }

    fn arrive(&mut self, source: usize, flow: &FlowKey, now: Millis) {
        self.tallies[source].sent += 1;
        let deadline = now + TIMEOUT;
        let supply = SlotSupply {
            slots: SLOTS,
            busy: self.running.len(),
            mean_ms: MEAN_MS,
        };
        let wait = supply.wait(&self.queue.outlook(flow, deadline));
        if supply.is_late(wait, TIMEOUT) {
            self.tallies[source].refused += 1;
            return;
        }
        if self.running.len() < SLOTS {
            self.queue.charge(flow);
            return self.start(source, now);
        }
        if self.queue.len() >= self.queue_limit {
            match self.queue.displace_for(flow) {
                Some(displaced) => self.tallies[displaced.source].displaced += 1,
                None => {
                    self.tallies[source].refused += 1;
                    return;
                }
            }
        }
        let waiting = Waiting { source, deadline };
        self.queue.push(flow.clone(), deadline, waiting, now);
    }

    fn grant(&mut self, now: Millis) {
        self.running.retain(|end| *end > now.0);
        while self.running.len() < SLOTS {
            let first = self.queue.in_order().first().map(|(ticket, w)| {
                let is_viable = now + Millis(MEAN_MS as u64) <= w.deadline;
                (*ticket, w.source, is_viable)
            });
            let Some((ticket, source, is_viable)) = first else {
                return;
            };
            match is_viable {
                true => {
                    self.queue.grant(ticket, now);
                    self.start(source, now);
                }
                false => {
                    self.queue.remove(ticket);
                    self.tallies[source].expired += 1;
                }
            }
        }
    }
}

/// Runs the sources for a time and returns what became of their requests, by workspace
/// in the order of the sources.
pub fn simulate(sources: &[Source], queue_limit: usize, run_ms: u64, seed: u64) -> Vec<Tally> {
    let mut model = Model {
        queue: FairQueue::default(),
        queue_limit,
        running: Vec::new(),
        tallies: vec![Tally::default(); sources.len()],
        rng: StdRng::seed_from_u64(seed),
    };
    let mut owed: HashMap<usize, f64> = HashMap::new();
    for ms in 0..run_ms {
        let now = Millis(ms);
        model.grant(now);
        for (at, source) in sources.iter().enumerate() {
            let owed = owed.entry(at).or_default();
            *owed += source.demand * ROOM * 2.0 * model.rng.random::<f64>();
            while *owed >= 1.0 {
                *owed -= 1.0;
                model.arrive(at, &source.flow, now);
            }
        }
    }
    model.tallies
}
