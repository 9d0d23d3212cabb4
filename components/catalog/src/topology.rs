//! The indexed form of a revision that daemons use.

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

use serde::{Deserialize, Serialize};

use crate::declaration::{Declarations, Service};
use crate::group::{Group, divide};
use crate::head::Head;

/// A revision with the services that changed above the receiver's revision.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Bundle {
    /// The head of the revision.
    pub head: Head,
    /// Services by the keys of their values in the store.
    pub services: BTreeMap<String, Rc<Service>>,
}

/// All services at one revision.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    /// The head of the revision.
    pub head: Head,
    /// The services by name.
    pub services: BTreeMap<String, Rc<Topology>>,
}

impl Catalog {
    /// Builds a catalog from a head and from `find`, which returns the service
    /// stored at a key; unchanged services are reused from `previous`.
    ///
    /// # Errors
    ///
    /// Returns the key of the first service for which `find` returns `None`.
    pub fn build(
        head: Head,
        previous: &Catalog,
        mut find: impl FnMut(&str) -> Option<Rc<Service>>,
    ) -> Result<Self, String> {
        let mut services = BTreeMap::new();
        for (name, entry) in &head.services {
            let unchanged = previous
                .services
                .get(name)
                .filter(|t| t.blob_key == entry.blob_key);
            let topology = match unchanged {
                Some(topology) => topology.clone(),
                None => {
                    let service = find(&entry.blob_key).ok_or_else(|| entry.blob_key.clone())?;
                    Rc::new(Topology::new(service, &entry.blob_key, entry.revision))
                }
            };
            services.insert(name.clone(), topology);
        }
        Ok(Self { head, services })
    }

    /// Returns the revision number; 0 before the first revision.
    pub fn revision(&self) -> u64 {
        self.head.revision
    }

    /// Returns the services that changed above a revision, with the head.
    pub fn bundle_above(&self, revision: u64) -> Bundle {
        let changed = self.services.values().filter(|t| t.revision > revision);
        let services = changed
            .map(|t| (t.blob_key.clone(), t.service.clone()))
            .collect();
        Bundle {
            head: self.head.clone(),
            services,
        }
    }

    /// Returns the declarations of all services.
    pub fn declarations(&self) -> Declarations {
        let services = self.services.values().map(|t| (*t.service).clone());
        Declarations {
            services: services.collect(),
        }
    }
}

/// A service with the indexes for planning requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Topology {
    /// The declaration.
    pub service: Rc<Service>,
    /// Key of the declaration in the store.
    pub blob_key: String,
    /// Revision in which the declaration last changed.
    pub revision: u64,
    /// Indexes of the upstreams of each shard.
    pub replicas: Vec<Vec<usize>>,
    /// The groups of upstreams that have the same owner.
    pub groups: Vec<Group>,
    /// Index of each shard's group.
    pub group_of: Vec<usize>,
    shard_index: HashMap<String, usize>,
}

impl Topology {
    /// Builds the indexes of a valid declaration.
    pub fn new(service: Rc<Service>, blob_key: &str, revision: u64) -> Self {
        let upstream_index: HashMap<&str, usize> = service
            .upstreams
            .iter()
            .enumerate()
            .map(|(i, u)| (u.name.as_str(), i))
            .collect();
        let indexes = |list: &[String]| {
            list.iter()
                .filter_map(|name| upstream_index.get(name.as_str()).copied())
                .collect()
        };
        let replicas: Vec<Vec<usize>> = service
            .shards
            .iter()
            .map(|s| indexes(&s.upstreams))
            .collect();
        let groups = divide(&service, &replicas);
        let mut group_of = vec![0; service.shards.len()];
        for (i, group) in groups.iter().enumerate() {
            group.shards.iter().for_each(|&shard| group_of[shard] = i);
        }
        let shard_index = service
            .shards
            .iter()
            .enumerate()
            .map(|(i, s)| (s.name.clone(), i))
            .collect();
        Self {
            service,
            blob_key: blob_key.to_owned(),
            revision,
            replicas,
            groups,
            group_of,
            shard_index,
        }
    }

    /// Returns the index of a shard.
    pub fn find_shard(&self, name: &str) -> Option<usize> {
        self.shard_index.get(name).copied()
    }

    /// Returns the key that is hashed to choose the owner of a group.
    pub fn group_key(&self, group: usize) -> String {
        format!("{}/{group}", self.service.name)
    }

    /// Returns the failure domain that has the most upstreams of a group.
    pub fn group_domain(&self, group: usize) -> &str {
        let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
        for &upstream in &self.groups[group].upstreams {
            *counts
                .entry(self.service.upstreams[upstream].domain.as_str())
                .or_default() += 1;
        }
        counts
            .into_iter()
            .max_by_key(|(_, count)| *count)
            .map_or("", |(domain, _)| domain)
    }
}
