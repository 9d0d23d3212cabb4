//! Fleets of daemons that share the quota of one workspace, simulated without a network.

#[path = "fleets/failures.rs"]
mod failures;
#[path = "fleets/fleet.rs"]
mod fleet;
#[path = "fleets/rule.rs"]
mod rule;
#[path = "fleets/steady.rs"]
mod steady;
