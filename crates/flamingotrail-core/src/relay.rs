//! Buffers for the text of running calls that is streamed from endpoints to callers. They hold
//! state only; drivers do the I/O.
//!
//! The owner buffers the text of each attempt that it dispatched, so that a retry of a broken
//! attempt continues where it stopped. An entry instance buffers the text that its caller has
//! received, so that no token is delivered twice.

use std::collections;

use crate::ids;

/// Text of one attempt at its owner, and where it is forwarded to.
#[derive(Clone, Debug, Default)]
struct Attempt {
    entry: Option<(ids::InstanceName, ids::RequestId)>,
    prefix: String,
    text: String,
}

/// A chunk of text to be sent to an entry instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ForwardedText {
    /// Name of the entry instance.
    pub entry: ids::InstanceName,
    /// The request.
    pub request: ids::RequestId,
    /// Byte offset of the chunk in the complete text.
    pub at: usize,
    /// The chunk.
    pub text: String,
}

/// Text of dispatched attempts, buffered at their owner.
#[derive(Clone, Debug, Default)]
pub struct AttemptTextBuffers {
    rows: collections::BTreeMap<ids::AttemptId, Attempt>,
}

/// Text that callers have received, buffered at an entry instance.
#[derive(Clone, Debug, Default)]
pub struct CallerTextBuffers {
    rows: collections::BTreeMap<ids::RequestId, String>,
}

/// Returns the part of `text`, a chunk at byte offset `at`, that lies after the first `received`
/// bytes. Returns `None` if there is a gap before the chunk or if it contains nothing new.
fn unseen_suffix(received: usize, at: usize, text: &str) -> Option<&str> {
    if at > received {
        return None;
    }
    text.get(received - at..).filter(|rest| !rest.is_empty())
}

impl AttemptTextBuffers {
    /// Sets the destination of an attempt's text. Returns the text buffered so far, so that a
    /// destination that is added or changed later gets the complete text.
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

    /// Removes an attempt and its buffered text.
    pub fn remove(&mut self, attempt: &ids::AttemptId) {
        self.rows.remove(attempt);
    }

    /// Returns the buffered text of an attempt, without its prefix.
    pub fn partial(&self, attempt: &ids::AttemptId) -> String {
        self.rows.get(attempt).map(|row| row.text.clone()).unwrap_or_default()
    }

    /// Appends a chunk of an attempt's text. Returns the new part if it has a destination.
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
    /// Starts buffering for a request.
    pub fn open(&mut self, request: ids::RequestId) {
        self.rows.insert(request, String::new());
    }

    /// Stops buffering for a request. Returns whether it was open.
    pub fn close(&mut self, request: ids::RequestId) -> bool {
        self.rows.remove(&request).is_some()
    }

    /// Appends a chunk of text. Returns the part that the caller has not received yet.
    pub fn append(&mut self, request: ids::RequestId, at: usize, text: &str) -> Option<String> {
        let row = self.rows.get_mut(&request)?;
        let new = unseen_suffix(row.len(), at, text)?.to_owned();
        row.push_str(&new);
        Some(new)
    }

    /// Returns the text that the caller has received so far.
    pub fn delivered(&self, request: ids::RequestId) -> String {
        self.rows.get(&request).cloned().unwrap_or_default()
    }
}
