//! Refusals: final answers that state whether the request ran and when to
//! retry.

use clock::Millis;
use snafu::Snafu;
use upstreams::{Failure, Ran, Reason, jittered_wait};

/// Result of this crate.
pub type Result<T, E = Refusal> = std::result::Result<T, E>;

/// The kind of a refusal; callers match on its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// The request is malformed.
    BadRequest,
    /// No such path.
    UnknownPath,
    /// The path does not allow the method.
    WrongMethod,
    /// The service is not declared.
    UnknownService,
    /// The body is larger than allowed.
    BodyTooLarge,
    /// The service takes no bookings.
    BookingsOff,
    /// There is no capacity to answer in time.
    Overloaded,
    /// Too few shards could be covered.
    CoverageTooLow,
    /// This daemon can't take requests now; others may.
    Unready,
    /// The request crashes upstreams.
    Quarantined,
    /// The key's time is outside the retention window.
    KeyOutsideWindow,
    /// The key was claimed before and the outcome is not known.
    KeyClaimed,
    /// The ledger can't take the claim now.
    LedgerUnavailable,
    /// The booking may have run, but there is no answer.
    OutcomeUnknown,
    /// The booking did not run.
    NotRun,
    /// The upstream refused the booking.
    Rejected,
}

impl Kind {
    /// Returns the name that callers see.
    pub fn name(self) -> &'static str {
        match self {
            Kind::BadRequest => "bad-request",
            Kind::UnknownPath => "unknown-path",
            Kind::WrongMethod => "wrong-method",
            Kind::UnknownService => "unknown-service",
            Kind::BodyTooLarge => "body-too-large",
            Kind::BookingsOff => "bookings-off",
            Kind::Overloaded => "overloaded",
            Kind::CoverageTooLow => "coverage-too-low",
            Kind::Unready => "unready",
            Kind::Quarantined => "quarantined",
            Kind::KeyOutsideWindow => "key-outside-window",
            Kind::KeyClaimed => "key-claimed",
            Kind::LedgerUnavailable => "ledger-unavailable",
            Kind::OutcomeUnknown => "outcome-unknown",
            Kind::NotRun => "not-run",
            Kind::Rejected => "rejected",
        }
    }

    /// Returns the HTTP status of the answer.
    pub fn status(self) -> u16 {
        match self {
            Kind::BadRequest | Kind::KeyOutsideWindow => 400,
            Kind::UnknownPath | Kind::UnknownService | Kind::BookingsOff => 404,
            Kind::WrongMethod => 405,
            Kind::KeyClaimed => 409,
            Kind::BodyTooLarge => 413,
            Kind::Quarantined | Kind::Rejected => 422,
            Kind::OutcomeUnknown => 502,
            Kind::Overloaded
            | Kind::CoverageTooLow
            | Kind::Unready
            | Kind::LedgerUnavailable
            | Kind::NotRun => 503,
        }
    }
}

/// A final answer without a result.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{}: {detail}", kind.name()))]
pub struct Refusal {
    /// The kind of the refusal.
    pub kind: Kind,
    /// Whether the request ran.
    pub ran: Ran,
    /// What happened, as human-readable text.
    pub detail: String,
    /// Delay before a retry; `None` if a retry would not help.
    pub retry_after: Option<Millis>,
}

impl Refusal {
    /// Refuses a request that did not run and would be refused again.
    pub fn invalid(kind: Kind, detail: impl Into<String>) -> Self {
        Self {
            kind,
            ran: Ran::No,
            detail: detail.into(),
            retry_after: None,
        }
    }

    /// Refuses a request that did not run and may be retried.
    pub fn not_run(kind: Kind, detail: impl Into<String>, retry_after: Millis) -> Self {
        Self {
            kind,
            ran: Ran::No,
            detail: detail.into(),
            retry_after: Some(retry_after),
        }
    }

    /// Refuses a request because of a sub-request's failure.
    pub(crate) fn from_failure(failure: &Failure, fallback: Kind) -> Self {
        let kind = match failure.reason {
            Reason::Overloaded => Kind::Overloaded,
            Reason::Quarantined => Kind::Quarantined,
            _ => fallback,
        };
        let detail = match failure.reason {
            Reason::Overloaded => "no slot would be free before the deadline".to_owned(),
            Reason::Quarantined => "upstreams crashed while they ran this request".to_owned(),
            reason => format!("the upstreams gave no answer: {}", reason.name()),
        };
        Self {
            kind,
            ran: failure.ran,
            detail,
            retry_after: Some(failure.retry_after.max(jittered_wait(0.0))),
        }
    }
}
