//! Exit codes and the errors of commands.

use std::process::ExitCode;

use snafu::Snafu;

/// Result of a command.
pub(crate) type Result<T, E = Error> = std::result::Result<T, E>;

/// How a command ended; scripts match on the number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Code {
    /// Done.
    Success = 0,
    /// Something failed that no other code names.
    Failure = 1,
    /// A file has errors.
    Findings = 3,
    /// Another change came first.
    Conflict = 4,
    /// A daemon or the store did not answer; try again.
    Unavailable = 5,
    /// The request was refused.
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
        /// What the operating system said.
        source: std::io::Error,
    },
    /// The runtime could not be started.
    #[snafu(display("could not start the runtime: {source}"))]
    Runtime {
        /// What the operating system said.
        source: std::io::Error,
    },
    /// The daemon could not run.
    #[snafu(display("{source}"))]
    Daemon {
        /// What the daemon said.
        source: daemon::Error,
    },
    /// The platform's settings file can't be used.
    #[snafu(display("{source}"))]
    Platform {
        /// The place and what is wrong there.
        source: platform::Error,
    },
    /// The gateway could not run.
    #[snafu(display("{source}"))]
    Gateway {
        /// What the gateway said.
        source: gateway::Error,
    },
    /// The daemon answered an operator's call with an error.
    #[snafu(display("the daemon at {address} answered: {detail}"))]
    Call {
        /// The daemon's address.
        address: String,
        /// What it said.
        detail: String,
    },
    /// The metrics recorder could not be installed.
    #[snafu(display("could not install the metrics recorder: {detail}"))]
    Metrics {
        /// What the recorder said.
        detail: String,
    },
    /// The caller interface gave no answer.
    #[snafu(display("{source}"))]
    Transport {
        /// What was seen.
        source: transport::Error,
    },
    /// An argument can't be sent.
    #[snafu(display("{detail}"))]
    Argument {
        /// What is wrong with it.
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
