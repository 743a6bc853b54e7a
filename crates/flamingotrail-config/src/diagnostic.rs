//! Mistakes in a set, each with its place and help.

use std::fmt;

/// One mistake.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Diagnostic {
    /// File.
    pub file: String,
    /// Line, from 1.
    pub line: usize,
    /// What is wrong.
    pub message: String,
    /// What to do.
    pub help: String,
}

impl fmt::Display for Diagnostic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}; {}", self.file, self.line, self.message, self.help)
    }
}
