//! The workspaces with quotas at one daemon, and its messages to their allocators.

use std::collections::{HashMap, HashSet};
use std::rc::Rc;

use clock::Millis;

use crate::account::{Account, Admitted};
use crate::message::{Answer, Message, Request};

/// An allocator that does not answer is asked again after this time.
const SILENCE_PAUSE: Millis = Millis(1_000);
/// A daemon that is not the allocator by its own list is asked again after this time, in
/// which it may have got the newer list.
const LIST_PAUSE: Millis = Millis(250);
/// An allocator that has not answered a message within this time is slow.
const SLOW_TIME: Millis = Millis(10);
/// Reports that are due within this time are sent with those that are due now.
const COLLECT_TIME: Millis = Millis(100);

/// What becomes of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// The workspace has no quota.
    Unlimited,
    /// It is admitted.
    Admitted(Admitted),
    /// It has to wait for tokens of this daemon.
    Ask(Rc<str>),
    /// It is refused; a token is expected after the time.
    Refused(Failure, Millis),
}

/// Why there is no token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The workspace is beyond its quota.
    OverQuota,
    /// The allocator does not answer, and the share is used up.
    Silent,
    /// No daemon is the allocator by its own list.
    Unassigned,
}

/// How an exchange with an allocator has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finished {
    /// It answered.
    Answered,
    /// It answered for the first time after a silence.
    AnsweredAgain,
    /// It did not answer for the first time.
    Silent,
    /// It still does not answer.
    StillSilent,
}

struct Entry {
    account: Account,
    allocator: Option<Rc<str>>,
    /// Whether the allocator says that it is none.
    is_disowned: bool,
}

/// The messages to one allocator.
#[derive(Default)]
struct Channel {
    /// The message without an answer, and when it was sent.
    sent: Option<(Millis, Vec<Request>)>,
    /// Whether the last message was not answered.
    is_silent: bool,
    /// Whether a request has waited in vain for the answer to a message.
    is_slow: bool,
    /// Before this time nothing is sent.
    ask_at: Millis,
}

/// The state of all workspaces with quotas at one daemon.
pub struct Accounts {
    daemon: String,
    incarnation: u64,
    sequence: u64,
    entries: HashMap<Rc<str>, Entry>,
    channels: HashMap<Rc<str>, Channel>,
}

/// The state of a workspace at a daemon, for the state dump.
#[derive(Clone, Debug, PartialEq)]
pub struct AccountView {
    /// Name of the workspace.
    pub workspace: Rc<str>,
    /// Tokens held.
    pub tokens: u64,
    /// Requests a second that the daemon may admit without the allocator.
    pub share: f64,
    /// Name of the allocator.
    pub allocator: Option<Rc<str>>,
}

impl Accounts {
    /// Returns the state of a daemon that has just started; `incarnation` is a random
    /// number of its process.
    pub fn new(daemon: &str, incarnation: u64) -> Self {
        Self {
            daemon: daemon.to_owned(),
            incarnation,
            sequence: 0,
            entries: HashMap::new(),
            channels: HashMap::new(),
        }
    }

    /// Sets the workspaces with quotas and their allocators; other workspaces are dropped.
    pub fn assign(&mut self, allocators: &HashMap<Rc<str>, Option<Rc<str>>>, now: Millis) {
        self.entries.retain(|name, _| allocators.contains_key(name));
        for (name, allocator) in allocators {
            let entry = self.entries.entry(name.clone()).or_insert_with(|| Entry {
                account: Account::default(),
                allocator: None,
                is_disowned: false,
            });
            if entry.allocator != *allocator {
                entry.allocator = allocator.clone();
                entry.is_disowned = false;
                entry.account.reset_waits(now);
            }
        }
        let entries = &self.entries;
        let is_used = |name: &Rc<str>| entries.values().any(|e| e.allocator.as_ref() == Some(name));
        self.channels
            .retain(|name, channel| channel.sent.is_some() || is_used(name));
    }

    /// Decides about a request that can wait for `patience`.
    pub fn admit(&mut self, workspace: &str, patience: Millis, now: Millis) -> Decision {
        let Some(entry) = self.entries.get_mut(workspace) else {
            return Decision::Unlimited;
        };
        entry.account.record_demand(now);
        if entry.account.take(now) {
            return Decision::Admitted(Admitted::Held);
        }
        let Some(allocator) = entry.allocator.clone() else {
            return Decision::Refused(Failure::Unassigned, SILENCE_PAUSE);
        };
        let channel = self.channels.get(&allocator);
        let is_silent = channel.is_some_and(|c| c.is_silent || c.is_slow);
        match () {
            () if is_silent => entry.use_share(Failure::Silent, now),
            () if entry.is_disowned => entry.use_share(Failure::Unassigned, now),
            () if entry.account.token_wait(now) > patience => {
                Decision::Refused(Failure::OverQuota, entry.account.token_wait(now))
            }
            () => Decision::Ask(allocator),
        }
    }

    /// Counts a request that waits for a token.
    pub fn begin_wait(&mut self, workspace: &str) {
        if let Some(entry) = self.entries.get_mut(workspace) {
            entry.account.waiting += 1;
        }
    }

    /// Ends the wait of a request.
    pub fn end_wait(&mut self, workspace: &str) {
        if let Some(entry) = self.entries.get_mut(workspace) {
            entry.account.waiting = entry.account.waiting.saturating_sub(1);
        }
    }

    /// Takes a token for a request that waits; `false` if there is none.
    pub fn take(&mut self, workspace: &str, now: Millis) -> bool {
        let entry = self.entries.get_mut(workspace);
        entry.is_some_and(|e| e.account.take(now))
    }

    /// Decides about a request that has waited in vain. If its allocator has a message and
    /// has not answered, later requests don't wait for it.
    pub fn give_up(&mut self, workspace: &str, now: Millis) -> Decision {
        let Some(entry) = self.entries.get_mut(workspace) else {
            return Decision::Unlimited;
        };
        let allocator = entry.allocator.as_ref();
        let channel = allocator.and_then(|name| self.channels.get_mut(name));
        match channel {
            Some(channel) if channel.is_overdue(now) => {
                channel.is_slow = true;
                entry.use_share(Failure::Silent, now)
            }
            _ if entry.is_disowned => entry.use_share(Failure::Unassigned, now),
            _ => Decision::Refused(Failure::OverQuota, entry.account.token_wait(now)),
        }
    }

    /// Takes back the token of a request that did not run. What a share has admitted is not
    /// given back.
    pub fn refund(&mut self, workspace: &str, by: Admitted, now: Millis) {
        match (by, self.entries.get_mut(workspace)) {
            (Admitted::Held | Admitted::Granted, Some(entry)) => entry.account.refund(now),
            (Admitted::Share, _) | (_, None) => {}
        }
    }

    /// Returns the time until a token is expected, as the allocator said.
    pub fn token_wait(&self, workspace: &str, now: Millis) -> Millis {
        let entry = self.entries.get(workspace);
        entry.map_or(Millis::ZERO, |e| e.account.token_wait(now))
    }

    /// Whether a workspace has a quota.
    pub fn has_quota(&self, workspace: &str) -> bool {
        self.entries.contains_key(workspace)
    }

    /// Returns the allocator of a workspace.
    pub fn allocator(&self, workspace: &str) -> Option<Rc<str>> {
        self.entries.get(workspace)?.allocator.clone()
    }

    /// Returns all allocators, each once.
    pub fn allocators(&self) -> HashSet<Rc<str>> {
        let allocators = self.entries.values();
        allocators.filter_map(|e| e.allocator.clone()).collect()
    }

    /// Returns when the next message to an allocator is due, `None` if none is.
    pub fn next_due(&self, allocator: &str, now: Millis) -> Option<Millis> {
        let accounts = self.accounts_of(allocator);
        let due = accounts.filter_map(|a| a.next_due(now)).min()?;
        let channel = self.channels.get(allocator);
        Some(channel.map_or(due, |c| due.max(c.ask_at)))
    }

    /// Returns the message to an allocator with all that is due; `None` if nothing is, or
    /// if a message has no answer yet.
    pub fn begin(&mut self, allocator: &Rc<str>, now: Millis) -> Option<Message> {
        if self.next_due(allocator, now).is_none_or(|at| at > now) {
            return None;
        }
        let channel = self.channels.entry(allocator.clone()).or_default();
        if channel.sent.is_some() {
            return None;
        }
        let mut requests = Vec::new();
        for (name, entry) in &mut self.entries {
            let due = entry.account.next_due(now);
            let is_due = due.is_some_and(|at| at <= now + COLLECT_TIME);
            if is_due && entry.allocator.as_ref() == Some(allocator) {
                requests.push(entry.account.report(name, now));
            }
        }
        channel.sent = Some((now, requests.clone()));
        self.sequence += 1;
        Some(Message {
            daemon: self.daemon.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            requests,
            without_quotas: Vec::new(),
        })
    }

    /// Takes the answer to the last message to an allocator, or that there was none.
    pub fn finish(&mut self, allocator: &str, answer: Option<&Answer>, now: Millis) -> Finished {
        let Some(channel) = self.channels.get_mut(allocator) else {
            return Finished::StillSilent;
        };
        let (sent, requests) = channel.sent.take().unwrap_or_default();
        let was_silent = std::mem::replace(&mut channel.is_silent, answer.is_none());
        channel.is_slow = false;
        channel.ask_at = match answer {
            Some(_) => now,
            None => now + SILENCE_PAUSE,
        };
        for request in &requests {
            if let Some(entry) = self.entries.get_mut(request.workspace.as_str()) {
                entry.finish(request, answer, sent, now);
            }
        }
        match (answer, was_silent) {
            (Some(_), false) => Finished::Answered,
            (Some(_), true) => Finished::AnsweredAgain,
            (None, false) => Finished::Silent,
            (None, true) => Finished::StillSilent,
        }
    }

    /// Returns the tokens held for all workspaces.
    pub fn tokens(&self) -> u64 {
        self.entries.values().map(|e| e.account.tokens()).sum()
    }

    /// Returns the workspaces with recent traffic.
    pub fn views(&self, now: Millis) -> Vec<AccountView> {
        let active = self.entries.iter();
        let active = active.filter(|(_, e)| e.account.has_traffic(now));
        let view = |(name, e): (&Rc<str>, &Entry)| AccountView {
            workspace: name.clone(),
            tokens: e.account.tokens(),
            share: e.account.share(now),
            allocator: e.allocator.clone(),
        };
        active.map(view).collect()
    }

    fn accounts_of(&self, allocator: &str) -> impl Iterator<Item = &Account> {
        let entries = self.entries.values();
        let own = entries.filter(move |e| e.allocator.as_deref() == Some(allocator));
        own.map(|e| &e.account)
    }
}

impl Channel {
    /// Whether the allocator should have answered by now.
    fn is_overdue(&self, now: Millis) -> bool {
        let sent = self.sent.as_ref();
        self.is_silent || sent.is_some_and(|(at, _)| now.since(*at) >= SLOW_TIME)
    }
}

impl Entry {
    /// Decides about a request without the allocator.
    fn use_share(&mut self, failure: Failure, now: Millis) -> Decision {
        if self.account.take_share(now) {
            return Decision::Admitted(Admitted::Share);
        }
        let wait = self.account.share_wait(now).unwrap_or(SILENCE_PAUSE);
        Decision::Refused(failure, wait)
    }

    fn finish(&mut self, request: &Request, answer: Option<&Answer>, sent: Millis, now: Millis) {
        let Some(answer) = answer else {
            self.account.record_loss();
            return;
        };
        let mut grants = answer.grants.iter();
        let grant = grants.find(|g| g.workspace == request.workspace);
        self.is_disowned = grant.is_none();
        match grant {
            Some(grant) => self.account.apply(grant, request, sent, now),
            None => self.account.postpone(now + LIST_PAUSE),
        }
    }
}
