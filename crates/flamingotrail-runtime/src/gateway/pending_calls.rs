//! Calls on the traffic thread: the callers' requests, and the responses and events of streams that
//! are held back for them.

use std::cell;
use std::collections;
use std::rc;
use std::time;

use actix_http::Request;
use bytes::Bytes;
use flamingotrail_adapter::connection;
use flamingotrail_gateway::ids;
use flamingotrail_gateway::output;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::byte_budget;
use crate::connections;

/// A part of a response, for a caller's connection to write.
#[derive(Debug)]
pub enum ResponsePart {
    /// A complete response of an endpoint.
    Complete(connection::ResponseHead, Bytes),
    /// The head of a streamed response.
    StreamHead(connection::ResponseHead),
    /// Events of a stream.
    StreamData(Bytes),
    /// The end of a stream.
    StreamEnd,
    /// A response of this process instead of an endpoint's.
    Refusal(output::Refusal),
    /// The connection is to be closed before the end of the response.
    Abort,
}

/// A call whose caller waits for a response.
struct PendingCall {
    request: rc::Rc<Request>,
    received: time::Instant,
    tx: mpsc::UnboundedSender<ResponsePart>,
    held_response: Option<(connection::ResponseHead, Bytes)>,
    stream: Option<Stream>,
    is_released: bool,
    is_paced: bool,
    cancel_tx: Option<oneshot::Sender<()>>,
    /// Counts what is held for the caller: parts are added here, and released when they are written.
    meter: connections::ResponseMeter,
    /// Memory of the responses, and of the outputs that the control thread holds for the call's turn.
    held_bytes: Vec<byte_budget::HeldBytes>,
}

/// A streamed response that has begun.
#[derive(Default)]
struct Stream {
    held_parts: collections::VecDeque<ResponsePart>,
    /// When the last event was sent.
    last_sent: Option<time::Instant>,
}

/// Calls whose callers wait for a response. Clones share the same calls.
#[derive(Clone, Default)]
pub struct PendingCalls {
    rows: rc::Rc<cell::RefCell<collections::BTreeMap<ids::CallId, PendingCall>>>,
    /// Minimum time between two events of a paced stream; `None` sends events as they arrive.
    event_interval: rc::Rc<cell::Cell<Option<time::Duration>>>,
}

impl PendingCalls {
    /// Adds a call. The parts of its response arrive at the returned receiver.
    pub fn insert(
        &self,
        call: ids::CallId,
        request: rc::Rc<Request>,
        meter: connections::ResponseMeter,
    ) -> mpsc::UnboundedReceiver<ResponsePart> {
        let (tx, rx) = mpsc::unbounded_channel();
        let pending = PendingCall {
            request,
            received: time::Instant::now(),
            tx,
            held_response: None,
            stream: None,
            is_released: false,
            is_paced: false,
            cancel_tx: None,
            meter,
            held_bytes: Vec::new(),
        };
        self.rows.borrow_mut().insert(call, pending);
        rx
    }

    /// Removes a call whose response was written or whose caller has disconnected.
    pub fn remove(&self, call: ids::CallId) {
        self.rows.borrow_mut().remove(&call);
    }

    /// Number of calls.
    pub fn len(&self) -> usize {
        self.rows.borrow().len()
    }

    /// Whether there are no calls.
    pub fn is_empty(&self) -> bool {
        self.rows.borrow().is_empty()
    }

    /// Begins an attempt. Returns the caller's request and the signal that cancels the attempt, or
    /// `None` if the caller has disconnected.
    pub fn begin_attempt(
        &self,
        dispatch: &output::Dispatch,
    ) -> Option<(rc::Rc<Request>, oneshot::Receiver<()>)> {
        let mut rows = self.rows.borrow_mut();
        let pending = rows.get_mut(&dispatch.call)?;
        let (tx, rx) = oneshot::channel();
        pending.cancel_tx = Some(tx);
        if let Some((_, body)) = pending.held_response.take() {
            pending.meter.release(body.len());
        }
        pending.is_released |= !dispatch.gated;
        pending.is_paced = dispatch.paced;
        Some((pending.request.clone(), rx))
    }

    /// Cancels the current attempt of a call.
    pub fn cancel_attempt(&self, call: ids::CallId) {
        let cancel_tx =
            self.rows.borrow_mut().get_mut(&call).and_then(|pending| pending.cancel_tx.take());
        if let Some(cancel_tx) = cancel_tx {
            // Fails if the attempt has already ended.
            if cancel_tx.send(()).is_err() {
                log::debug!("event=cancel_after_end call={call}");
            }
        }
    }

    /// Holds an endpoint's complete response back until `finish`.
    pub fn hold_response(&self, call: ids::CallId, head: connection::ResponseHead, body: Bytes) {
        if let Some(pending) = self.rows.borrow_mut().get_mut(&call) {
            pending.meter.add(body.len());
            pending.held_response = Some((head, body));
        }
    }

    /// Counts the response or the output of an attempt as held until the call ends: a caller that loses
    /// its connection holds the response until its task has ended.
    pub fn hold_bytes(&self, call: ids::CallId, bytes: byte_budget::HeldBytes) {
        if let Some(pending) = self.rows.borrow_mut().get_mut(&call) {
            pending.held_bytes.push(bytes);
        }
    }

    /// Adds a part of a stream. It is sent at once if the stream is released and not paced. Of a
    /// stream that several attempts continue, the caller gets the head of the first.
    pub fn push_stream_part(&self, call: ids::CallId, part: ResponsePart) {
        let mut rows = self.rows.borrow_mut();
        let Some(pending) = rows.get_mut(&call) else { return };
        if pending.stream.is_some() && matches!(part, ResponsePart::StreamHead(_)) {
            return;
        }
        if let ResponsePart::StreamData(data) = &part {
            pending.meter.add(data.len());
        }
        pending.stream.get_or_insert_with(Stream::default).held_parts.push_back(part);
        send_due_parts(pending, self.event_interval.get());
    }

    /// Lets the parts of a stream be sent from now on.
    pub fn release_events(&self, call: ids::CallId) {
        if let Some(pending) = self.rows.borrow_mut().get_mut(&call) {
            pending.is_released = true;
            send_due_parts(pending, self.event_interval.get());
        }
    }

    /// Sets the minimum time between two events of a paced stream. `None` ends the pacing and sends
    /// the held events of released streams.
    pub fn set_event_interval(&self, interval: Option<time::Duration>) {
        self.event_interval.set(interval);
        self.send_due_events();
    }

    /// Whether streams are paced.
    pub fn is_pacing(&self) -> bool {
        self.event_interval.get().is_some()
    }

    /// Sends the events of paced streams that are due.
    pub fn send_due_events(&self) {
        for pending in self.rows.borrow_mut().values_mut() {
            send_due_parts(pending, self.event_interval.get());
        }
    }

    /// Sends the held response, or the remaining events and the end of the stream.
    pub fn finish(&self, call: ids::CallId) {
        let mut rows = self.rows.borrow_mut();
        let Some(pending) = rows.get_mut(&call) else { return };
        match pending.held_response.take() {
            Some((head, body)) => send(&pending.tx, ResponsePart::Complete(head, body)),
            None => {
                pending.is_released = true;
                send_due_parts(pending, None);
                send(&pending.tx, ResponsePart::StreamEnd);
            }
        }
    }

    /// Sends a refusal, or aborts the response if its stream has begun to be sent.
    pub fn refuse(&self, call: ids::CallId, refusal: output::Refusal) {
        let rows = self.rows.borrow();
        let Some(pending) = rows.get(&call) else { return };
        let has_begun = pending.is_released && pending.stream.is_some();
        send(
            &pending.tx,
            if has_begun { ResponsePart::Abort } else { ResponsePart::Refusal(refusal) },
        );
    }

    /// Aborts the response to a call.
    pub fn abort(&self, call: ids::CallId) {
        if let Some(pending) = self.rows.borrow().get(&call) {
            send(&pending.tx, ResponsePart::Abort);
        }
    }
}

/// Sends the held parts of a released stream: all of them, or, if the stream is paced, those before
/// the next event that is not due yet.
fn send_due_parts(pending: &mut PendingCall, interval: Option<time::Duration>) {
    let Some(stream) = pending.stream.as_mut().filter(|_| pending.is_released) else { return };
    let interval = interval.filter(|_| pending.is_paced);
    while let Some(part) = stream.held_parts.front() {
        if matches!(part, ResponsePart::StreamData(_)) {
            // The caller has waited since its last event or, before the first one, its request.
            let waited = stream.last_sent.unwrap_or(pending.received).elapsed();
            let is_early = |interval| waited < interval;
            if interval.is_some_and(is_early) {
                return;
            }
            stream.last_sent = Some(time::Instant::now());
        }
        if let Some(part) = stream.held_parts.pop_front() {
            send(&pending.tx, part);
        }
    }
}

fn send(tx: &mpsc::UnboundedSender<ResponsePart>, part: ResponsePart) {
    if tx.send(part).is_err() {
        log::debug!("event=caller_disconnected");
    }
}
