//! The workspaces of which one daemon is the allocator.

use std::collections::HashMap;
use std::rc::Rc;

use clock::Millis;

use crate::allocator::{Allocator, BucketView, Standing};
use crate::limit::Limit;
use crate::message::{Answer, Message, Request};

/// The allocators of one daemon.
#[derive(Default)]
pub struct Allocators {
    by_workspace: HashMap<Rc<str>, Allocator>,
}

impl Allocators {
    /// Sets the workspaces of which this daemon is the allocator; what is known of others is
    /// dropped.
    pub fn assign(&mut self, limits: &HashMap<Rc<str>, Limit>, standing: Standing, now: Millis) {
        self.by_workspace
            .retain(|name, _| limits.contains_key(name));
        for (name, limit) in limits {
            let known = self.by_workspace.entry(name.clone());
            let allocator = known.or_insert_with(|| Allocator::new(*limit, now));
            allocator.set_limit(*limit, standing, now);
        }
    }

    /// Begins anew, because other daemons may have been the allocators meanwhile.
    pub fn restart(&mut self, now: Millis) {
        for allocator in self.by_workspace.values_mut() {
            allocator.restart(now);
        }
    }

    /// Answers a message; workspaces of which this daemon is not the allocator are left out.
    pub fn answer(&mut self, message: &Message, standing: Standing, now: Millis) -> Answer {
        let mut answer = |request: &Request| {
            let allocator = self.by_workspace.get_mut(request.workspace.as_str())?;
            Some(allocator.answer(message, request, standing, now))
        };
        let grants = message.requests.iter().filter_map(&mut answer);
        Answer {
            grants: grants.collect(),
        }
    }

    /// Returns the bucket of a workspace; `None` if this daemon is not its allocator.
    pub fn view(&mut self, workspace: &str, standing: Standing, now: Millis) -> Option<BucketView> {
        let allocator = self.by_workspace.get_mut(workspace)?;
        Some(allocator.view(standing, now))
    }
}
