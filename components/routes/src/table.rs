//! The routing table, which finds the route of a request.

use std::collections::HashMap;
use std::rc::Rc;

use crate::configuration::{Configuration, Limits, Route, ServiceLimits};
use crate::split::Splitter;
use crate::workspace::{KeyDigest, Workspace, Workspaces};

/// A configuration, indexed by host and path prefix.
#[derive(Debug, Default)]
pub struct Table {
    /// Version of the configuration.
    pub version: u64,
    /// Limits on callers' requests and connections.
    pub limits: Limits,
    services: HashMap<String, ServiceLimits>,
    hosts: HashMap<String, HashMap<String, Rc<Entry>>>,
    workspaces: Option<Workspaces>,
}

/// A route with the state of its traffic split.
#[derive(Debug)]
pub struct Entry {
    /// The route.
    pub route: Route,
    /// Chooses the service of each request if the route's target is a split.
    pub splitter: Splitter,
}

impl Table {
    /// Builds the table of a configuration.
    pub fn new(configuration: &Configuration) -> Self {
        let mut hosts: HashMap<String, HashMap<String, Rc<Entry>>> = HashMap::new();
        for route in &configuration.routes {
            let prefixes = hosts.entry(route.host.to_ascii_lowercase()).or_default();
            let entry = Entry {
                route: route.clone(),
                splitter: Splitter::default(),
            };
            prefixes.insert(route.prefix.clone(), Rc::new(entry));
        }
        let services = configuration.services.iter();
        Self {
            version: configuration.version,
            limits: configuration.limits,
            services: services.map(|(name, s)| (name.clone(), *s)).collect(),
            hosts,
            workspaces: configuration.workspaces.as_deref().map(Workspaces::new),
        }
    }

    /// Whether callers identify themselves by keys, on routes that are not public.
    pub fn requires_keys(&self) -> bool {
        self.workspaces.is_some()
    }

    /// Returns the workspace that holds a key.
    pub fn find_workspace(&self, key: &KeyDigest) -> Option<Rc<Workspace>> {
        self.workspaces.as_ref()?.by_key(key).cloned()
    }

    /// Returns the workspace of a name.
    pub fn workspace(&self, name: &str) -> Option<Rc<Workspace>> {
        self.workspaces.as_ref()?.by_name(name).cloned()
    }

    /// Returns the route of `host` with the longest prefix that matches `path`;
    /// a port in `host` is ignored.
    pub fn find(&self, host: &str, path: &str) -> Option<Rc<Entry>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let prefixes = self.hosts.get(&name.to_ascii_lowercase())?;
        let slashes = path.rmatch_indices('/');
        slashes
            .filter_map(|(slash, _)| prefixes.get(&path[..=slash]))
            .next()
            .cloned()
    }

    /// Returns all routes, in no particular order.
    pub fn routes(&self) -> impl Iterator<Item = &Route> {
        self.hosts
            .values()
            .flat_map(HashMap::values)
            .map(|e| &e.route)
    }

    /// Returns the limits of a service.
    pub fn service_limits(&self, name: &str) -> Option<ServiceLimits> {
        self.services.get(name).copied()
    }
}
