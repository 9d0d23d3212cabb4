//! Commits revisions to the store and reads them back.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use clock::Millis;
use garde::Validate;
use snafu::ResultExt;
use store::{Entry, Store, Swap};
use xxhash_rust::xxh3::xxh3_128;

use crate::change::{MAX_COMMIT_CHANGES, changes_between};
use crate::declaration::{Declarations, Service};
use crate::error::{Error, MalformedSnafu, Result, StoreSnafu};
use crate::head::{Commit, HEAD_KEY, Head, ServiceRef};
use crate::topology::Catalog;

const COMMIT_ATTEMPTS: u32 = 8;
const COMMIT_RETRY_DELAY: Millis = Millis(250);

/// A change that an operator requests.
#[derive(Clone, Debug)]
pub struct Proposal<'a> {
    /// The revision that the change is based on.
    pub base_revision: u64,
    /// Identifier of the change; a repeated one is not committed twice.
    pub operation_id: &'a str,
    /// The services to add or replace.
    pub declarations: &'a Declarations,
    /// Whether services that are not in `declarations` are removed.
    pub prune: bool,
}

/// The outcome of committing a proposal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The change is committed as this revision.
    Committed(Commit),
    /// The declarations are already in force at this revision.
    Unchanged(u64),
    /// Another change was committed first; nothing was committed.
    Conflict {
        /// The latest committed revision.
        revision: u64,
        /// What changed since the base revision.
        changes: Vec<String>,
    },
    /// The merged declarations violate rules; nothing was committed.
    Invalid(Vec<String>),
    /// The store stopped responding after the write was sent; retry with the
    /// same operation identifier.
    Unknown,
}

/// Access to the committed revisions in the store.
pub struct Repository {
    store: Rc<dyn Store>,
    cache: RefCell<HashMap<String, Rc<Service>>>,
}

impl Repository {
    /// Returns a repository that uses `store`.
    pub fn new(store: Rc<dyn Store>) -> Self {
        Self {
            store,
            cache: RefCell::default(),
        }
    }

    /// Reads the head with its version in the store.
    ///
    /// # Errors
    ///
    /// Fails if the store fails or the head is malformed.
    pub async fn read_head(&self) -> Result<(u64, Head)> {
        let entry = self.store.get(HEAD_KEY).await.context(StoreSnafu)?;
        decode_head(entry)
    }

    /// Waits for a head whose version in the store is above `after`, at most for
    /// `wait`.
    ///
    /// # Errors
    ///
    /// Fails if the store fails or the head is malformed.
    pub async fn watch_head(&self, after: u64, wait: Millis) -> Result<Option<(u64, Head)>> {
        let entry = self
            .store
            .watch(HEAD_KEY, after, wait)
            .await
            .context(StoreSnafu)?;
        entry.map(|e| decode_head(Some(e))).transpose()
    }

    /// Builds the catalog of a head, and reads the services that are not in
    /// `previous` from the store.
    ///
    /// # Errors
    ///
    /// Fails if the store fails, or if a service is missing or malformed there.
    pub async fn load(&self, head: Head, previous: &Catalog) -> Result<Catalog> {
        self.evict_unused(&head);
        for entry in head.services.values() {
            let is_known = previous
                .services
                .values()
                .any(|t| t.blob_key == entry.blob_key);
            if !is_known && !self.cache.borrow().contains_key(&entry.blob_key) {
                let service = self.read_service(&entry.blob_key).await?;
                self.cache
                    .borrow_mut()
                    .insert(entry.blob_key.clone(), service);
            }
        }
        let cache = self.cache.borrow();
        Catalog::build(head, previous, |key| cache.get(key).cloned())
            .map_err(|key| Error::Missing { key })
    }

    fn evict_unused(&self, head: &Head) {
        let mut cache = self.cache.borrow_mut();
        cache.retain(|key, _| head.services.values().any(|entry| entry.blob_key == *key));
    }

    async fn read_service(&self, key: &str) -> Result<Rc<Service>> {
        let entry = self.store.get(key).await.context(StoreSnafu)?;
        let entry = entry.ok_or_else(|| Error::Missing {
            key: key.to_owned(),
        })?;
        serde_json::from_str(&entry.value)
            .context(MalformedSnafu { key })
            .map(Rc::new)
    }

    /// Commits a proposal with one compare-and-swap on the head.
    ///
    /// # Errors
    ///
    /// Fails if the store fails before a write of the head is sent, or if a
    /// stored value is missing or malformed.
    pub async fn commit(&self, proposal: &Proposal<'_>) -> Result<Outcome> {
        let (version, head) = self.read_head().await?;
        if let Some(commit) = head.find_operation(proposal.operation_id) {
            return Ok(Outcome::Committed(commit.clone()));
        }
        if head.revision != proposal.base_revision {
            return Ok(conflict(&head, proposal.base_revision));
        }
        let catalog = self.load(head, &Catalog::default()).await?;
        let old = catalog.declarations();
        let new = merge(&old, proposal.declarations, proposal.prune);
        if let Err(report) = new.validate_with(&settings::Pass::Errors) {
            let lines = report.iter().map(|(path, e)| format!("{path}: {e}"));
            return Ok(Outcome::Invalid(lines.collect()));
        }
        let mut changes = changes_between(&old, &new);
        if changes.is_empty() {
            return Ok(Outcome::Unchanged(catalog.revision()));
        }
        changes.truncate(MAX_COMMIT_CHANGES);
        let head = self.write_services(&catalog.head, &new).await?;
        self.swap_head(version, head, proposal, changes).await
    }

    /// Stores each changed service and returns the head that refers to them.
    async fn write_services(&self, old: &Head, declarations: &Declarations) -> Result<Head> {
        let revision = old.revision + 1;
        let mut head = Head {
            revision,
            services: Default::default(),
            history: old.history.clone(),
        };
        for service in &declarations.services {
            let json =
                serde_json::to_string(service).context(MalformedSnafu { key: &service.name })?;
            let digest = xxh3_128(json.as_bytes());
            let blob_key = format!("service/{}/{digest:032x}", service.name);
            let unchanged = old
                .services
                .get(&service.name)
                .filter(|entry| entry.blob_key == blob_key);
            let entry = match unchanged {
                Some(entry) => entry.clone(),
                None => {
                    // The key contains the digest of the value, so after a conflict
                    // the same value is already stored.
                    self.store
                        .swap(&blob_key, 0, &json)
                        .await
                        .context(StoreSnafu)?;
                    ServiceRef { revision, blob_key }
                }
            };
            head.services.insert(service.name.clone(), entry);
        }
        Ok(head)
    }

    async fn swap_head(
        &self,
        version: u64,
        mut head: Head,
        proposal: &Proposal<'_>,
        changes: Vec<String>,
    ) -> Result<Outcome> {
        let commit = Commit {
            revision: head.revision,
            committed_ms: Millis::wall(),
            operation_id: proposal.operation_id.to_owned(),
            changes,
        };
        head.push_commit(commit.clone());
        let json = serde_json::to_string(&head).context(MalformedSnafu { key: HEAD_KEY })?;
        let mut may_be_written = false;
        for _ in 0..COMMIT_ATTEMPTS {
            match self.store.swap(HEAD_KEY, version, &json).await {
                Ok(Swap::Written(_)) => return Ok(Outcome::Committed(commit)),
                // A retry conflicts with an earlier attempt whose response was
                // lost, so the history of the head decides the outcome.
                Ok(Swap::Conflict) => return self.resolve_conflict(proposal).await,
                Err(source @ store::Error::TooLarge { .. }) => return Err(Error::Store { source }),
                Err(source @ store::Error::Unavailable { .. }) if !may_be_written => {
                    return Err(Error::Store { source });
                }
                Err(_) => may_be_written = true,
            }
            compio::time::sleep(COMMIT_RETRY_DELAY.into()).await;
        }
        Ok(Outcome::Unknown)
    }

    async fn resolve_conflict(&self, proposal: &Proposal<'_>) -> Result<Outcome> {
        for _ in 0..COMMIT_ATTEMPTS {
            if let Ok((_, head)) = self.read_head().await {
                return Ok(match head.find_operation(proposal.operation_id) {
                    Some(commit) => Outcome::Committed(commit.clone()),
                    None => conflict(&head, proposal.base_revision),
                });
            }
            compio::time::sleep(COMMIT_RETRY_DELAY.into()).await;
        }
        Ok(Outcome::Unknown)
    }
}

fn decode_head(entry: Option<Entry>) -> Result<(u64, Head)> {
    match entry {
        None => Ok((0, Head::default())),
        Some(entry) => {
            let head =
                serde_json::from_str(&entry.value).context(MalformedSnafu { key: HEAD_KEY })?;
            Ok((entry.version, head))
        }
    }
}

fn conflict(head: &Head, base: u64) -> Outcome {
    let changes = head.commits_above(base).flat_map(|c| {
        let revision = c.revision;
        c.changes
            .iter()
            .map(move |line| format!("revision {revision}: {line}"))
    });
    Outcome::Conflict {
        revision: head.revision,
        changes: changes.collect(),
    }
}

/// Returns the declarations that result from applying `new` to `old`.
///
/// Services that are not in `new` are kept, unless `prune` is set.
pub fn merge(old: &Declarations, new: &Declarations, prune: bool) -> Declarations {
    let is_kept = |s: &&Service| !prune && !new.services.iter().any(|n| n.name == s.name);
    let mut services: Vec<Service> = old.services.iter().filter(is_kept).cloned().collect();
    services.extend(new.services.iter().cloned());
    services.sort_by(|a, b| a.name.cmp(&b.name));
    Declarations { services }
}
