//! Admission at the adaptive limit of a route by workspace. No I/O.
//!
//! This answers a workspace whose requests fill the limit: the others are still admitted
//! up to an equal share of it, somewhat above the limit, until enough requests of the
//! large workspace have ended.

use std::collections::{HashMap, HashSet};
use std::rc::Rc;

use clock::Millis;

use crate::concurrency::ConcurrencyLimiter;

/// Part of the limit by which workspaces below their share may exceed it.
const EXCESS_SHARE: f64 = 0.25;
/// Time for which a refused workspace counts for the shares of the limit.
const REFUSAL_MEMORY: Millis = Millis(1_000);

/// The workspaces that use the limit of a route.
#[derive(Clone, Debug, Default)]
pub struct WorkspaceShares {
    running: HashMap<Rc<str>, usize>,
    refused: HashMap<Rc<str>, Millis>,
}

impl WorkspaceShares {
    /// Admits a request of a workspace; `false` refuses it.
    pub fn admit(
        &mut self,
        limiter: &mut ConcurrencyLimiter,
        workspace: &Rc<str>,
        now: Millis,
    ) -> bool {
        let is_admitted = limiter.admit()
            || (self.is_below_share(limiter, workspace, now) && limiter.admit_above(EXCESS_SHARE));
        match is_admitted {
            true => *self.running.entry(workspace.clone()).or_default() += 1,
            false => {
                self.refused.insert(workspace.clone(), now);
            }
        }
        is_admitted
    }

    /// Records the end of an admitted request.
    pub fn end(&mut self, workspace: &Rc<str>) {
        let Some(running) = self.running.get_mut(workspace) else {
            return;
        };
        *running = running.saturating_sub(1);
        if *running == 0 {
            self.running.remove(workspace);
        }
    }

    /// Returns the number of workspaces that share the limit, those refused of late
    /// included.
    pub fn count(&self, now: Millis) -> usize {
        self.sharing(now).len()
    }

    fn sharing(&self, now: Millis) -> HashSet<&Rc<str>> {
        let is_recent = |at: Millis| now.since(at) < REFUSAL_MEMORY;
        let refused = self.refused.iter().filter(|(_, at)| is_recent(**at));
        let refused = refused.map(|(workspace, _)| workspace);
        self.running.keys().chain(refused).collect()
    }

    fn is_below_share(
        &mut self,
        limiter: &ConcurrencyLimiter,
        workspace: &Rc<str>,
        now: Millis,
    ) -> bool {
        self.refused.retain(|_, at| now.since(*at) < REFUSAL_MEMORY);
        let mut sharing = self.sharing(now);
        sharing.insert(workspace);
        let share = limiter.limit() / sharing.len() as f64;
        let running = self.running.get(workspace).copied().unwrap_or(0);
        (running as f64) < share
    }
}
