//! The relay of running calls' text, shared between traffic threads.

use std::collections;
use std::sync;

use flamingotrail_core::ids;
use flamingotrail_core::messages;
use flamingotrail_core::relay;
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

type Senders = collections::BTreeMap<ids::RequestId, mpsc::UnboundedSender<CallerEvent>>;

/// Callers of this process.
#[derive(Default)]
struct Callers {
    texts: relay::CallerTextBuffers,
    senders: Senders,
}

/// Attempts and callers whose text passes through this process.
#[derive(Clone, Default)]
pub struct TextRelay {
    attempts: sync::Arc<sync::Mutex<relay::AttemptTextBuffers>>,
    callers: sync::Arc<sync::Mutex<Callers>>,
}

fn locked<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

impl TextRelay {
    /// An empty relay.
    pub fn new() -> Self {
        TextRelay::default()
    }

    /// Changes or reads the texts of attempts.
    pub fn with_attempt_texts<T>(
        &self,
        change: impl FnOnce(&mut relay::AttemptTextBuffers) -> T,
    ) -> T {
        change(&mut locked(&self.attempts))
    }

    /// Opens a caller's request.
    pub fn open(&self, request: ids::RequestId) -> mpsc::UnboundedReceiver<CallerEvent> {
        let (tx, rx) = mpsc::unbounded_channel();
        let mut callers = locked(&self.callers);
        callers.texts.open(request);
        callers.senders.insert(request, tx);
        rx
    }

    /// Closes a caller's request: whether it was open.
    pub fn close(&self, request: ids::RequestId) -> bool {
        let mut callers = locked(&self.callers);
        callers.senders.remove(&request);
        callers.texts.close(request)
    }

    /// Takes a piece of text for a caller.
    pub fn append_caller_text(&self, request: ids::RequestId, at: usize, text: &str) {
        let mut callers = locked(&self.callers);
        let Some(new) = callers.texts.append(request, at, text) else {
            return;
        };
        if let Some(tx) = callers.senders.get(&request) {
            // A caller that went away is closed by its own guard.
            let _ = tx.send(CallerEvent::Text(new));
        }
    }

    /// Text that a caller has so far.
    pub fn delivered_text(&self, request: ids::RequestId) -> String {
        locked(&self.callers).texts.delivered(request)
    }

    /// Tells a caller's connection something; the end closes the request.
    pub fn notify_caller(&self, request: ids::RequestId, event: CallerEvent) {
        let is_end = matches!(event, CallerEvent::Reply(_));
        if let Some(tx) = locked(&self.callers).senders.get(&request) {
            // A caller that went away is closed by its own guard.
            let _ = tx.send(event);
        }
        if is_end {
            self.close(request);
        }
    }
}
