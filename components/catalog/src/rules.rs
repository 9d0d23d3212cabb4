//! Validation rules for declarations; each finding has the path of its field.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

use garde::{Path, Report};
use settings::Pass;
use store::VALUE_LIMIT_BYTES;

use crate::declaration::{Declarations, Service, Shard};
use crate::limits::connections_per_daemon;

const MAX_NAME_LENGTH: usize = 64;
const MAX_SERVICES: usize = 2_000;
const MAX_SHARDS: usize = 4_000;
// In addition to the slots, one connection polls the health and load endpoints.
const PROBE_CONNECTIONS: usize = 1;
const SIZE_WARNING_PERCENT: usize = 75;

/// Applies the rules of one pass to all services.
pub(crate) fn check(declarations: &Declarations, pass: Pass, root: &Path, report: &mut Report) {
    let services = root.join("services");
    let mut checker = Checker {
        pass,
        report,
        addresses: HashMap::new(),
    };
    checker.check_error(
        declarations.services.len() <= MAX_SERVICES,
        &services,
        || format!("at most {MAX_SERVICES} services can be declared"),
    );
    let mut names = HashSet::new();
    for (i, service) in declarations.services.iter().enumerate() {
        let path = services.join(i);
        checker.check_error(
            names.insert(service.name.as_str()),
            &path.join("name"),
            || format!("service `{}` is declared twice", service.name),
        );
        checker.check_service(service, &path);
    }
}

struct Checker<'a> {
    pass: Pass,
    report: &'a mut Report,
    addresses: HashMap<SocketAddr, &'a str>,
}

impl<'a> Checker<'a> {
    fn check_error(&mut self, holds: bool, path: &Path, message: impl FnOnce() -> String) {
        if self.pass == Pass::Errors && !holds {
            self.report
                .append(path.clone(), garde::Error::new(message()));
        }
    }

    fn check_warning(&mut self, holds: bool, path: &Path, message: impl FnOnce() -> String) {
        if self.pass == Pass::Warnings && !holds {
            self.report
                .append(path.clone(), garde::Error::new(message()));
        }
    }

    fn check_service(&mut self, service: &'a Service, path: &Path) {
        self.check_name(&service.name, &path.join("name"));
        self.check_name(&service.partitioning, &path.join("partitioning"));
        self.check_ranges(service, path);
        self.check_connections(service, path);
        self.check_upstreams(service, path);
        self.check_shards(service, path);
        self.check_size(service, path);
    }

    fn check_name(&mut self, name: &str, path: &Path) {
        let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
        let is_valid =
            !name.is_empty() && name.len() <= MAX_NAME_LENGTH && name.chars().all(allowed);
        self.check_error(is_valid, path, || {
            format!("must be 1 to {MAX_NAME_LENGTH} letters, digits, `-`, `_` or `.`")
        });
    }

    fn check_ranges(&mut self, service: &Service, path: &Path) {
        let percent = |value: u8| u64::from(value);
        self.check_range("deadline_ms", service.deadline_ms.0, 1, 60_000, path);
        self.check_range(
            "coverage_percent",
            percent(service.coverage_percent),
            1,
            100,
            path,
        );
        self.check_range(
            "retention_ms",
            service.retention_ms.0,
            10_000,
            3_600_000,
            path,
        );
        self.check_range("concurrency", service.concurrency as u64, 1, 100_000, path);
        self.check_range("queue", service.queue as u64, 0, 100_000, path);
        self.check_range("hedge_percent", percent(service.hedge_percent), 0, 50, path);
        self.check_range("retry_percent", percent(service.retry_percent), 0, 50, path);
        self.check_range("slots", service.slots as u64, 1, 10_000, path);
        self.check_range("connections", service.connections as u64, 1, 100_000, path);
    }

    fn check_range(&mut self, field: &str, value: u64, min: u64, max: u64, path: &Path) {
        self.check_error((min..=max).contains(&value), &path.join(field), || {
            format!("must be from {min} to {max}, not {value}")
        });
    }

    fn check_connections(&mut self, service: &Service, path: &Path) {
        let needed = service.slots + PROBE_CONNECTIONS;
        let half = connections_per_daemon(service);
        self.check_error(half >= needed, &path.join("connections"), || {
            format!(
                "half of {} connections can't serve {} slots and a probe; hint: allow at least {} connections",
                service.connections,
                service.slots,
                2 * needed
            )
        });
    }

    fn check_upstreams(&mut self, service: &'a Service, path: &Path) {
        let list = path.join("upstreams");
        self.check_error(!service.upstreams.is_empty(), &list, || {
            "has no upstreams".to_owned()
        });
        let mut names = HashSet::new();
        let referenced: HashSet<&str> = service
            .shards
            .iter()
            .flat_map(|s| &s.upstreams)
            .map(String::as_str)
            .collect();
        for (i, upstream) in service.upstreams.iter().enumerate() {
            let at = list.join(i);
            self.check_name(&upstream.name, &at.join("name"));
            self.check_name(&upstream.domain, &at.join("domain"));
            self.check_error(
                names.insert(upstream.name.as_str()),
                &at.join("name"),
                || format!("upstream `{}` is declared twice", upstream.name),
            );
            let other_service = self.addresses.insert(upstream.address, &service.name);
            self.check_error(other_service.is_none(), &at.join("address"), || {
                let name = other_service.unwrap_or_default();
                format!(
                    "address {} is used twice, also in service `{name}`",
                    upstream.address
                )
            });
            self.check_warning(
                referenced.contains(upstream.name.as_str()),
                &at.join("name"),
                || format!("no shard names upstream `{}`", upstream.name),
            );
        }
    }

    fn check_shards(&mut self, service: &Service, path: &Path) {
        let list = path.join("shards");
        let count = service.shards.len();
        self.check_error((1..=MAX_SHARDS).contains(&count), &list, || {
            format!("must have 1 to {MAX_SHARDS} shards, not {count}")
        });
        let domains: HashMap<&str, &str> = service
            .upstreams
            .iter()
            .map(|u| (u.name.as_str(), u.domain.as_str()))
            .collect();
        let mut names = HashSet::new();
        for (i, shard) in service.shards.iter().enumerate() {
            let at = list.join(i);
            self.check_name(&shard.name, &at.join("name"));
            self.check_error(names.insert(shard.name.as_str()), &at.join("name"), || {
                format!("shard `{}` is declared twice", shard.name)
            });
            self.check_replicas(shard, &domains, &at.join("upstreams"));
        }
    }

    fn check_replicas(&mut self, shard: &Shard, domains: &HashMap<&str, &str>, path: &Path) {
        let replicas = &shard.upstreams;
        self.check_error(!replicas.is_empty(), path, || {
            format!(
                "shard `{}` has no replicas; hint: name at least one upstream",
                shard.name
            )
        });
        let mut seen = HashSet::new();
        for (i, name) in replicas.iter().enumerate() {
            let at = path.join(i);
            self.check_error(domains.contains_key(name.as_str()), &at, || {
                format!("upstream `{name}` is not declared in this service")
            });
            self.check_error(seen.insert(name), &at, || {
                format!("upstream `{name}` is named twice")
            });
        }
        let replica_domains: HashSet<_> = replicas
            .iter()
            .filter_map(|name| domains.get(name.as_str()))
            .collect();
        self.check_warning(replicas.is_empty() || replica_domains.len() > 1, path, || {
            format!(
                "all replicas of shard `{}` are in one failure domain; hint: its loss takes the whole shard",
                shard.name
            )
        });
    }

    fn check_size(&mut self, service: &Service, path: &Path) {
        let size = serde_json::to_vec(service).map_or(usize::MAX, |json| json.len());
        self.check_error(size <= VALUE_LIMIT_BYTES, path, || {
            format!("takes {size} bytes in the store, more than {VALUE_LIMIT_BYTES}; hint: split the service")
        });
        let warning_size = VALUE_LIMIT_BYTES * SIZE_WARNING_PERCENT / 100;
        self.check_warning(size <= warning_size, path, || {
            format!(
                "takes {size} of the {VALUE_LIMIT_BYTES} bytes that the store holds for a service"
            )
        });
    }
}
