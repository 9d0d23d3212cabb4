//! The requests in flight at a gateway, as they are logged.

use clock::Millis;

/// The requests in flight at a gateway.
pub(crate) type InFlight = transport::InFlight<InFlightRequest>;

/// A request in flight.
#[derive(Clone, Debug)]
pub(crate) struct InFlightRequest {
    /// Identifier of the request; empty if it has none.
    pub(crate) id: String,
    /// Name of the route; empty if none matches.
    pub(crate) route: String,
    /// Time of its arrival.
    pub(crate) arrived: Millis,
}
