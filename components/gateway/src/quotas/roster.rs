//! The registered daemons and the quotas, by which allocators are chosen.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use clock::Millis;
use discovery::Directory;
use routes::Quota;

use crate::delegation::large_daemons;

/// A daemon of a build without quotas is passed over for this long; it may be upgraded.
const PASS_TIME: Millis = Millis(3_000);

/// How a daemon is known to have no quotas.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Source {
    /// It answered this daemon.
    Answer,
    /// Another daemon says so. This is not passed on, or it would never end.
    Peer,
}

/// What the choice of allocators depends on.
#[derive(Default)]
pub(super) struct Roster {
    /// Names and addresses of the daemons that can be allocators, sorted.
    daemons: Vec<(String, SocketAddr)>,
    quotas: HashMap<Rc<str>, Quota>,
    /// Daemons of builds without quotas, and until when they are passed over.
    passed: HashMap<String, (Source, Millis)>,
}

impl Roster {
    /// Reads the directory; `true` if the choice may change. Without quotas, daemons are not
    /// read.
    pub(super) fn update(&mut self, directory: &Directory) -> bool {
        let workspaces = directory.configuration();
        let workspaces = workspaces.and_then(|c| c.workspaces.as_ref());
        let quotas = workspaces.into_iter().flatten();
        let quotas = quotas.filter_map(|w| Some((w.name.clone(), w.quota?)));
        let quotas: HashMap<Rc<str>, Quota> = quotas.collect();
        let mut daemons = Vec::new();
        if !quotas.is_empty() {
            let large = large_daemons(directory.instances());
            daemons.extend(large.iter().map(|i| (i.name.clone(), i.address)));
            daemons.sort();
        }
        let is_changed = quotas != self.quotas || daemons != self.daemons;
        self.quotas = quotas;
        self.daemons = daemons;
        is_changed
    }

    /// Passes over a daemon of a build without quotas; `true` if it was not passed over.
    pub(super) fn pass_over(&mut self, daemon: &str, source: Source, now: Millis) -> bool {
        let known = self.passed.get(daemon);
        let is_new = known.is_none_or(|(_, until)| *until <= now);
        if is_new || source == Source::Answer {
            let pass = (source, now + PASS_TIME);
            self.passed.insert(daemon.to_owned(), pass);
        }
        is_new
    }

    /// Returns the daemons that have answered this one that they have no quotas.
    pub(super) fn passed_over(&self, now: Millis) -> Vec<String> {
        let is_own = |(source, until): (Source, Millis)| source == Source::Answer && until > now;
        let passed = self.passed.iter().filter(|(_, pass)| is_own(**pass));
        passed.map(|(name, _)| name.clone()).collect()
    }

    /// Whether a daemon is passed over no more and has to be asked again.
    pub(super) fn has_lapsed(&self, now: Millis) -> bool {
        self.passed.values().any(|(_, until)| *until <= now)
    }

    /// Returns the allocator of each workspace.
    pub(super) fn choose(&mut self, now: Millis) -> HashMap<Rc<str>, Option<Rc<str>>> {
        self.passed.retain(|_, (_, until)| *until > now);
        let passed = &self.passed;
        let names = self.daemons.iter().map(|(name, _)| name.as_str());
        let names = names.filter(|name| !passed.contains_key(*name));
        let choose = |workspace: &Rc<str>| {
            let allocator = quota::choose(workspace, names.clone());
            (workspace.clone(), allocator.map(Rc::from))
        };
        self.quotas.keys().map(choose).collect()
    }

    pub(super) fn quotas(&self) -> impl Iterator<Item = (&Rc<str>, &Quota)> {
        self.quotas.iter()
    }

    pub(super) fn has_quotas(&self) -> bool {
        !self.quotas.is_empty()
    }

    pub(super) fn daemons(&self) -> usize {
        self.daemons.len()
    }

    pub(super) fn address(&self, daemon: &str) -> Option<SocketAddr> {
        let found = self.daemons.iter().find(|(name, _)| name == daemon);
        found.map(|(_, address)| *address)
    }

    pub(super) fn has_address(&self, address: SocketAddr) -> bool {
        self.daemons.iter().any(|(_, known)| *known == address)
    }
}
