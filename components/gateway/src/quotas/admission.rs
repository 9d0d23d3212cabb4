//! The admission of a request by the quota of its workspace.

use std::rc::Rc;

use clock::Millis;
use futures_channel::oneshot;
use quota::{Admitted, Decision, Failure};
use routes::Workspace;
use telemetry::names;

use super::Quotas;
use crate::refusal::{Cause, Refusal, Result};

/// A request waits for a token for this part of its objective, and at least for the time in
/// which a connection to another failure domain is opened and a message is answered.
const PATIENCE_DIVISOR: u64 = 10;
const MIN_PATIENCE: Millis = Millis(15);
/// Callers that are refused are spread over at least this time.
const RETURN_SPREAD: Millis = Millis(200);

/// A request that waits for a token.
pub(super) struct Waiter {
    pub(super) until: Millis,
    pub(super) sender: oneshot::Sender<Admission>,
}

/// The admission of a request. Its token returns to the daemon when it is dropped, unless
/// [`Admission::spend`] was called.
pub(crate) struct Admission {
    /// `None` if the workspace has no quota, or if the token was spent.
    token: Option<Token>,
}

struct Token {
    quotas: Rc<Quotas>,
    workspace: Rc<str>,
    by: Admitted,
}

impl Admission {
    /// Records that the request was sent and run.
    pub(crate) fn spend(mut self) {
        self.token = None;
    }

    fn unlimited() -> Self {
        Self { token: None }
    }

    pub(super) fn new(quotas: &Rc<Quotas>, workspace: &Rc<str>, by: Admitted) -> Self {
        let token = Token {
            quotas: quotas.clone(),
            workspace: workspace.clone(),
            by,
        };
        Self { token: Some(token) }
    }
}

impl Drop for Admission {
    fn drop(&mut self) {
        let Some(token) = self.token.take() else {
            return;
        };
        let mut accounts = token.quotas.accounts.borrow_mut();
        accounts.refund(&token.workspace, token.by, Millis::since_boot());
    }
}

/// Ends the wait of a request, also if its caller disconnects.
struct WaitGuard<'a>(&'a Quotas, &'a str);

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.0.accounts.borrow_mut().end_wait(self.1);
    }
}

impl Quotas {
    /// Admits a request of a workspace. It may wait for a tenth of its objective.
    ///
    /// # Errors
    ///
    /// Fails if the workspace is beyond its quota, or if its allocator does not answer and
    /// the share of this daemon is used up.
    pub(crate) async fn admit(
        self: &Rc<Self>,
        workspace: &Workspace,
        objective: Millis,
    ) -> Result<Admission> {
        if workspace.quota.is_none() {
            return Ok(Admission::unlimited());
        }
        let name = &workspace.name;
        let patience = Millis(objective.0 / PATIENCE_DIVISOR).max(MIN_PATIENCE);
        let now = Millis::since_boot();
        let decision = self.accounts.borrow_mut().admit(name, patience, now);
        let result = match decision {
            Decision::Ask(allocator) => self.wait(name, &allocator, patience).await,
            decision => self.conclude(name, decision),
        };
        if let Some(allocator) = self.allocator(name) {
            self.start_task(&allocator);
        }
        record(&result);
        result
    }

    fn allocator(&self, workspace: &str) -> Option<Rc<str>> {
        self.accounts.borrow().allocator(workspace)
    }

    /// Waits for a token of the allocator.
    async fn wait(
        self: &Rc<Self>,
        name: &Rc<str>,
        allocator: &Rc<str>,
        patience: Millis,
    ) -> Result<Admission> {
        let (sender, receiver) = oneshot::channel();
        let until = Millis::since_boot() + patience;
        let waiter = Waiter { until, sender };
        self.accounts.borrow_mut().begin_wait(name);
        let guard = WaitGuard(self, name);
        self.add_waiter(name, waiter);
        self.start_task(allocator);
        let waited = compio::time::timeout(patience.into(), receiver).await;
        drop(guard);
        let now = Millis::since_boot();
        let decision = match waited {
            Ok(Ok(admission)) => return Ok(admission),
            // The allocator has answered that there is none in time, or the quota is gone.
            Ok(Err(_)) => self.refuse_wait(name, now),
            Err(_) => self.accounts.borrow_mut().give_up(name, now),
        };
        self.conclude(name, decision)
    }

    fn add_waiter(&self, name: &Rc<str>, waiter: Waiter) {
        let mut waiting = self.waiting.borrow_mut();
        waiting.entry(name.clone()).or_default().push_back(waiter);
    }

    fn refuse_wait(&self, name: &str, now: Millis) -> Decision {
        let accounts = self.accounts.borrow();
        match accounts.has_quota(name) {
            true => Decision::Refused(Failure::OverQuota, accounts.token_wait(name, now)),
            false => Decision::Unlimited,
        }
    }

    fn conclude(self: &Rc<Self>, name: &Rc<str>, decision: Decision) -> Result<Admission> {
        match decision {
            Decision::Unlimited => Ok(Admission::unlimited()),
            Decision::Admitted(by) => Ok(Admission::new(self, name, by)),
            Decision::Refused(failure, wait) => Err(self.refusal(name, failure, wait)),
            Decision::Ask(_) => Err(self.refusal(name, Failure::OverQuota, Millis::ZERO)),
        }
    }

    fn refusal(&self, name: &str, failure: Failure, wait: Millis) -> Refusal {
        let allocator = self.allocator(name);
        let allocator = allocator.as_deref().unwrap_or("none");
        let detail = match failure {
            Failure::OverQuota => format!("workspace {name} is beyond its quota"),
            Failure::Silent => format!(
                "allocator {allocator} of workspace {name} does not answer, \
                 and the share of this daemon is used up"
            ),
            Failure::Unassigned => {
                format!("{allocator} is not known to be the allocator of workspace {name} yet")
            }
        };
        let spread = wait.max(RETURN_SPREAD).0;
        Refusal {
            retry_after: Some(wait + Millis(rand::random_range(1..=spread))),
            ..Refusal::not_run(Cause::OverQuota, detail)
        }
    }
}

fn record(result: &Result<Admission>) {
    let outcome = match result {
        Ok(Admission { token: None }) => return,
        Ok(Admission { token: Some(token) }) => match token.by {
            Admitted::Held => "held",
            Admitted::Granted => "granted",
            Admitted::Share => "share",
        },
        Err(_) => "refused",
    };
    metrics::counter!(names::QUOTA_ADMISSIONS_TOTAL, "outcome" => outcome).increment(1);
}
