//! Peers, which receive the directory and stand in for the store while it does
//! not answer.

use std::net::SocketAddr;
use std::rc::Rc;

use clock::Millis;
use futures_channel::oneshot;
use rand::RngExt;
use rand::seq::IndexedRandom;
use slog::{debug, info};

use super::{Follower, RELAY_SILENCE, WATCH_WAIT};
use crate::feed::Position;
use crate::relay::{PeerUpdate, RelayClient, RelayState};

/// Peers are polled if the store has not answered for longer.
const STORE_SILENCE: Millis = Millis(1_500);
const PEER_INTERVAL_MS: std::ops::Range<u64> = 300..500;

impl Follower {
    /// Returns what a peer at the position `after` needs to become current;
    /// waits at most `wait`, and no longer than one watch, for a change.
    pub async fn serve_peer(&self, after: Position, wait: Millis) -> PeerUpdate {
        if self.directory.borrow().position() <= after {
            let change = self.wait_for_change();
            let _ = compio::time::timeout(wait.min(WATCH_WAIT).into(), change).await;
        }
        let now = Millis::now();
        let directory = self.directory.borrow();
        let exchange = self.crash_exchange.borrow();
        PeerUpdate {
            update: directory.update_since(after),
            age: self.store_age(now),
            lapse_left: directory.lapse_left(now),
            crashes: exchange
                .as_ref()
                .map_or_else(Vec::new, |e| e.unwritten_crashes()),
        }
    }

    /// Returns the form of an update for a peer.
    pub fn relay_state(&self, update: PeerUpdate, accepts_deflated: bool) -> RelayState {
        RelayState::new(update, accepts_deflated.then_some(&self.compressor))
    }

    /// Returns a receiver that completes when the directory is updated.
    fn wait_for_change(&self) -> oneshot::Receiver<()> {
        let (sender, receiver) = oneshot::channel();
        let mut waiting = self.waiting_peers.borrow_mut();
        waiting.retain(|peer| !peer.is_canceled());
        waiting.push(sender);
        receiver
    }

    /// Polls peers while the store does not answer, until the task is dropped.
    pub async fn follow_peers(self: Rc<Self>) {
        loop {
            let delay = Millis(rand::rng().random_range(PEER_INTERVAL_MS));
            compio::time::sleep(delay.into()).await;
            self.expire();
            let silence = match self.watcher.borrow().is_some() {
                true => RELAY_SILENCE,
                false => STORE_SILENCE,
            };
            if self.store_age(Millis::now()) > silence {
                self.poll_peer().await;
            }
        }
    }

    async fn poll_peer(&self) {
        let Some(address) = self.choose_peer() else {
            return;
        };
        let after = self.directory.borrow().position();
        // The answer may wait in the socket while this daemon is frozen.
        let began = Millis::since_boot();
        let result = RelayClient::new(address).poll(after, Millis::ZERO).await;
        let is_reached = result.is_ok();
        self.reach
            .borrow_mut()
            .record(is_reached, Millis::since_boot());
        match result {
            Ok(update) if self.is_outdated(&update) => {
                debug!(self.log, "peer is in an older epoch"; "peer" => %address,
                    "epoch" => update.position().epoch);
            }
            Ok(update) => {
                self.record_current(began - update.age);
                self.apply_update(update);
                let to = self.directory.borrow().position();
                if to > after {
                    info!(self.log, "directory updated from a peer"; "peer" => %address,
                        "epoch" => to.epoch, "from_revision" => after.revision,
                        "to_revision" => to.revision);
                    self.is_loaded.set(true);
                }
            }
            Err(e) => debug!(self.log, "peer not reached"; "peer" => %address, "error" => %e),
        }
    }

    fn choose_peer(&self) -> Option<SocketAddr> {
        let directory = self.directory.borrow();
        let mut peers: Vec<SocketAddr> = directory.instances().map(|i| i.address).collect();
        peers.extend(self.seeds.borrow().iter());
        peers.retain(|address| *address != self.me);
        peers.choose(&mut rand::rng()).copied()
    }
}
