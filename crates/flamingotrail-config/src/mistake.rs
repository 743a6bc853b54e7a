//! Mistakes in a set, each with its place and remedy.

use std::fmt;

/// One mistake.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Mistake {
    /// File.
    pub file: String,
    /// Line, from 1.
    pub line: usize,
    /// What is wrong.
    pub problem: String,
    /// What to do.
    pub remedy: String,
}

impl fmt::Display for Mistake {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}; {}", self.file, self.line, self.problem, self.remedy)
    }
}
