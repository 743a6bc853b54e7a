//! Errors in a configuration set, reported with file and line.

use std::fmt;

/// An error in a configuration set, with its location and a suggested fix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Diagnostic {
    /// Name of the file.
    pub file: String,
    /// Line number, starting at 1.
    pub line: usize,
    /// Description of the error.
    pub message: String,
    /// How to fix the error.
    pub help: String,
}

impl fmt::Display for Diagnostic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}; {}", self.file, self.line, self.message, self.help)
    }
}
