//! The messages of this daemon to allocators, one at a time to each.

use std::net::SocketAddr;
use std::rc::Rc;

use clock::Millis;
use futures_channel::oneshot;
use http::{Method, Request, StatusCode, header};
use quota::{Admitted, Answer, Finished, Message};
use slog::{info, warn};
use telemetry::names;
use transport::{Client, Payload};

use super::admission::Admission;
use super::{QUOTA_LIMIT_BYTES, QUOTA_PATH, Quotas};

/// A message without an answer has failed after this time.
const TIMEOUT: Millis = Millis(1_000);
/// Shortest sleep of a task, so that it never runs without a pause.
const MIN_SLEEP: Millis = Millis(1);

/// Result of sending one message.
type Result<T, E = Failure> = std::result::Result<T, E>;

/// Why a message has no answer.
#[derive(Debug)]
enum Failure {
    /// The daemon is of a build without quotas.
    NoQuotas,
    Unanswered(String),
}

impl Quotas {
    /// Starts the task that sends messages to an allocator when they are due, or wakes it. A
    /// message to this daemon itself is handled at once.
    pub(super) fn start_task(self: &Rc<Self>, allocator: &Rc<str>) {
        if *allocator == self.me {
            self.ask_self();
        }
        let now = Millis::since_boot();
        let is_due = self.accounts.borrow().next_due(allocator, now).is_some();
        let mut tasks = self.tasks.borrow_mut();
        match tasks.get_mut(allocator) {
            Some(wake) => drop(wake.take()),
            None if is_due => {
                tasks.insert(allocator.clone(), None);
                let task = self.clone().run_task(allocator.clone());
                compio::runtime::spawn(task).detach();
            }
            None => {}
        }
    }

    /// Sends messages to an allocator until there is nothing to say.
    async fn run_task(self: Rc<Self>, allocator: Rc<str>) {
        loop {
            self.end_passes();
            let now = Millis::since_boot();
            let due = self.accounts.borrow().next_due(&allocator, now);
            match due {
                None => break,
                Some(due) if due > now => self.sleep(&allocator, due.since(now)).await,
                Some(_) if allocator == self.me => {
                    self.ask_self();
                    compio::time::sleep(MIN_SLEEP.into()).await;
                }
                Some(_) => self.ask(&allocator).await,
            }
        }
        self.tasks.borrow_mut().remove(&allocator);
    }

    /// Sleeps until a time has passed or the task is woken.
    async fn sleep(&self, allocator: &Rc<str>, time: Millis) {
        let (sender, receiver) = oneshot::channel::<()>();
        self.tasks
            .borrow_mut()
            .insert(allocator.clone(), Some(sender));
        let _ = compio::time::timeout(time.max(MIN_SLEEP).into(), receiver).await;
    }

    /// Chooses allocators anew once a daemon without quotas is passed over no more.
    fn end_passes(self: &Rc<Self>) {
        let has_lapsed = self.roster.borrow().has_lapsed(Millis::since_boot());
        if has_lapsed {
            self.assign();
        }
    }

    /// Exchanges a message that is due with this daemon itself.
    fn ask_self(self: &Rc<Self>) {
        let now = Millis::since_boot();
        let message = self.accounts.borrow_mut().begin(&self.me, now);
        let Some(message) = message else {
            return;
        };
        let answer = self.answer(&message);
        let mut accounts = self.accounts.borrow_mut();
        accounts.finish(&self.me, Some(&answer), now);
        drop(accounts);
        self.serve_waiting(&message, now);
    }

    /// Exchanges a message that is due with another daemon.
    async fn ask(self: &Rc<Self>, allocator: &Rc<str>) {
        let now = Millis::since_boot();
        let message = self.accounts.borrow_mut().begin(allocator, now);
        let Some(mut message) = message else {
            compio::time::sleep(MIN_SLEEP.into()).await;
            return;
        };
        message.without_quotas = self.roster.borrow().passed_over(now);
        let address = self.roster.borrow().address(allocator);
        let result = match address {
            Some(address) => self.send(address, &message).await,
            None => Err(Failure::Unanswered("it is not registered".to_owned())),
        };
        let now = Millis::since_boot();
        let mut accounts = self.accounts.borrow_mut();
        let finished = accounts.finish(allocator, result.as_ref().ok(), now);
        drop(accounts);
        count(&result);
        self.log_exchange(allocator, finished, &result);
        if let Err(Failure::NoQuotas) = result {
            self.roster.borrow_mut().pass_over(allocator, now);
            self.assign();
        }
        self.serve_waiting(&message, now);
    }

    async fn send(&self, address: SocketAddr, message: &Message) -> Result<Answer> {
        let unanswered = |detail: String| Failure::Unanswered(detail);
        let body = serde_json::to_vec(message).map_err(|e| unanswered(e.to_string()))?;
        let request = Request::builder()
            .method(Method::POST)
            .uri(QUOTA_PATH)
            .header(header::HOST, "peer")
            .header(header::CONTENT_TYPE, "application/json")
            .body(Payload::new(body.into()))
            .map_err(|e| unanswered(e.to_string()))?;
        let sent = self.client(address);
        let sent = sent.send(request, QUOTA_LIMIT_BYTES, TIMEOUT).await;
        let response = sent.map_err(|e| unanswered(e.to_string()))?;
        match response.status() {
            StatusCode::OK => {
                serde_json::from_slice(response.body()).map_err(|e| unanswered(e.to_string()))
            }
            StatusCode::CONFLICT => Ok(Answer::default()),
            StatusCode::NOT_FOUND => Err(Failure::NoQuotas),
            status => Err(unanswered(format!("unexpected status {status}"))),
        }
    }

    fn client(&self, address: SocketAddr) -> Rc<Client> {
        let mut clients = self.clients.borrow_mut();
        let create = || Rc::new(Client::with_idle_limit(address, 1));
        clients.entry(address).or_insert_with(create).clone()
    }

    /// Gives the tokens that have arrived to the requests that wait for them, and wakes those
    /// that can get none in time.
    fn serve_waiting(self: &Rc<Self>, message: &Message, now: Millis) {
        for request in &message.requests {
            let name = request.workspace.as_str();
            while let Some((name, waiter)) = self.next_waiter(name) {
                if !self.accounts.borrow_mut().take(&name, now) {
                    self.keep_waiting(&name, waiter, now);
                    break;
                }
                let admission = Admission::new(self, &name, Admitted::Granted);
                // The token returns if the request has ended meanwhile.
                drop(waiter.sender.send(admission));
            }
        }
    }

    fn next_waiter(&self, workspace: &str) -> Option<(Rc<str>, super::Waiter)> {
        let mut waiting = self.waiting.borrow_mut();
        let (name, queue) = waiting.get_key_value(workspace)?;
        let (name, is_empty) = (name.clone(), queue.is_empty());
        if is_empty {
            waiting.remove(&name);
            return None;
        }
        let waiter = waiting.get_mut(&name)?.pop_front()?;
        Some((name, waiter))
    }

    /// Lets the requests wait that may get a token later; dropping the others wakes them.
    fn keep_waiting(&self, name: &Rc<str>, first: super::Waiter, now: Millis) {
        let expected = now + self.accounts.borrow().token_wait(name, now);
        let mut waiting = self.waiting.borrow_mut();
        let queue = waiting.entry(name.clone()).or_default();
        queue.push_front(first);
        queue.retain(|w| w.until >= expected && !w.sender.is_canceled());
    }

    fn log_exchange(&self, allocator: &str, finished: Finished, result: &Result<Answer>) {
        let limiter = &self.fleet.shared().log_limiter;
        match (finished, result) {
            (Finished::AnsweredAgain, _) => limiter.write(|| {
                info!(self.log, "allocator of quotas answers again"; "allocator" => allocator);
            }),
            (Finished::Silent, Err(Failure::Unanswered(detail))) => limiter.write(|| {
                warn!(self.log, "allocator of quotas does not answer, using shares";
                    "allocator" => allocator, "error" => detail);
            }),
            (Finished::Silent, Err(Failure::NoQuotas)) => limiter.write(|| {
                info!(self.log, "daemon of a build without quotas passed over";
                    "daemon" => allocator);
            }),
            _ => {}
        }
    }
}

fn count(result: &Result<Answer>) {
    let outcome = match result {
        Ok(answer) if answer.grants.is_empty() => "not_allocator",
        Ok(answer) if answer.grants.iter().any(|g| g.granted > 0) => "granted",
        Ok(_) => "none",
        Err(_) => "failed",
    };
    metrics::counter!(names::QUOTA_GRANTS_TOTAL, "outcome" => outcome).increment(1);
}
