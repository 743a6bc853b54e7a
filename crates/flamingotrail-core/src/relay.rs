//! Text of running calls on its way from endpoint to caller: plain state, without channels.
//!
//! The owner keeps the text of each attempt that it dispatched, so that a broken attempt goes on
//! where it stopped. An entry keeps the text that its caller has, so that no token comes twice.

use std::collections;

use crate::ids;

/// An attempt at its owner.
#[derive(Clone, Debug, Default)]
struct Attempt {
    entry: Option<(ids::InstanceName, ids::RequestId)>,
    prefix: String,
    text: String,
}

/// A piece of text to be sent to an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ForwardedText {
    /// The entry.
    pub entry: ids::InstanceName,
    /// The request.
    pub request: ids::RequestId,
    /// Where the piece starts in the whole text, in bytes.
    pub at: usize,
    /// The piece.
    pub text: String,
}

/// Texts of attempts at their owner.
#[derive(Clone, Debug, Default)]
pub struct AttemptTextBuffers {
    rows: collections::BTreeMap<ids::AttemptId, Attempt>,
}

/// Texts that callers have, at an entry.
#[derive(Clone, Debug, Default)]
pub struct CallerTextBuffers {
    rows: collections::BTreeMap<ids::RequestId, String>,
}

/// The part of `text` at `at` that goes unseen_suffix `have` bytes; none where there is a gap or nothing
/// new.
fn unseen_suffix(have: usize, at: usize, text: &str) -> Option<&str> {
    if at > have {
        return None;
    }
    text.get(have - at..).filter(|rest| !rest.is_empty())
}

impl AttemptTextBuffers {
    /// Sets where the text of an attempt goes. Returns the text so far, for a caller that joins.
    pub fn route(
        &mut self,
        attempt: &ids::AttemptId,
        entry: ids::InstanceName,
        request: ids::RequestId,
        prefix: String,
    ) -> Option<ForwardedText> {
        let row = self.rows.entry(attempt.clone()).or_default();
        row.entry = Some((entry.clone(), request));
        row.prefix = prefix;
        let text = format!("{}{}", row.prefix, row.text);
        (!text.is_empty()).then_some(ForwardedText { entry, request, at: 0, text })
    }

    /// Forgets an attempt.
    pub fn remove(&mut self, attempt: &ids::AttemptId) {
        self.rows.remove(attempt);
    }

    /// Text of an attempt so far, without its prefix.
    pub fn partial(&self, attempt: &ids::AttemptId) -> String {
        self.rows.get(attempt).map(|row| row.text.clone()).unwrap_or_default()
    }

    /// Takes a piece of an attempt's text. Returns what goes on to an entry.
    pub fn append(
        &mut self,
        attempt: &ids::AttemptId,
        at: usize,
        text: &str,
    ) -> Option<ForwardedText> {
        let row = self.rows.get_mut(attempt)?;
        let new = unseen_suffix(row.text.len(), at, text)?;
        let start = row.prefix.len() + row.text.len();
        row.text.push_str(new);
        let (entry, request) = row.entry.clone()?;
        Some(ForwardedText { entry, request, at: start, text: new.to_owned() })
    }
}

impl CallerTextBuffers {
    /// Opens a request.
    pub fn open(&mut self, request: ids::RequestId) {
        self.rows.insert(request, String::new());
    }

    /// Closes a request: whether it was open.
    pub fn close(&mut self, request: ids::RequestId) -> bool {
        self.rows.remove(&request).is_some()
    }

    /// Takes a piece of text. Returns what is new to the caller.
    pub fn append(&mut self, request: ids::RequestId, at: usize, text: &str) -> Option<String> {
        let row = self.rows.get_mut(&request)?;
        let new = unseen_suffix(row.len(), at, text)?.to_owned();
        row.push_str(&new);
        Some(new)
    }

    /// Text that a caller has so far.
    pub fn delivered(&self, request: ids::RequestId) -> String {
        self.rows.get(&request).cloned().unwrap_or_default()
    }
}
