//! Hands searches to gateways with larger processors.

use std::net::SocketAddr;
use std::pin::pin;

use bytes::Bytes;
use clock::Millis;
use discovery::Directory;
use futures_util::future::{Either, select};
use http::{Request, Response};
use rand::seq::IndexedRandom;
use transport::Payload;
use upstreams::Ran;

use super::{PeerForwarder, Terms, attempts_left};
use crate::delegation::delegates;
use crate::refusal::{Cause, Refusal, Result};
use crate::routed_request::RoutedRequest;

/// A gateway that refuses searches, mostly because it has not got the newest configuration
/// yet or is at the limit of a route, is passed over for so long.
const REFUSAL_PAUSE: Millis = Millis(250);
/// A gateway that was lost is passed over for so long: each search that it is tried with
/// is at risk.
const LOSS_PAUSE: Millis = Millis(5_000);
/// After this many objectives without an answer it is checked whether the gateway is lost.
const OBJECTIVES: u64 = 2;
/// Any response within this time shows that a gateway is not lost.
const CHECK_TIMEOUT: Millis = Millis(250);
const CHECK_PATH: &str = "/v1/alive";
const CHECK_LIMIT_BYTES: usize = 64 * 1024;

impl PeerForwarder {
    /// Reads from the directory which gateways searches are handed to.
    pub(crate) fn update(&self, directory: &Directory) {
        *self.delegates.borrow_mut() = delegates(directory.instances(), &self.own);
    }

    /// Hands a search to a gateway with a larger processor; `None` if there is none, or if
    /// it did not take the search. All attempts go with it: the caller waits for one
    /// gateway, which needs them for hedges.
    pub(crate) async fn delegate(
        &self,
        request: &RoutedRequest,
    ) -> Option<Result<Response<Bytes>>> {
        let peer = self.choose_delegate()?;
        let terms = Terms {
            attempts: request.call.attempts.borrow().compact(),
            timeout: request.call.deadline.since(Millis::now()),
            refusal_pause: REFUSAL_PAUSE,
            failure_pause: LOSS_PAUSE,
        };
        let quiet = Millis(request.entry.route.objective.0 * OBJECTIVES);
        let handing = pin!(self.hand_over(peer, request, &terms));
        let result = match select(handing, pin!(self.wait_for_loss(peer, quiet))).await {
            Either::Left((result, _)) => result,
            Either::Right(((), _)) => {
                self.record_failure(peer, request, &terms);
                None
            }
        };
        match result {
            None if request.call.may_have_run.get() && attempts_left(request) == 0 => {
                Some(Err(lost(peer)))
            }
            result => result,
        }
    }

    fn choose_delegate(&self) -> Option<SocketAddr> {
        let now = Millis::now();
        let mut paused = self.paused.borrow_mut();
        paused.retain(|_, (_, until)| *until > now);
        let delegates = self.delegates.borrow();
        let ready = delegates.iter().filter(|a| !paused.contains_key(a));
        let ready: Vec<&SocketAddr> = ready.collect();
        ready.choose(&mut rand::rng()).map(|address| **address)
    }

    /// Waits until a gateway that should have answered responds to nothing any more. One
    /// that is slow, as when it waits for slow upstreams, keeps its searches.
    async fn wait_for_loss(&self, peer: SocketAddr, quiet: Millis) {
        loop {
            compio::time::sleep(quiet.into()).await;
            if !self.is_alive(peer).await {
                return;
            }
        }
    }

    /// Whether a gateway responds on a new connection; the others may have gone silent.
    async fn is_alive(&self, peer: SocketAddr) -> bool {
        let request = Request::get(CHECK_PATH).header(http::header::HOST, "peer");
        let Ok(request) = request.body(Payload::default()) else {
            return false;
        };
        let client = self.client(peer);
        let sent = client.send_anew(request, CHECK_LIMIT_BYTES, CHECK_TIMEOUT);
        sent.await.is_ok()
    }
}

/// Returns the refusal of a search that was lost with the gateway that ran it.
fn lost(peer: SocketAddr) -> Refusal {
    let detail = format!("{peer} took the search and did not answer");
    Refusal {
        ran: Ran::Unknown,
        ..Refusal::not_run(Cause::NoLinks, detail)
    }
}
