//! Problems in a file, with their locations.

use std::fmt;

use serde::Serialize;
use snafu::Snafu;

/// Whether a finding prevents the use of a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Severity {
    /// The file can't be used.
    Error,
    /// The file can be used, but probably has a mistake.
    Warning,
}

/// One problem in a file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// Whether the problem prevents the use of the file.
    pub severity: Severity,
    /// Path of the file as given by the user.
    pub file: String,
    /// The line, from 1; 0 if there is none.
    pub line: u64,
    /// The column, from 1; 0 if there is none.
    pub column: u64,
    /// The problem.
    pub message: String,
    /// How to fix it; may be empty.
    pub hint: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let severity = match self.severity {
            Severity::Error => "error",
            Severity::Warning => "warning",
        };
        write!(
            f,
            "{}:{}:{}: {severity}: {}",
            self.file, self.line, self.column, self.message
        )?;
        if !self.hint.is_empty() {
            write!(f, " (hint: {})", self.hint)?;
        }
        Ok(())
    }
}

/// All findings of a file, reported together.
#[derive(Debug, Snafu)]
#[snafu(display("{}", list.iter().map(Finding::to_string).collect::<Vec<_>>().join("\n")))]
pub struct Findings {
    /// The findings in the order of their lines.
    pub list: Vec<Finding>,
}
