//! Bounds that follow from a declaration.

use crate::declaration::Service;

/// Connections that one daemon opens to one upstream.
///
/// Two daemons may both believe that they own an upstream for a moment, so
/// each keeps to half of the limit.
pub fn connections_per_daemon(service: &Service) -> usize {
    service.connections / 2
}
