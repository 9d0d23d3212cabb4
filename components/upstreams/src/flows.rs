//! Start-time fair queueing over the workspaces of each rank, as plain state without
//! I/O. It answers the load of a workspace that sends several times its usual rate
//! beside others: each flow gets an equal share of the grants of its rank, and what a
//! flow does not use goes to the others.

use std::collections::HashMap;
use std::rc::Rc;

use clock::Millis;

/// Weight of one grant in the moving average of the time between grants.
const GAP_WEIGHT: f64 = 0.2;
/// Grants after which the time between them is an estimate.
const MIN_GAPS: u32 = 4;

/// The requests of one workspace and rank; those without a workspace are one flow.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct FlowKey {
    /// Rank in the queue; 0 goes first.
    pub rank: u8,
    /// Workspace of the callers, if they have one.
    pub workspace: Option<Rc<str>>,
}

/// Time between the grants of a flow since it last began to wait.
#[derive(Clone, Copy, Debug, Default)]
struct Pace {
    last: Millis,
    gap_ms: f64,
    gaps: u32,
}

impl Pace {
    fn starting(now: Millis) -> Self {
        Self {
            last: now,
            ..Self::default()
        }
    }

    fn record(&mut self, now: Millis) {
        let gap_ms = now.since(self.last).0 as f64;
        self.gap_ms = match self.gaps {
            0 => gap_ms,
            _ => self.gap_ms + GAP_WEIGHT * (gap_ms - self.gap_ms),
        };
        self.gaps += 1;
        self.last = now;
    }
}

#[derive(Debug, Default)]
struct Flow {
    /// Start tag of its next request.
    start: u64,
    waiting: usize,
    pace: Pace,
}

/// The flows that wait or have used more than their share of late.
#[derive(Debug, Default)]
pub(crate) struct Flows {
    by_key: HashMap<FlowKey, Flow>,
    /// Virtual time of each rank: the start tag of its last granted request.
    times: HashMap<u8, u64>,
}

impl Flows {
    /// Records that a request starts to wait.
    pub(crate) fn join(&mut self, key: &FlowKey, now: Millis) {
        let time = self.time(key.rank);
        let flow = self.by_key.entry(key.clone()).or_default();
        if flow.waiting == 0 {
            flow.start = flow.start.max(time);
            flow.pace = Pace::starting(now);
        }
        flow.waiting += 1;
    }

    /// Records that a request waits no longer.
    pub(crate) fn leave(&mut self, key: &FlowKey) {
        if let Some(flow) = self.by_key.get_mut(key) {
            flow.waiting = flow.waiting.saturating_sub(1);
        }
        self.forget_idle();
    }

    /// Records that a waiting request was granted.
    pub(crate) fn grant(&mut self, key: &FlowKey, now: Millis) {
        if let Some(flow) = self.by_key.get_mut(key) {
            flow.pace.record(now);
        }
        self.charge(key);
        self.leave(key);
    }

    /// Counts a grant against the share of a flow.
    pub(crate) fn charge(&mut self, key: &FlowKey) {
        let start = self.start(key);
        let time = self.times.entry(key.rank).or_default();
        *time = start.max(*time);
        let flow = self.by_key.entry(key.clone()).or_default();
        flow.start = start + 1;
        self.forget_idle();
    }

    /// Returns the start tag of the first request of a flow, whether it waits or would
    /// start to wait now.
    pub(crate) fn start(&self, key: &FlowKey) -> u64 {
        let time = self.time(key.rank);
        let flow = self.by_key.get(key);
        flow.map_or(time, |flow| match flow.waiting {
            0 => flow.start.max(time),
            _ => flow.start,
        })
    }

    /// Returns the mean time between the grants of a flow that has been waiting for
    /// some of them.
    pub(crate) fn gap_ms(&self, key: &FlowKey) -> Option<f64> {
        let flow = self.by_key.get(key).filter(|flow| flow.waiting > 0)?;
        (flow.pace.gaps >= MIN_GAPS).then_some(flow.pace.gap_ms)
    }

    fn time(&self, rank: u8) -> u64 {
        self.times.get(&rank).copied().unwrap_or(0)
    }

    /// Removes the flows that would start again at the virtual time of their rank.
    fn forget_idle(&mut self) {
        let times = &self.times;
        self.by_key.retain(|key, flow| {
            flow.waiting > 0 || flow.start > times.get(&key.rank).copied().unwrap_or(0)
        });
    }
}
