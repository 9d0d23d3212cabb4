//! Validated YAML files: the settings of a daemon, and the reader that service
//! declarations use too. It reports all findings of a file together.

mod finding;
mod process;
mod reader;

pub use finding::{Finding, Findings, Severity};
pub use process::{Ownership, Settings, load};
pub use reader::{Pass, Result, parse, parse_known};
