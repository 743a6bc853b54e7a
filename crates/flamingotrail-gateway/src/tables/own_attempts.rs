//! What this gateway's running attempts need of one endpoint.

use std::collections;

use crate::ids;

/// Running attempts by call, with the memory that they need.
#[derive(Clone, Debug, Default)]
pub struct OwnAttempts {
    /// Tokens of the prompt and of the longest output, by call.
    rows: collections::BTreeMap<ids::CallId, u64>,
    /// Sum of all tokens.
    tokens: u64,
}

impl OwnAttempts {
    /// Adds an attempt that was sent, which needs memory for `tokens` tokens.
    pub fn insert(&mut self, call: ids::CallId, tokens: u64) {
        self.remove(call);
        self.rows.insert(call, tokens);
        self.tokens = self.tokens.saturating_add(tokens);
    }

    /// Removes an attempt that has ended. Returns whether it was there: the endpoint may have been
    /// started again since the attempt was sent.
    pub fn remove(&mut self, call: ids::CallId) -> bool {
        let Some(tokens) = self.rows.remove(&call) else { return false };
        self.tokens = self.tokens.saturating_sub(tokens);
        true
    }

    /// Returns the number of tokens that the attempts need in the endpoint's memory.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }
}
