//! What is wrong with a file, and where.

use std::fmt;

use serde::Serialize;
use snafu::Snafu;

/// Whether a finding prevents the use of a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Severity {
    /// The file can't be used.
    Error,
    /// The file can be used, but probably does not say what was meant.
    Warning,
}

/// One thing that is wrong with a file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// Whether the file can still be used.
    pub severity: Severity,
    /// The file as it was named on the command line.
    pub file: String,
    /// The line, from 1; 0 if there is none.
    pub line: u64,
    /// The column, from 1; 0 if there is none.
    pub column: u64,
    /// What is wrong.
    pub message: String,
    /// What to do about it; may be empty.
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
