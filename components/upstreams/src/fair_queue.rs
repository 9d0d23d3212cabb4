//! The order in which waiting requests get slots: rank, then start-time fair queueing
//! over workspaces, then deadline. No I/O.
//!
//! Requests without a workspace are ordered among themselves by rank and deadline; if
//! all are of that kind, this is the whole order.

use std::collections::{BTreeMap, HashMap};

use clock::Millis;

use crate::displacement::choose_flow;
use crate::fair_wait::Outlook;
use crate::flows::{FlowKey, Flows};

/// Consecutive grants to higher ranks after which a waiting lower rank gets the next
/// one, so that it has at least an eighth of them.
const GRANTS_TO_HIGHER_RANKS: usize = 7;

/// Identifies a waiting request; later ones have greater tickets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(u64);

/// Position in the order, without the turns of lower ranks: rank, start tag, deadline.
type Position = (u8, u64, Millis, Ticket);

#[derive(Debug)]
struct Entry<T> {
    ticket: Ticket,
    flow: FlowKey,
    deadline: Millis,
    item: T,
}

impl<T> Entry<T> {
    fn has_workspace(&self) -> bool {
        self.flow.workspace.is_some()
    }
}

/// Waiting requests in the order in which they get slots.
#[derive(Debug)]
pub struct FairQueue<T> {
    // Sorted by rank, then by deadline.
    entries: Vec<Entry<T>>,
    flows: Flows,
    /// Consecutive grants to higher ranks while a lower one waited.
    passed_over: usize,
    tickets: u64,
}

impl<T> Default for FairQueue<T> {
    fn default() -> Self {
        Self {
            entries: Vec::new(),
            flows: Flows::default(),
            passed_over: 0,
            tickets: 0,
        }
    }
}

impl<T> FairQueue<T> {
    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the number of waiting requests of each rank.
    pub fn count_by_rank(&self) -> BTreeMap<u8, usize> {
        let mut counts = BTreeMap::new();
        for entry in &self.entries {
            *counts.entry(entry.flow.rank).or_default() += 1;
        }
        counts
    }

    /// Adds a request.
    pub fn push(&mut self, flow: FlowKey, deadline: Millis, item: T, now: Millis) -> Ticket {
        let ticket = Ticket(self.tickets);
        self.tickets += 1;
        self.flows.join(&flow, now);
        let at = self
            .entries
            .partition_point(|e| (e.flow.rank, e.deadline) <= (flow.rank, deadline));
        self.entries.insert(
            at,
            Entry {
                ticket,
                flow,
                deadline,
                item,
            },
        );
        ticket
    }

    /// Returns the waiting requests in the order in which they get slots.
    pub fn in_order(&self) -> Vec<(Ticket, &T)> {
        let order = self.order().into_iter().map(|at| &self.entries[at]);
        order.map(|entry| (entry.ticket, &entry.item)).collect()
    }

    /// Removes a request that gets a slot, and counts it against the share of its flow.
    pub fn grant(&mut self, ticket: Ticket, now: Millis) -> Option<T> {
        let entry = self.take(ticket)?;
        self.flows.grant(&entry.flow, now);
        if entry.has_workspace() {
            self.count_passed_over(entry.flow.rank);
        }
        Some(entry.item)
    }

    /// Counts a request that got a slot without waiting against the share of its flow.
    pub fn charge(&mut self, flow: &FlowKey) {
        self.flows.charge(flow);
    }

    /// Removes a request that waits no longer.
    pub fn remove(&mut self, ticket: Ticket) -> Option<T> {
        let entry = self.take(ticket)?;
        self.flows.leave(&entry.flow);
        Some(entry.item)
    }

    /// Removes the requests for which `is_removed` holds.
    pub fn remove_if(&mut self, is_removed: impl Fn(&T) -> bool) -> Vec<T> {
        let removed = self.entries.extract_if(.., |e| is_removed(&e.item));
        let removed: Vec<Entry<T>> = removed.collect();
        for entry in &removed {
            self.flows.leave(&entry.flow);
        }
        removed.into_iter().map(|entry| entry.item).collect()
    }

    /// Removes the request that gives its place in a full queue to a new one of `flow`;
    /// `None` if the new one is refused.
    pub fn displace_for(&mut self, flow: &FlowKey) -> Option<T> {
        let displaced = choose_flow(self.entries.iter().map(|e| &e.flow), flow)?.clone();
        let last = self.entries.iter().rev().find(|e| e.flow == displaced)?;
        self.remove(last.ticket)
    }

    /// Returns what a new request of a workspace has to wait for.
    pub fn outlook(&self, flow: &FlowKey, deadline: Millis) -> Outlook {
        let own = self.entries.iter().filter(|e| e.flow == *flow);
        let own = own.filter(|e| e.deadline <= deadline).count();
        let start = self.flows.start(flow) + own as u64;
        let position = (flow.rank, start, deadline, Ticket(self.tickets));
        let positions = self.positions();
        let before = positions.iter().filter(|p| **p < position).count();
        let gap_ms = self.flows.gap_ms(flow);
        Outlook {
            ahead: self.with_turns_of_lower_ranks(flow.rank, before),
            paced: gap_ms.map(|gap_ms| Outlook::pace(gap_ms, own)),
        }
    }

    /// Returns how many requests go before a new one, if `before` of them do by rank and
    /// share.
    fn with_turns_of_lower_ranks(&self, rank: u8, before: usize) -> usize {
        let ranks = || {
            let of_workspaces = self.entries.iter().filter(|e| e.has_workspace());
            of_workspaces.map(|e| e.flow.rank)
        };
        let top = ranks().min().unwrap_or(rank).min(rank);
        let lower = ranks().filter(|r| *r > top).count();
        let passed_over = self.passed_over.min(GRANTS_TO_HIGHER_RANKS);
        match rank > top {
            true => before.min((lower + 1) * (GRANTS_TO_HIGHER_RANKS + 1) - 1 - passed_over),
            false => before + lower.min((before + passed_over) / GRANTS_TO_HIGHER_RANKS),
        }
    }

    fn take(&mut self, ticket: Ticket) -> Option<Entry<T>> {
        let at = self.entries.iter().position(|e| e.ticket == ticket)?;
        Some(self.entries.remove(at))
    }

    fn order(&self) -> Vec<usize> {
        if !self.entries.iter().any(Entry::has_workspace) {
            return (0..self.entries.len()).collect();
        }
        let positions = self.positions();
        let mut order: Vec<usize> = (0..self.entries.len()).collect();
        order.sort_unstable_by_key(|&at| positions[at]);
        self.move_overdue(&mut order);
        order
    }

    fn positions(&self) -> Vec<Position> {
        let mut counts: HashMap<&FlowKey, u64> = HashMap::new();
        let position = |entry| {
            let Entry {
                ticket,
                flow,
                deadline,
                ..
            }: &Entry<T> = entry;
            let before = counts.entry(flow).or_default();
            let start = self.flows.start(flow) + *before;
            *before += 1;
            (flow.rank, start, *deadline, *ticket)
        };
        self.entries.iter().map(position).collect()
    }

    /// Puts the longest waiting request of the lower ranks before those of the highest
    /// if it is their turn.
    fn move_overdue(&self, order: &mut Vec<usize>) {
        if self.passed_over < GRANTS_TO_HIGHER_RANKS {
            return;
        }
        let is_first = |at: &usize| self.entries[*at].has_workspace();
        let Some(first) = order.iter().position(is_first) else {
            return;
        };
        let top = self.entries[order[first]].flow.rank;
        let lower = order.iter().enumerate().filter(|(_, at)| {
            let entry = &self.entries[**at];
            entry.has_workspace() && entry.flow.rank > top
        });
        if let Some((from, _)) = lower.min_by_key(|(_, at)| self.entries[**at].ticket) {
            let at = order.remove(from);
            order.insert(first, at);
        }
    }

    fn count_passed_over(&mut self, granted: u8) {
        let waiting = self.entries.iter().filter(|e| e.has_workspace());
        let waiting = waiting.map(|e| e.flow.rank);
        let has_higher = waiting.clone().any(|rank| rank < granted);
        let has_lower = waiting.clone().any(|rank| rank > granted);
        self.passed_over = match has_lower && !has_higher {
            true => self.passed_over + 1,
            false => 0,
        };
    }
}
