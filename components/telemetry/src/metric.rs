//! The names of all metrics, and the recorder that holds and renders them.

use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};

/// Names of the metrics; docs/METRICS.md gives the unit and meaning of each.
pub mod names {
    /// Time from the arrival of a search to its response, in seconds.
    pub const SEARCH_SECONDS: &str = "coltsfootgw_search_seconds";
    /// Time from the arrival of a request at a gateway to its response, by
    /// route and outcome, in seconds.
    pub const REQUEST_SECONDS: &str = "coltsfootgw_request_seconds";
    /// Time of one attempt at an upstream, by service and outcome, in seconds.
    pub const ATTEMPT_SECONDS: &str = "coltsfootgw_attempt_seconds";
    /// Requests in flight at a gateway.
    pub const IN_FLIGHT: &str = "coltsfootgw_in_flight";
    /// Time since the last response of the store, in seconds.
    pub const STORE_AGE_SECONDS: &str = "coltsfootgw_store_age_seconds";
    /// Upstreams by state.
    pub const UPSTREAMS: &str = "coltsfootgw_upstreams";
    /// Share of the requested shards that a response covers.
    pub const COVERAGE_RATIO: &str = "coltsfootgw_coverage_ratio";
    /// Refused requests, by reason; searches and bookings also by service.
    pub const REFUSALS_TOTAL: &str = "coltsfootgw_refusals_total";
    /// Sub-requests without hedges and retries.
    pub const SUBREQUESTS_TOTAL: &str = "coltsfootgw_subrequests_total";
    /// Sub-requests that were sent to upstreams, hedges and retries included.
    pub const SENDS_TOTAL: &str = "coltsfootgw_sends_total";
    /// Hedged sub-requests.
    pub const HEDGES_TOTAL: &str = "coltsfootgw_hedges_total";
    /// Retried sub-requests.
    pub const RETRIES_TOTAL: &str = "coltsfootgw_retries_total";
    /// Upstream responses that were dropped because they did not match the
    /// request.
    pub const MISMATCHES_TOTAL: &str = "coltsfootgw_mismatches_total";
    /// The configuration revision in force.
    pub const REVISION: &str = "coltsfootgw_revision";
    /// Age of the last confirmation of the revision, in seconds.
    pub const CONFIRMATION_AGE_SECONDS: &str = "coltsfootgw_confirmation_age_seconds";
    /// Ledger writes that were sent to the store.
    pub const LEDGER_WRITES_TOTAL: &str = "coltsfootgw_ledger_writes_total";
    /// Idempotency keys that were claimed.
    pub const LEDGER_CLAIMS_TOTAL: &str = "coltsfootgw_ledger_claims_total";
    /// Calls to the store, by operation.
    pub const STORE_CALLS_TOTAL: &str = "coltsfootgw_store_calls_total";
    /// Watches of the store that were repeated on a new connection.
    pub const STORE_REPEATS_TOTAL: &str = "coltsfootgw_store_repeats_total";
    /// Times that the store was restored from a backup.
    pub const STORE_RESTORES_TOTAL: &str = "coltsfootgw_store_restores_total";
    /// Open connections to upstreams.
    pub const UPSTREAM_CONNECTIONS: &str = "coltsfootgw_upstream_connections";
    /// Slots of upstreams in use.
    pub const SLOTS_USED: &str = "coltsfootgw_slots_used";
    /// Sub-requests that wait for a slot.
    pub const QUEUE_LENGTH: &str = "coltsfootgw_queue_length";
    /// Slots that waiting sub-requests got, by rank.
    pub const QUEUE_GRANTS_TOTAL: &str = "coltsfootgw_queue_grants_total";
    /// Waiting sub-requests that lost their place in a full queue to another workspace.
    pub const QUEUE_DISPLACED_TOTAL: &str = "coltsfootgw_queue_displaced_total";
    /// Requests in quarantine because they crash upstreams.
    pub const QUARANTINED: &str = "coltsfootgw_quarantined";
    /// Connections to upstreams that were lost while a request ran.
    pub const LOST_CONNECTIONS_TOTAL: &str = "coltsfootgw_lost_connections_total";
    /// Upstreams that left requests unanswered and accepted no connection.
    pub const SILENT_UPSTREAMS_TOTAL: &str = "coltsfootgw_silent_upstreams_total";
    /// Answers that were malformed or larger than allowed.
    pub const UNUSABLE_ANSWERS_TOTAL: &str = "coltsfootgw_unusable_answers_total";
    /// Requests that ran on an upstream when it ended.
    pub const CRASHES_TOTAL: &str = "coltsfootgw_crashes_total";
    /// Answers that asked this daemon to send nothing to an upstream for a while.
    pub const BACKOFFS_TOTAL: &str = "coltsfootgw_backoffs_total";
    /// Rate limits that upstreams named, each new value counted.
    pub const RATE_LIMITS_TOTAL: &str = "coltsfootgw_rate_limits_total";
    /// Sub-requests sent to upstreams with a rate limit.
    pub const LIMITED_SENDS_TOTAL: &str = "coltsfootgw_limited_sends_total";
    /// Upstreams that name a rate limit.
    pub const RATE_LIMITED_UPSTREAMS: &str = "coltsfootgw_rate_limited_upstreams";
    /// Upstreams that are cold and have a limit for that time.
    pub const COLD_UPSTREAMS: &str = "coltsfootgw_cold_upstreams";
    /// Failure domains to whose upstreams nothing is sent.
    pub const EVACUATED_DOMAINS: &str = "coltsfootgw_evacuated_domains";
    /// Whether no upstream can be reached from this daemon.
    pub const LINKS_LOST: &str = "coltsfootgw_links_lost";
    /// Checks of the links to the upstreams, by outcome.
    pub const LINK_CHECKS_TOTAL: &str = "coltsfootgw_link_checks_total";
    /// Requests handed to other daemons, by outcome.
    pub const PEER_FORWARDS_TOTAL: &str = "coltsfootgw_peer_forwards_total";
    /// Tokens of all quotas that this daemon holds.
    pub const QUOTA_TOKENS: &str = "coltsfootgw_quota_tokens";
    /// Messages to the allocators of quotas, by outcome.
    pub const QUOTA_GRANTS_TOTAL: &str = "coltsfootgw_quota_grants_total";
    /// Requests of workspaces with quotas, by what admitted them.
    pub const QUOTA_ADMISSIONS_TOTAL: &str = "coltsfootgw_quota_admissions_total";
    /// Tasks that panicked.
    pub const PANICS_TOTAL: &str = "coltsfootgw_panics_total";
    /// Bytes of control messages sent to peers.
    pub const CONTROL_BYTES_TOTAL: &str = "coltsfootgw_control_bytes_total";
}

/// Handle of the recorder, which holds the metrics of this process.
#[derive(Clone)]
pub struct Recorder(PrometheusHandle);

impl Recorder {
    /// Returns all metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        self.0.run_upkeep();
        self.0.render()
    }
}

const LATENCY_BUCKETS_SECONDS: [f64; 14] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.03, 0.05, 0.075, 0.1, 0.14, 0.2, 0.5, 1.0, 5.0,
];
const RATIO_BUCKETS: [f64; 7] = [0.0, 0.25, 0.5, 0.75, 0.9, 0.99, 1.0];

/// Installs the process-wide recorder.
///
/// # Errors
///
/// Fails if a recorder is already installed.
pub fn install() -> Result<Recorder, String> {
    let seconds = Matcher::Suffix("_seconds".into());
    let ratio = Matcher::Suffix("_ratio".into());
    PrometheusBuilder::new()
        .set_buckets_for_metric(seconds, &LATENCY_BUCKETS_SECONDS)
        .and_then(|b| b.set_buckets_for_metric(ratio, &RATIO_BUCKETS))
        .and_then(PrometheusBuilder::install_recorder)
        .map(Recorder)
        .map_err(|e| e.to_string())
}
