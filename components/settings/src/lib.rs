//! YAML files with findings: the settings of a process and the reader that
//! declarations share.

mod finding;
mod process;
mod reader;

pub use finding::{Finding, Findings, Severity};
pub use process::{Ownership, Settings, load};
pub use reader::{Pass, Result, parse};
