//! Workspaces with quotas in the configuration of a site.

use serde_json::{Value, json};

/// A workspace as the platform stores it.
#[derive(Clone, Copy, Debug)]
pub struct Tenant {
    /// Name.
    pub name: &'static str,
    /// The key of its callers.
    pub key: &'static str,
    /// Requests a second over all gateways, 0 for no limit.
    pub rate_per_s: f64,
    /// Requests beyond the rate that may come at once.
    pub burst_size: f64,
}

/// Returns a configuration with workspaces, so that callers need keys.
pub fn with_tenants(mut configuration: Value, tenants: &[Tenant]) -> Value {
    let tenant = |t: &Tenant| {
        json!({
            "name": t.name, "api-keys": [t.key], "rate-per-s": t.rate_per_s,
            "burst-size": t.burst_size,
        })
    };
    configuration["tenants"] = tenants.iter().map(tenant).collect();
    configuration
}
