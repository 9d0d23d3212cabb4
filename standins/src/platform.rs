//! Stand-ins for the platform: its store, its upstreams, whole sites, and the
//! gateway processes that tests start on a site.

pub mod crash_load;
pub mod crash_site;
pub mod endpoints;
mod full_queue;
pub mod gateway;
pub mod keys;
pub mod link;
pub mod paced_load;
pub mod parted;
pub mod peer;
pub mod quotas;
pub mod repeating;
pub mod silent_link;
pub mod site;
pub mod store;
pub mod unbounded;
pub mod upstream;
