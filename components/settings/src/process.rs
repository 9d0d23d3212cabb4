//! The settings of one daemon.

use std::net::SocketAddr;
use std::path::Path;

use clock::Millis;
use garde::Validate;
use serde::{Deserialize, Serialize};
use telemetry::Level;

use crate::finding::{Finding, Findings, Severity};
use crate::reader::{Pass, Result, parse};

/// Which daemon sends sub-requests to an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Ownership {
    /// Each group of upstreams has one owner, which sends the sub-requests of all
    /// daemons.
    #[default]
    Rendezvous,
    /// Each daemon sends its own sub-requests; the baseline for measurements.
    Local,
}

/// The settings of one daemon.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[garde(context(Pass))]
pub struct Settings {
    /// Unique name of this instance.
    #[garde(custom(valid_name))]
    pub instance: String,
    /// Failure domain that this instance runs in.
    #[garde(custom(valid_name))]
    pub domain: String,
    /// Address that serves callers over HTTP.
    #[garde(skip)]
    pub callers: SocketAddr,
    /// Address that serves operators and other daemons over gRPC.
    #[garde(custom(differs_from(&self.callers)))]
    pub peers: SocketAddr,
    /// Address of the platform's key-value store.
    #[garde(skip)]
    pub store: SocketAddr,
    /// Address of the platform's list of instances.
    #[garde(skip)]
    pub instances: SocketAddr,
    /// Least severe level that is logged.
    #[serde(default)]
    #[garde(skip)]
    pub log_level: Level,
    /// Which daemon sends sub-requests to an upstream.
    #[serde(default)]
    #[garde(skip)]
    pub ownership: Ownership,
    /// Interval between heartbeats, in milliseconds.
    #[serde(default = "defaults::heartbeat_ms")]
    #[garde(custom(within(50, 10_000)))]
    pub heartbeat_ms: Millis,
    /// Time for which new requests are still served after SIGTERM, in milliseconds.
    #[serde(default = "defaults::grace_ms")]
    #[garde(custom(within(0, 120_000)))]
    pub grace_ms: Millis,
    /// Time for requests in flight to finish after the grace period, in milliseconds.
    #[serde(default = "defaults::drain_ms")]
    #[garde(custom(within(0, 600_000)))]
    pub drain_ms: Millis,
    /// Largest body of a caller's request, in bytes.
    #[serde(default = "defaults::body_bytes")]
    #[garde(range(min = 1024, max = 16_777_216))]
    pub body_bytes: usize,
}

mod defaults {
    use clock::Millis;

    pub(super) fn heartbeat_ms() -> Millis {
        Millis(500)
    }

    pub(super) fn grace_ms() -> Millis {
        Millis(5_000)
    }

    pub(super) fn drain_ms() -> Millis {
        Millis(30_000)
    }

    pub(super) fn body_bytes() -> usize {
        256 * 1024
    }
}

fn valid_name(name: &str, pass: &Pass) -> garde::Result {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    match pass {
        Pass::Errors if name.is_empty() || name.len() > 64 || !name.chars().all(allowed) => Err(
            garde::Error::new("must be 1 to 64 letters, digits, `-`, `_` or `.`"),
        ),
        _ => Ok(()),
    }
}

fn differs_from(other: &SocketAddr) -> impl FnOnce(&SocketAddr, &Pass) -> garde::Result + '_ {
    move |address, pass| match pass {
        Pass::Errors if address == other && address.port() != 0 => Err(garde::Error::new(
            "must differ from `callers`; hint: use another port",
        )),
        _ => Ok(()),
    }
}

fn within(min: u64, max: u64) -> impl FnOnce(&Millis, &Pass) -> garde::Result {
    move |value, pass| match pass {
        Pass::Errors if value.0 < min || value.0 > max => Err(garde::Error::new(format!(
            "must be from {min} to {max} ms, not {value}"
        ))),
        _ => Ok(()),
    }
}

/// Reads the settings of a daemon from a file.
///
/// # Errors
///
/// Returns all findings of the file together.
pub fn load(path: &Path) -> Result<Settings> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|e| unreadable(&file, &e))?;
    parse(&text, &file).map(|(settings, _)| settings)
}

fn unreadable(file: &str, error: &std::io::Error) -> Findings {
    let finding = Finding {
        severity: Severity::Error,
        file: file.to_owned(),
        line: 0,
        column: 0,
        message: format!("could not read the file: {error}"),
        hint: String::new(),
    };
    Findings {
        list: vec![finding],
    }
}
