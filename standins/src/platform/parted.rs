//! Gateways that reach no upstream.

use std::time::Duration;

use super::gateway::{Gateway, PROPAGATION, start_gateway_at};
use super::link::{LinkState, Links};
use super::site::READ;
use crate::fleet::wait_until;

/// Time within which lost links are noticed.
const LOSS_TIME: Duration = Duration::from_secs(3);

/// Starts a gateway, closes its links to the upstreams and waits until it has noticed.
pub async fn start_parted(links: &Links) -> Gateway {
    let gateway = start_gateway_at(links.store_address, &[]).await;
    wait_until("the gateway is ready", PROPAGATION, async || {
        gateway.is_ready().await
    })
    .await;
    links.set(LinkState::Closed).await;
    wait_until("the links are lost", LOSS_TIME, async || {
        // Finds out that the links are lost.
        gateway.get(&format!("{READ}0"), "probe").await;
        let metrics = gateway.metrics("/metrics").await;
        metrics.contains("coltsfootgw_links_lost 1")
    })
    .await;
    gateway
}
