//! Relays the text of running calls between traffic threads.

use std::collections;
use std::sync;

use flamingotrail_core::ids;
use flamingotrail_core::messages;
use flamingotrail_core::relay;
use tokio::sync::mpsc;

use crate::connections;

/// An event for the connection of a caller.
#[derive(Clone, Debug)]
pub enum CallerEvent {
    /// The request was admitted under these ids.
    Admitted {
        /// The program.
        program: ids::ProgramId,
        /// The conversation.
        conversation: ids::ConversationId,
    },
    /// The next part of the response text.
    Text(String),
    /// The reply, which ends the request.
    Reply(Box<messages::Reply>),
}

/// Where the events of an open request go.
struct Receiver {
    tx: mpsc::UnboundedSender<CallerEvent>,
    /// Counts the text that the caller has not taken.
    meter: connections::ResponseMeter,
}

type Receivers = collections::BTreeMap<ids::RequestId, Receiver>;

/// Open requests of the callers that are connected to this instance.
#[derive(Default)]
struct Callers {
    texts: relay::CallerTextBuffers,
    receivers: Receivers,
}

/// Text of the attempts and callers that this instance relays, shared between threads.
#[derive(Clone, Default)]
pub struct TextRelay {
    attempts: sync::Arc<sync::Mutex<relay::AttemptTextBuffers>>,
    callers: sync::Arc<sync::Mutex<Callers>>,
}

fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

impl TextRelay {
    /// Creates a relay that has no attempts or callers.
    pub fn new() -> Self {
        TextRelay::default()
    }

    /// Calls `access` with the buffered text of attempts, which is locked during the call.
    pub fn with_attempt_texts<T>(
        &self,
        access: impl FnOnce(&mut relay::AttemptTextBuffers) -> T,
    ) -> T {
        access(&mut lock(&self.attempts))
    }

    /// Opens a request of a caller. Returns the receiver of its events.
    pub fn open(
        &self,
        request: ids::RequestId,
        meter: connections::ResponseMeter,
    ) -> mpsc::UnboundedReceiver<CallerEvent> {
        let (tx, rx) = mpsc::unbounded_channel();
        let mut callers = lock(&self.callers);
        callers.texts.open(request);
        callers.receivers.insert(request, Receiver { tx, meter });
        rx
    }

    /// Closes a request of a caller. Returns whether it was open.
    pub fn close(&self, request: ids::RequestId) -> bool {
        let mut callers = lock(&self.callers);
        callers.receivers.remove(&request);
        callers.texts.close(request)
    }

    /// Appends a chunk of text at byte `offset` and sends the part that is new to the caller.
    pub fn append_caller_text(&self, request: ids::RequestId, offset: usize, text: &str) {
        let mut callers = lock(&self.callers);
        let Some(new_text) = callers.texts.append(request, offset, text) else {
            return;
        };
        if let Some(receiver) = callers.receivers.get(&request) {
            receiver.meter.add(new_text.len());
            // If the caller has disconnected, its `DisconnectGuard` closes the request.
            let _ = receiver.tx.send(CallerEvent::Text(new_text));
        }
    }

    /// Returns the text that has been sent to a caller so far.
    pub fn delivered_text(&self, request: ids::RequestId) -> String {
        lock(&self.callers).texts.delivered(request)
    }

    /// Sends an event to the connection of a caller. A reply also closes the request.
    pub fn notify_caller(&self, request: ids::RequestId, event: CallerEvent) {
        let is_reply = matches!(event, CallerEvent::Reply(_));
        if let Some(receiver) = lock(&self.callers).receivers.get(&request) {
            // If the caller has disconnected, its `DisconnectGuard` closes the request.
            let _ = receiver.tx.send(event);
        }
        if is_reply {
            self.close(request);
        }
    }
}
