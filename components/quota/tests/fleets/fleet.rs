//! A fleet of daemons with one workspace, simulated in steps of a millisecond.

use std::collections::{HashMap, VecDeque};
use std::rc::Rc;

use clock::Millis;
use quota::{Accounts, Allocators, Answer, Decision, Limit, Margin, Message, Standing, choose};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

pub const WORKSPACE: &str = "w";
/// One way between two daemons.
const LATENCY_MS: std::ops::Range<u64> = 1..4;
/// Time within which a daemon learns of a change in the store.
const LIST_DELAY_MS: std::ops::Range<u64> = 0..1_200;
/// Time for which a request waits for a token.
const PATIENCE: Millis = Millis(15);
/// A message without an answer has failed after this time.
const EXCHANGE_TIMEOUT: u64 = 1_000;
/// A registration without renewal expires after 7 to 10 s.
const EXPIRY_MS: std::ops::Range<u64> = 7_000..10_000;

enum Event {
    /// Exchange to a daemon.
    Ask(usize, u64, Message),
    /// Answer of an allocator to a daemon in an exchange.
    Reply(usize, Rc<str>, u64, Answer),
    /// A daemon reads the list of daemons.
    List(usize),
}

struct Daemon {
    name: Rc<str>,
    accounts: Accounts,
    allocators: Allocators,
    list: Vec<usize>,
    /// Exchanges without an answer: allocator, number, time at which they fail.
    exchanges: Vec<(Rc<str>, u64, u64)>,
    /// Times until which requests wait.
    waiting: VecDeque<Millis>,
    due: u64,
    is_up: bool,
    is_paused: bool,
    /// Side of a partition; the store is on side 0.
    side: usize,
    store_answered: u64,
}

pub struct Fleet {
    pub now: u64,
    /// Times at which requests were admitted.
    pub admitted: Vec<u64>,
    pub offered: Vec<u64>,
    /// Requests that waited for an answer.
    pub waited: usize,
    pub messages: usize,
    pub rng: StdRng,
    pub is_store_down: bool,
    /// Part of the answers that are lost.
    pub loss: f64,
    daemons: Vec<Daemon>,
    registered: Vec<usize>,
    expiries: Vec<(u64, usize)>,
    events: Vec<(u64, Event)>,
    exchanges: u64,
    quota: (f64, f64),
}

impl Fleet {
    pub fn new(count: usize, per_second: f64, burst: f64, seed: u64) -> Self {
        let rng = StdRng::seed_from_u64(seed);
        let all: Vec<usize> = (0..count).collect();
        let mut fleet = Self {
            now: 0,
            admitted: Vec::new(),
            offered: Vec::new(),
            waited: 0,
            messages: 0,
            rng,
            is_store_down: false,
            loss: 0.0,
            daemons: Vec::new(),
            registered: all.clone(),
            expiries: Vec::new(),
            events: Vec::new(),
            exchanges: 0,
            quota: (per_second, burst),
        };
        for at in all {
            let daemon = fleet.start_daemon(at);
            fleet.daemons.push(daemon);
        }
        for at in 0..count {
            fleet.set_list(at, fleet.registered.clone());
        }
        fleet
    }

    fn start_daemon(&mut self, at: usize) -> Daemon {
        let name: Rc<str> = format!("daemon-{at}").into();
        Daemon {
            accounts: Accounts::new(&name, self.rng.random()),
            allocators: Allocators::default(),
            name,
            list: Vec::new(),
            exchanges: Vec::new(),
            waiting: VecDeque::new(),
            due: u64::MAX,
            is_up: true,
            is_paused: false,
            side: 0,
            store_answered: self.now,
        }
    }

    /// Returns the allocator by the list of a daemon.
    pub fn allocator(&self, of: usize) -> usize {
        let list = self.daemons[of].list.iter();
        let names = list.map(|d| &*self.daemons[*d].name);
        let chosen = choose(WORKSPACE, names).unwrap();
        self.daemons
            .iter()
            .position(|d| &*d.name == chosen)
            .unwrap()
    }

    fn limit(&self) -> Limit {
        Limit::new(self.quota.0, self.quota.1, &Margin::default())
    }

    fn set_list(&mut self, at: usize, list: Vec<usize>) {
        self.daemons[at].list = list;
        self.assign(at);
    }

    fn assign(&mut self, at: usize) {
        let (now, standing, limit) = (Millis(self.now), self.standing(at), self.limit());
        let names = self.daemons[at].list.iter();
        let names = names.map(|d| &*self.daemons[*d].name);
        let chosen: Option<Rc<str>> = choose(WORKSPACE, names).map(Rc::from);
        let daemon = &mut self.daemons[at];
        let is_own = chosen.as_ref() == Some(&daemon.name);
        let own: HashMap<Rc<str>, Limit> = match is_own {
            true => [(WORKSPACE.into(), limit)].into(),
            false => HashMap::new(),
        };
        daemon.allocators.assign(&own, standing, now);
        daemon
            .accounts
            .assign(&[(WORKSPACE.into(), chosen)].into(), now);
        self.refresh_due(at);
    }

    /// Changes the quota; each daemon learns of it after a while.
    pub fn set_quota(&mut self, per_second: f64, burst: f64) {
        self.quota = (per_second, burst);
        self.publish();
    }

    fn publish(&mut self) {
        for at in 0..self.daemons.len() {
            let delay = self.rng.random_range(LIST_DELAY_MS);
            self.events.push((self.now + delay, Event::List(at)));
        }
    }

    fn standing(&self, at: usize) -> Standing {
        let age = Millis(self.now - self.daemons[at].store_answered);
        // Polls of peers show after some seconds that all are reachable.
        Standing::new(age, self.is_store_down && age > Millis(5_000))
    }

    /// Kills a daemon; its registration expires later.
    pub fn kill(&mut self, at: usize) {
        self.daemons[at].is_up = false;
        self.expire_later(at);
    }

    fn expire_later(&mut self, at: usize) {
        let expiry = self.now + self.rng.random_range(EXPIRY_MS);
        self.expiries.push((expiry, at));
    }

    /// Starts a daemon again under its name.
    pub fn restart(&mut self, at: usize) {
        self.expiries.retain(|(_, daemon)| *daemon != at);
        self.daemons[at] = self.start_daemon(at);
        if !self.registered.contains(&at) {
            self.registered.push(at);
            self.publish();
        }
        self.set_list(at, self.registered.clone());
    }

    /// Ends a daemon, which removes its registration.
    pub fn leave(&mut self, at: usize) {
        self.daemons[at].is_up = false;
        self.registered.retain(|daemon| *daemon != at);
        self.publish();
    }

    /// Freezes a daemon.
    pub fn pause(&mut self, at: usize) {
        self.daemons[at].is_paused = true;
        self.expire_later(at);
    }

    /// Lets a frozen daemon continue. It has the old list until the store answers it.
    pub fn resume(&mut self, at: usize) {
        self.daemons[at].is_paused = false;
        self.return_to_store(at);
    }

    /// Cuts daemons off from the store and the others.
    pub fn cut(&mut self, cut: &[usize]) {
        for &at in cut {
            self.daemons[at].side = 1;
            self.expire_later(at);
        }
    }

    pub fn heal(&mut self) {
        for at in 0..self.daemons.len() {
            if std::mem::take(&mut self.daemons[at].side) > 0 {
                self.return_to_store(at);
            }
        }
    }

    fn return_to_store(&mut self, at: usize) {
        self.expiries.retain(|(_, daemon)| *daemon != at);
        if !self.registered.contains(&at) {
            self.registered.push(at);
        }
        self.publish();
    }

    /// Runs for a time; `arrivals` returns the daemons that get a request in a millisecond.
    pub fn run(&mut self, ms: u64, arrivals: &mut dyn FnMut(u64, &mut StdRng) -> Vec<usize>) {
        for _ in 0..ms {
            self.step(arrivals);
            self.now += 1;
        }
    }

    fn step(&mut self, arrivals: &mut dyn FnMut(u64, &mut StdRng) -> Vec<usize>) {
        let now = self.now;
        self.expire_registrations();
        for at in 0..self.daemons.len() {
            self.read_store(at);
        }
        let events = std::mem::take(&mut self.events);
        let (due, later): (Vec<_>, Vec<_>) = events.into_iter().partition(|(at, _)| *at <= now);
        self.events = later;
        for (_, event) in due {
            self.handle(event);
        }
        for at in arrivals(now, &mut self.rng) {
            self.request(at);
        }
        for at in 0..self.daemons.len() {
            self.fail_exchanges(at);
            self.end_waits(at);
            if self.daemons[at].due <= now && self.is_running(at) {
                self.send(at);
            }
        }
    }

    fn is_running(&self, at: usize) -> bool {
        self.daemons[at].is_up && !self.daemons[at].is_paused
    }

    fn expire_registrations(&mut self) {
        let now = self.now;
        if self.is_store_down {
            return;
        }
        let (due, later): (Vec<_>, Vec<_>) = self.expiries.iter().partition(|(at, _)| *at <= now);
        self.expiries = later;
        if !due.is_empty() {
            let gone: Vec<usize> = due.into_iter().map(|(_, at)| at).collect();
            self.registered.retain(|at| !gone.contains(at));
            self.publish();
        }
    }

    fn read_store(&mut self, at: usize) {
        let now = self.now;
        let is_running = self.is_running(at);
        let daemon = &mut self.daemons[at];
        // The store is read about every 700 ms.
        let is_due = now % 700 == at as u64 % 700;
        if !is_due || !is_running || daemon.side > 0 || self.is_store_down {
            return;
        }
        if now - daemon.store_answered > 6_000 {
            daemon.allocators.restart(Millis(now));
        }
        daemon.store_answered = now;
    }

    fn handle(&mut self, event: Event) {
        let now = Millis(self.now);
        match event {
            Event::List(at) if self.is_running(at) && self.daemons[at].side == 0 => {
                self.set_list(at, self.registered.clone());
            }
            Event::Ask(at, number, message) if self.is_running(at) => {
                let from: usize = message.daemon["daemon-".len()..].parse().unwrap();
                if self.daemons[from].side != self.daemons[at].side {
                    return;
                }
                let answer = self.answer(at, &message);
                if self.rng.random::<f64>() >= self.loss {
                    let allocator = self.daemons[at].name.clone();
                    let delay = self.rng.random_range(LATENCY_MS);
                    let reply = Event::Reply(from, allocator, number, answer);
                    self.events.push((self.now + delay, reply));
                }
            }
            Event::Reply(at, allocator, number, answer) if self.is_running(at) => {
                let exchanges = &mut self.daemons[at].exchanges;
                let is_known = exchanges.iter().any(|e| e.1 == number);
                exchanges.retain(|e| e.1 != number);
                if is_known {
                    self.daemons[at]
                        .accounts
                        .finish(&allocator, Some(&answer), now);
                    self.serve_waiting(at);
                }
            }
            _ => {}
        }
    }

    pub fn answer(&mut self, at: usize, message: &Message) -> Answer {
        let standing = self.standing(at);
        let now = Millis(self.now);
        self.daemons[at].allocators.answer(message, standing, now)
    }

    /// Sends a request to a daemon.
    pub fn request(&mut self, at: usize) {
        let now = Millis(self.now);
        self.offered.push(self.now);
        if !self.is_running(at) {
            return;
        }
        let decision = self.daemons[at].accounts.admit(WORKSPACE, PATIENCE, now);
        match decision {
            Decision::Admitted(_) => self.admitted.push(self.now),
            Decision::Ask(_) => {
                self.waited += 1;
                self.daemons[at].accounts.begin_wait(WORKSPACE);
                self.daemons[at].waiting.push_back(now + PATIENCE);
            }
            Decision::Refused(..) => {}
            Decision::Unlimited => panic!("the workspace has a quota"),
        }
        self.refresh_due(at);
    }

    fn serve_waiting(&mut self, at: usize) {
        let now = Millis(self.now);
        let daemon = &mut self.daemons[at];
        while !daemon.waiting.is_empty() && daemon.accounts.take(WORKSPACE, now) {
            daemon.waiting.pop_front();
            daemon.accounts.end_wait(WORKSPACE);
            self.admitted.push(self.now);
        }
        self.refresh_due(at);
    }

    fn end_waits(&mut self, at: usize) {
        let now = Millis(self.now);
        let daemon = &mut self.daemons[at];
        while daemon.waiting.front().is_some_and(|until| *until <= now) {
            daemon.waiting.pop_front();
            daemon.accounts.end_wait(WORKSPACE);
            if let Decision::Admitted(_) = daemon.accounts.give_up(WORKSPACE, now) {
                self.admitted.push(now.0);
            }
        }
    }

    fn fail_exchanges(&mut self, at: usize) {
        let now = self.now;
        let daemon = &mut self.daemons[at];
        if daemon.exchanges.is_empty() {
            return;
        }
        let failed: Vec<_> = daemon
            .exchanges
            .iter()
            .filter(|e| e.2 <= now)
            .cloned()
            .collect();
        if failed.is_empty() || !daemon.is_up || daemon.is_paused {
            return;
        }
        daemon.exchanges.retain(|e| e.2 > now);
        for (allocator, _, _) in failed {
            daemon.accounts.finish(&allocator, None, Millis(now));
        }
        self.refresh_due(at);
    }

    fn send(&mut self, at: usize) {
        let now = Millis(self.now);
        let to = self.allocator(at);
        let allocator = self.daemons[to].name.clone();
        if let Some(message) = self.daemons[at].accounts.begin(&allocator, now) {
            self.messages += 1;
            if to == at {
                let answer = self.answer(at, &message);
                self.daemons[at]
                    .accounts
                    .finish(&allocator, Some(&answer), now);
                self.serve_waiting(at);
            } else {
                self.exchanges += 1;
                let number = self.exchanges;
                let exchange = (allocator, number, self.now + EXCHANGE_TIMEOUT);
                self.daemons[at].exchanges.push(exchange);
                let delay = self.rng.random_range(LATENCY_MS);
                let ask = Event::Ask(to, number, message);
                self.events.push((self.now + delay, ask));
            }
        }
        self.refresh_due(at);
    }

    fn refresh_due(&mut self, at: usize) {
        if self.daemons[at].list.is_empty() {
            return;
        }
        let to = self.allocator(at);
        let allocator = self.daemons[to].name.clone();
        let daemon = &mut self.daemons[at];
        let is_asking = daemon.exchanges.iter().any(|e| e.0 == allocator);
        let due = daemon.accounts.next_due(&allocator, Millis(self.now));
        daemon.due = match due {
            Some(due) if !is_asking => due.0,
            _ => u64::MAX,
        };
    }
}
