//! Keeps the revision in force up to date: from the store by a watch, from
//! peers by heartbeats. A daemon moves only to higher revisions.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use catalog::{Bundle, Catalog, Head, Repository};
use clock::Millis;
use members::{Member, Members};
use schema::FetchCatalogRequest;
use slog::{Logger, info, warn};
use telemetry::names;

/// Number of daemons in a failure domain that watch the store.
const WATCHERS_PER_DOMAIN: usize = 2;
const WATCH_WAIT: Millis = Millis(1_000);
const MIN_RETRY_DELAY: Millis = Millis(100);
const MAX_RETRY_DELAY: Millis = Millis(1_000);
const FOLLOW_INTERVAL: Millis = Millis(500);
const FETCH_TIMEOUT: Millis = Millis(2_000);
// A daemon without a confirmation from a peer for this time reads the store
// itself.
const MAX_CONFIRMATION_AGE: Millis = Millis(1_500);

type Listener = Box<dyn Fn(&Rc<Catalog>)>;

/// The revision in force and the tasks that update it.
pub(crate) struct CatalogSync {
    pub(crate) repository: Repository,
    members: Rc<Members>,
    catalog: RefCell<Rc<Catalog>>,
    listeners: RefCell<Vec<Listener>>,
    is_fetching: Cell<bool>,
    // The highest revision that this daemon announced before a restart.
    min_revision: Cell<u64>,
    log: Logger,
}

impl CatalogSync {
    pub(crate) fn new(repository: Repository, members: &Rc<Members>, log: &Logger) -> Rc<Self> {
        Rc::new(Self {
            repository,
            members: members.clone(),
            catalog: RefCell::default(),
            listeners: RefCell::default(),
            is_fetching: Cell::new(false),
            min_revision: Cell::new(0),
            log: log.clone(),
        })
    }

    /// Adds a listener that is called for each revision that is put in force.
    pub(crate) fn add_listener(&self, listener: impl Fn(&Rc<Catalog>) + 'static) {
        self.listeners.borrow_mut().push(Box::new(listener));
    }

    pub(crate) fn catalog(&self) -> Rc<Catalog> {
        self.catalog.borrow().clone()
    }

    pub(crate) fn revision(&self) -> u64 {
        self.catalog.borrow().revision()
    }

    /// Records a revision that this daemon had in force before a restart; at
    /// lower revisions it accepts no requests.
    pub(crate) fn raise_min_revision(&self, revision: u64) {
        self.min_revision.set(self.min_revision.get().max(revision));
    }

    /// Whether the revision in force was confirmed recently, or no other daemon
    /// was ever known that could have a different one.
    pub(crate) fn is_confirmed(&self) -> bool {
        let is_fresh = self.members.confirmation.is_fresh(Millis::now());
        let is_alone = self.revision() > 0 && self.members.is_alone();
        self.revision() >= self.min_revision.get() && (is_fresh || is_alone)
    }

    /// Puts a revision in force if it is higher than the current one.
    pub(crate) fn install(&self, catalog: Catalog) {
        if catalog.revision() <= self.revision() {
            return;
        }
        let catalog = Rc::new(catalog);
        *self.catalog.borrow_mut() = catalog.clone();
        for listener in self.listeners.borrow().iter() {
            listener(&catalog);
        }
        metrics::gauge!(names::REVISION).set(catalog.revision() as f64);
        self.members.send_heartbeats();
        info!(self.log, "revision in force"; "revision" => catalog.revision(), "services" => catalog.services.len());
    }

    /// Loads and installs a head that was read from the store.
    pub(crate) async fn install_head(&self, head: Head) -> catalog::Result<()> {
        if head.revision > self.revision() {
            let catalog = self.repository.load(head, &self.catalog()).await?;
            self.install(catalog);
        }
        Ok(())
    }

    /// Follows the store until the daemon stops.
    pub(crate) async fn follow_store(self: Rc<Self>) {
        let mut retry_delay = MIN_RETRY_DELAY;
        let mut version = 0;
        loop {
            let is_needed = self.revision() == 0
                || self.members.is_chosen("watch", WATCHERS_PER_DOMAIN)
                || self.members.confirmation.age(Millis::now()) > MAX_CONFIRMATION_AGE;
            if !is_needed {
                compio::time::sleep(FOLLOW_INTERVAL.into()).await;
                continue;
            }
            match self.follow_once(version).await {
                Ok(seen) => {
                    version = seen;
                    retry_delay = MIN_RETRY_DELAY;
                }
                Err(e) => {
                    warn!(self.log, "store not read"; "error" => %e, "retry_ms" => retry_delay.0);
                    compio::time::sleep(retry_delay.into()).await;
                    retry_delay = Millis(retry_delay.0 * 2).min(MAX_RETRY_DELAY);
                    version = 0;
                }
            }
        }
    }

    /// Reads or watches the head once and returns its version.
    async fn follow_once(&self, version: u64) -> catalog::Result<u64> {
        let sent = Millis::now();
        let (version, head) = match version {
            0 => self.repository.read_head().await?,
            after => match self.repository.watch_head(after, WATCH_WAIT).await? {
                Some(read) => read,
                None => {
                    self.members.confirmation.confirm(sent);
                    return Ok(after);
                }
            },
        };
        self.install_head(head).await?;
        self.members.confirmation.confirm(sent);
        if version == 0 {
            // Nothing is committed yet, and an absent key can't be watched.
            compio::time::sleep(FOLLOW_INTERVAL.into()).await;
        }
        Ok(version)
    }

    /// Fetches the revision of a peer if it is higher than the one in force.
    pub(crate) fn fetch_if_newer(self: &Rc<Self>, member: &Member) {
        if member.revision <= self.revision() || self.is_fetching.get() {
            return;
        }
        self.is_fetching.set(true);
        let (sync, member) = (self.clone(), member.clone());
        let task = async move {
            let sent = Millis::now();
            if sync.fetch(&member).await {
                sync.members.confirmation.confirm(sent);
            }
            sync.is_fetching.set(false);
        };
        compio::runtime::spawn(task).detach();
    }

    /// Fetches a revision from a peer, or from the store if the peer does not
    /// supply it.
    async fn fetch(&self, member: &Member) -> bool {
        let installed = self.revision();
        if self.fetch_above(member, installed).await || self.fetch_above(member, 0).await {
            return true;
        }
        let read = self.repository.read_head().await;
        match read {
            Ok((_, head)) => {
                self.install_head(head).await.is_ok() && self.revision() >= member.revision
            }
            Err(_) => false,
        }
    }

    async fn fetch_above(&self, member: &Member, above_revision: u64) -> bool {
        let mut client = self.members.client(member.address);
        let call = client.fetch_catalog(FetchCatalogRequest { above_revision });
        let Ok(Ok(reply)) = compio::time::timeout(FETCH_TIMEOUT.into(), call).await else {
            return false;
        };
        let reply = reply.into_inner();
        let Ok(bundle) = serde_json::from_slice::<Bundle>(&reply.catalog) else {
            return false;
        };
        let previous = self.catalog();
        match Catalog::build(bundle.head, &previous, |key| {
            bundle.services.get(key).cloned()
        }) {
            Ok(catalog) => {
                self.install(catalog);
                true
            }
            Err(_) => false,
        }
    }
}
