//! The quotas of workspaces at this daemon: admits requests, asks the allocators for tokens
//! ahead of use, and answers other daemons where this one is the allocator.

mod admission;
mod exchange;
mod roster;

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;

use clock::Millis;
use discovery::{Directory, Follower};
use futures_channel::oneshot;
use quota::{Accounts, Allocators, Answer, Limit, Margin, Message, Standing};
use slog::{Logger, debug, warn};
use transport::Client;

pub(crate) use self::admission::Admission;
use self::admission::Waiter;
use self::roster::{Roster, Source};
use crate::fleet::Fleet;
use crate::settings::Settings;
use crate::view::QuotaView;

/// Path at which daemons ask for tokens.
pub(crate) const QUOTA_PATH: &str = "/v1/quota";
/// Largest message and answer; each workspace takes about 200 bytes.
pub(crate) const QUOTA_LIMIT_BYTES: usize = 1024 * 1024;

/// The quotas at one daemon. Without workspaces that have one, it sends no message and runs
/// no task.
pub(crate) struct Quotas {
    me: Rc<str>,
    fleet: Rc<Fleet>,
    follower: Rc<Follower>,
    margin: Cell<Margin>,
    accounts: RefCell<Accounts>,
    allocators: RefCell<Allocators>,
    roster: RefCell<Roster>,
    /// Requests that wait for tokens, by workspace.
    waiting: RefCell<HashMap<Rc<str>, VecDeque<Waiter>>>,
    /// Tasks that send messages, by allocator; dropping the sender wakes one that sleeps.
    tasks: RefCell<HashMap<Rc<str>, Option<oneshot::Sender<()>>>>,
    clients: RefCell<HashMap<SocketAddr, Rc<Client>>>,
    standing: Cell<Standing>,
    /// The silence of the store after which the allocators began anew.
    restarted: Cell<Millis>,
    log: Logger,
}

impl Quotas {
    pub(crate) fn new(
        settings: &Settings,
        fleet: &Rc<Fleet>,
        follower: &Rc<Follower>,
        log: &Logger,
    ) -> Rc<Self> {
        let me = settings.instance.as_str();
        Rc::new(Self {
            me: me.into(),
            fleet: fleet.clone(),
            follower: follower.clone(),
            margin: Cell::new(settings.quota_margin),
            accounts: RefCell::new(Accounts::new(me, rand::random())),
            allocators: RefCell::default(),
            roster: RefCell::default(),
            waiting: RefCell::default(),
            tasks: RefCell::default(),
            clients: RefCell::default(),
            standing: Cell::new(Standing::Current),
            restarted: Cell::new(Millis::ZERO),
            log: log.clone(),
        })
    }

    /// Applies the registered daemons and the quotas of the configuration in force.
    pub(crate) fn update(self: &Rc<Self>, directory: &Directory) {
        let is_changed = self.roster.borrow_mut().update(directory);
        if is_changed {
            self.assign();
        }
    }

    /// Sets what workspaces may exceed their quotas by.
    pub(crate) fn set_margin(self: &Rc<Self>, margin: Margin) {
        if self.margin.replace(margin) != margin {
            self.assign();
        }
    }

    /// Answers a daemon that asks for tokens.
    pub(crate) fn answer(self: &Rc<Self>, message: &Message) -> Answer {
        let now = Millis::since_boot();
        let mut roster = self.roster.borrow_mut();
        let older = message.without_quotas.iter();
        let added = older.filter(|name| roster.pass_over(name, Source::Peer, now));
        let is_new = added.count() > 0;
        drop(roster);
        if is_new {
            self.assign();
        }
        let standing = self.standing(now);
        let mut allocators = self.allocators.borrow_mut();
        allocators.answer(message, standing, now)
    }

    /// Returns the tokens that this daemon holds for all workspaces.
    pub(crate) fn tokens(&self) -> u64 {
        self.accounts.borrow().tokens()
    }

    /// Returns the state of the workspaces with recent traffic.
    pub(crate) fn views(&self) -> Vec<QuotaView> {
        let now = Millis::since_boot();
        let standing = self.standing(now);
        let mut allocators = self.allocators.borrow_mut();
        let accounts = self.accounts.borrow().views(now).into_iter();
        let view = accounts.map(|account| QuotaView {
            bucket: allocators.view(&account.workspace, standing, now),
            workspace: account.workspace.to_string(),
            tokens: account.tokens,
            share_per_s: account.share,
            allocator: account.allocator.map(|a| a.to_string()),
        });
        let mut views: Vec<QuotaView> = view.collect();
        views.sort_by(|a, b| a.workspace.cmp(&b.workspace));
        views
    }

    /// Chooses the allocators anew.
    fn assign(self: &Rc<Self>) {
        let now = Millis::since_boot();
        let standing = self.standing(now);
        let chosen = self.roster.borrow_mut().choose(now);
        let margin = self.margin.get();
        let roster = self.roster.borrow();
        let own = roster.quotas().filter(|(name, _)| {
            let allocator = chosen.get(*name);
            allocator.is_some_and(|a| a.as_deref() == Some(&*self.me))
        });
        let limit = |(name, q): (&Rc<str>, &routes::Quota)| {
            (name.clone(), Limit::new(q.per_second, q.burst, &margin))
        };
        let own: HashMap<Rc<str>, Limit> = own.map(limit).collect();
        debug!(self.log, "allocators of quotas chosen"; "workspaces" => chosen.len(),
            "own" => own.len(), "daemons" => roster.daemons());
        drop(roster);
        self.allocators.borrow_mut().assign(&own, standing, now);
        self.accounts.borrow_mut().assign(&chosen, now);
        // Those that wait for a quota that was removed are admitted.
        let mut waiting = self.waiting.borrow_mut();
        waiting.retain(|name, _| chosen.contains_key(name));
        drop(waiting);
        self.forget_clients();
        let allocators = self.accounts.borrow().allocators();
        for allocator in allocators {
            self.start_task(&allocator);
        }
    }

    fn forget_clients(&self) {
        let roster = self.roster.borrow();
        let mut clients = self.clients.borrow_mut();
        clients.retain(|address, _| roster.has_address(*address));
    }

    /// Returns how far this daemon may act as an allocator.
    fn standing(&self, now: Millis) -> Standing {
        let ended = self.follower.silence_ended();
        if self.restarted.replace(ended) != ended {
            self.allocators.borrow_mut().restart(now);
        }
        let age = self.follower.directory_age(now);
        let standing = Standing::new(age, self.follower.reaches_peers(now));
        if self.standing.replace(standing) != standing && self.roster.borrow().has_quotas() {
            warn!(self.log, "standing as an allocator of quotas changed";
                "standing" => ?standing, "directory_age_ms" => age.0);
        }
        standing
    }
}
