//! Latest decisions on calls, for explanations.

use std::collections;

use crate::time;

/// Decisions kept.
const MAX_DECISIONS: usize = 2048;

/// A bounded list of decisions, oldest first.
#[derive(Debug, Default)]
pub struct Decisions {
    /// Rows.
    pub rows: collections::VecDeque<Decision>,
}

/// One decision.
#[derive(Clone, Debug)]
pub struct Decision {
    /// When.
    pub at: time::Timestamp,
    /// On which call or request.
    pub about: String,
    /// What was decided, and why.
    pub text: String,
}

impl Decisions {
    /// Notes a decision; the oldest goes when there are too many.
    pub fn record(&mut self, at: time::Timestamp, about: impl ToString, text: impl ToString) {
        if self.rows.len() == MAX_DECISIONS {
            self.rows.pop_front();
        }
        self.rows.push_back(Decision { at, about: about.to_string(), text: text.to_string() });
    }
}
