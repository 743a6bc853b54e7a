//! Text of running calls on its way from endpoint to caller, on traffic threads only.
//!
//! The owner keeps the text of each attempt that it dispatched, so that a broken attempt goes on
//! where it stopped. An entry keeps the text that its caller has, so that no token comes twice.

use std::collections;
use std::sync;

use flamingotrail_core::ids;
use flamingotrail_core::messages;
use tokio::sync::mpsc;

/// What a caller's connection is told.
#[derive(Clone, Debug)]
pub enum CallerEvent {
    /// The ids under which the request runs.
    Admitted {
        /// The program.
        program: ids::ProgramId,
        /// The conversation.
        conversation: ids::ConversationId,
    },
    /// More text.
    Text(String),
    /// The end.
    Reply(Box<messages::Reply>),
}

/// An attempt at its owner.
#[derive(Debug, Default)]
struct Attempt {
    entry: Option<(ids::InstanceName, ids::RequestId)>,
    prefix: String,
    text: String,
}

/// A request at its entry.
#[derive(Debug)]
struct Caller {
    tx: mpsc::UnboundedSender<CallerEvent>,
    text: String,
}

/// A piece of text to be sent to an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Forward {
    /// The entry.
    pub entry: ids::InstanceName,
    /// The request.
    pub request: ids::RequestId,
    /// Where the piece starts in the whole text, in bytes.
    pub at: usize,
    /// The piece.
    pub text: String,
}

/// Attempts and callers whose text passes through this process, shared between threads.
#[derive(Clone, Default)]
pub struct Relay {
    attempts: sync::Arc<sync::Mutex<collections::BTreeMap<ids::AttemptId, Attempt>>>,
    callers: sync::Arc<sync::Mutex<collections::BTreeMap<ids::RequestId, Caller>>>,
}

fn locked<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

/// The part of `text` at `at` that goes beyond `have` bytes; none where there is a gap or nothing
/// new.
fn beyond(have: usize, at: usize, text: &str) -> Option<&str> {
    if at > have {
        return None;
    }
    text.get(have - at..).filter(|rest| !rest.is_empty())
}

impl Relay {
    /// An empty relay.
    pub fn new() -> Self {
        Relay::default()
    }

    /// Sets where the text of an attempt goes. Returns the text so far, for a caller that joins.
    pub fn route(
        &self,
        attempt: &ids::AttemptId,
        entry: ids::InstanceName,
        request: ids::RequestId,
        prefix: String,
    ) -> Option<Forward> {
        let mut attempts = locked(&self.attempts);
        let row = attempts.entry(attempt.clone()).or_default();
        row.entry = Some((entry.clone(), request));
        row.prefix = prefix;
        let text = format!("{}{}", row.prefix, row.text);
        (!text.is_empty()).then_some(Forward { entry, request, at: 0, text })
    }

    /// Forgets an attempt.
    pub fn unroute(&self, attempt: &ids::AttemptId) {
        locked(&self.attempts).remove(attempt);
    }

    /// Text of an attempt so far, without its prefix.
    pub fn partial(&self, attempt: &ids::AttemptId) -> String {
        locked(&self.attempts).get(attempt).map(|row| row.text.clone()).unwrap_or_default()
    }

    /// Takes a piece of an attempt's text at its owner. Returns what goes on to an entry.
    pub fn attempt_text(
        &self,
        attempt: &ids::AttemptId,
        at: usize,
        text: &str,
    ) -> Option<Forward> {
        let mut attempts = locked(&self.attempts);
        let row = attempts.get_mut(attempt)?;
        let new = beyond(row.text.len(), at, text)?;
        let start = row.prefix.len() + row.text.len();
        row.text.push_str(new);
        let (entry, request) = row.entry.clone()?;
        Some(Forward { entry, request, at: start, text: new.to_owned() })
    }

    /// Opens a caller's request.
    pub fn open(&self, request: ids::RequestId) -> mpsc::UnboundedReceiver<CallerEvent> {
        let (tx, rx) = mpsc::unbounded_channel();
        locked(&self.callers).insert(request, Caller { tx, text: String::new() });
        rx
    }

    /// Closes a caller's request: whether it was open.
    pub fn close(&self, request: ids::RequestId) -> bool {
        locked(&self.callers).remove(&request).is_some()
    }

    /// Takes a piece of text for a caller.
    pub fn caller_text(&self, request: ids::RequestId, at: usize, text: &str) {
        let mut callers = locked(&self.callers);
        let Some(row) = callers.get_mut(&request) else {
            return;
        };
        let Some(new) = beyond(row.text.len(), at, text) else {
            return;
        };
        row.text.push_str(new);
        let event = CallerEvent::Text(new.to_owned());
        if row.tx.send(event).is_err() {
            callers.remove(&request);
        }
    }

    /// Text that a caller has so far.
    pub fn delivered(&self, request: ids::RequestId) -> String {
        locked(&self.callers).get(&request).map(|row| row.text.clone()).unwrap_or_default()
    }

    /// Tells a caller's connection something; the end closes the request.
    pub fn tell(&self, request: ids::RequestId, event: CallerEvent) {
        let mut callers = locked(&self.callers);
        let is_end = matches!(event, CallerEvent::Reply(_));
        if let Some(row) = callers.get(&request) {
            // A caller that went away is closed by its own guard.
            let _ = row.tx.send(event);
        }
        if is_end {
            callers.remove(&request);
        }
    }
}
