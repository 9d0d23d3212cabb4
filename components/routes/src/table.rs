//! Finds the route of a request.

use std::collections::HashMap;
use std::rc::Rc;

use crate::configuration::{Configuration, Limits, Route, ServiceLimits};
use crate::split::Splitter;

/// A configuration, indexed for look-ups.
#[derive(Debug, Default)]
pub struct Table {
    /// Version of the configuration.
    pub version: u64,
    /// Bounds on what callers may send.
    pub limits: Limits,
    services: HashMap<String, ServiceLimits>,
    hosts: HashMap<String, HashMap<String, Rc<Entry>>>,
}

/// A route with the state of its split.
#[derive(Debug)]
pub struct Entry {
    /// The route.
    pub route: Route,
    /// Deals requests to the services of a split.
    pub splitter: Splitter,
}

impl Table {
    /// Indexes a configuration.
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
        }
    }

    /// Finds the route with the longest prefix that begins `path`; a port in
    /// `host` is ignored.
    pub fn find(&self, host: &str, path: &str) -> Option<Rc<Entry>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let prefixes = self.hosts.get(&name.to_ascii_lowercase())?;
        let slashes = path.rmatch_indices('/');
        slashes
            .filter_map(|(at, _)| prefixes.get(&path[..=at]))
            .next()
            .cloned()
    }

    /// Returns all routes.
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
