//! Exit codes and the errors of commands.

use std::process::ExitCode;

use snafu::Snafu;

/// Result of a command.
pub(crate) type Result<T, E = Error> = std::result::Result<T, E>;

/// Exit code of a command; scripts match on the number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Code {
    /// The command succeeded.
    Success = 0,
    /// The command failed for a reason without a code of its own.
    Failure = 1,
    /// A file has errors.
    Findings = 3,
    /// Another change was committed first, or a drain was not accepted.
    Conflict = 4,
    /// A daemon or the store did not answer, or a daemon returned an error
    /// status; the command may be retried.
    Unavailable = 5,
    /// The answer to a search or booking has an error status.
    Refused = 6,
}

impl From<Code> for ExitCode {
    fn from(code: Code) -> Self {
        ExitCode::from(code as u8)
    }
}

/// Why a command failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum Error {
    /// A file has errors.
    #[snafu(display("{source}"))]
    Findings {
        /// All findings.
        source: settings::Findings,
    },
    /// A file could not be read.
    #[snafu(display("could not read {path}: {source}"))]
    Read {
        /// The file.
        path: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The async runtime could not be started.
    #[snafu(display("could not start the async runtime: {source}"))]
    Runtime {
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The daemon could not run.
    #[snafu(display("{source}"))]
    Daemon {
        /// Error of the daemon.
        source: daemon::Error,
    },
    /// The platform's settings file can't be used.
    #[snafu(display("{source}"))]
    Platform {
        /// The error and its location in the file.
        source: platform::Error,
    },
    /// The gateway could not run.
    #[snafu(display("{source}"))]
    Gateway {
        /// Error of the gateway.
        source: gateway::Error,
    },
    /// An operator call to a daemon failed.
    #[snafu(display("the daemon at {address} answered: {detail}"))]
    Call {
        /// The daemon's address.
        address: String,
        /// Message of the gRPC status, or its code if the message is empty.
        detail: String,
    },
    /// The metrics recorder could not be installed.
    #[snafu(display("could not install the metrics recorder: {detail}"))]
    Metrics {
        /// Error of the recorder.
        detail: String,
    },
    /// The interface for callers returned no answer.
    #[snafu(display("{source}"))]
    Transport {
        /// Error of the transport.
        source: transport::Error,
    },
    /// An argument is not valid in a request.
    #[snafu(display("{detail}"))]
    Argument {
        /// The argument and why it is not valid.
        detail: String,
    },
}

impl Error {
    /// The exit code for this error.
    pub(crate) fn code(&self) -> Code {
        match self {
            Error::Findings { .. } | Error::Platform { .. } => Code::Findings,
            Error::Call { .. } | Error::Transport { .. } => Code::Unavailable,
            _ => Code::Failure,
        }
    }
}
