//! Limits that are derived from a declaration.

use crate::declaration::Service;

/// Returns the maximum number of connections that one daemon opens to one
/// upstream.
///
/// Two daemons can act as owners of the same upstream for a short time, so
/// each is limited to half of the upstream's connections.
pub fn connections_per_daemon(service: &Service) -> usize {
    service.connections / 2
}
