//! Recent decisions on calls, for the explain view.

use std::collections;

use crate::time;

/// Number of decisions kept.
const MAX_DECISIONS: usize = 2048;

/// A bounded list of decisions, oldest first.
#[derive(Debug, Default)]
pub struct Decisions {
    /// Decisions.
    pub rows: collections::VecDeque<Decision>,
}

/// A decision.
#[derive(Clone, Debug)]
pub struct Decision {
    /// When it was made.
    pub at: time::Timestamp,
    /// The call or request that it concerns.
    pub about: String,
    /// What was decided, and why.
    pub text: String,
}

impl Decisions {
    /// Records a decision and drops the oldest one if the list is full.
    pub fn record(&mut self, at: time::Timestamp, about: impl ToString, text: impl ToString) {
        if self.rows.len() == MAX_DECISIONS {
            self.rows.pop_front();
        }
        self.rows.push_back(Decision { at, about: about.to_string(), text: text.to_string() });
    }
}
