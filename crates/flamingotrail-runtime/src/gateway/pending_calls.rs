//! Calls as the traffic thread holds them: the caller's connection, the kept answer, and the events
//! that wait until they may go out.

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

/// What a caller's connection is to write.
#[derive(Debug)]
pub enum ResponsePart {
    /// A whole answer of an endpoint.
    Complete(connection::ResponseHead, Bytes),
    /// The head of a stream.
    StreamHead(connection::ResponseHead),
    /// Events of a stream.
    StreamData(Bytes),
    /// The end of a stream.
    StreamEnd,
    /// An answer of this process.
    Refusal(output::Refusal),
    /// Close the connection without an answer, or within one.
    Abort,
}

/// One call.
struct PendingCall {
    request: rc::Rc<Request>,
    tx: mpsc::UnboundedSender<ResponsePart>,
    answer: Option<(connection::ResponseHead, Bytes)>,
    stream: Option<Stream>,
    is_open: bool,
    is_paced: bool,
    cancel: Option<oneshot::Sender<()>>,
}

/// A stream that has begun.
#[derive(Default)]
struct Stream {
    held: collections::VecDeque<ResponsePart>,
    /// When its last event went out.
    passed: Option<time::Instant>,
}

/// All calls of the traffic thread.
#[derive(Clone, Default)]
pub struct PendingCalls {
    rows: rc::Rc<cell::RefCell<collections::BTreeMap<ids::CallId, PendingCall>>>,
    /// Time between two events of a paced stream; none where events go out as they come.
    pace: rc::Rc<cell::Cell<Option<time::Duration>>>,
}

impl PendingCalls {
    /// Adds a call; what its caller is to get comes from the receiver.
    pub fn insert(
        &self,
        call: ids::CallId,
        request: rc::Rc<Request>,
    ) -> mpsc::UnboundedReceiver<ResponsePart> {
        let (tx, rx) = mpsc::unbounded_channel();
        let pending = PendingCall {
            request,
            tx,
            answer: None,
            stream: None,
            is_open: false,
            is_paced: false,
            cancel: None,
        };
        self.rows.borrow_mut().insert(call, pending);
        rx
    }

    /// Removes a call whose caller has its answer or is gone.
    pub fn remove(&self, call: ids::CallId) {
        self.rows.borrow_mut().remove(&call);
    }

    /// Calls whose callers wait.
    pub fn len(&self) -> usize {
        self.rows.borrow().len()
    }

    /// Whether no caller waits.
    pub fn is_empty(&self) -> bool {
        self.rows.borrow().is_empty()
    }

    /// Begins an attempt: the caller's request, and the signal that ends the attempt. None where the
    /// caller is gone.
    pub fn begin_attempt(
        &self,
        dispatch: &output::Dispatch,
    ) -> Option<(rc::Rc<Request>, oneshot::Receiver<()>)> {
        let mut rows = self.rows.borrow_mut();
        let pending = rows.get_mut(&dispatch.call)?;
        let (tx, rx) = oneshot::channel();
        pending.cancel = Some(tx);
        pending.answer = None;
        pending.is_open |= !dispatch.gated;
        pending.is_paced = dispatch.paced;
        Some((pending.request.clone(), rx))
    }

    /// Ends the attempt of a call.
    pub fn cancel_attempt(&self, call: ids::CallId) {
        let cancel =
            self.rows.borrow_mut().get_mut(&call).and_then(|pending| pending.cancel.take());
        if let Some(cancel) = cancel {
            // The attempt may have ended by itself.
            if cancel.send(()).is_err() {
                log::debug!("event=cancel_late call={call}");
            }
        }
    }

    /// Keeps an endpoint's whole answer until it may go out.
    pub fn hold_response(&self, call: ids::CallId, head: connection::ResponseHead, body: Bytes) {
        if let Some(pending) = self.rows.borrow_mut().get_mut(&call) {
            pending.answer = Some((head, body));
        }
    }

    /// Takes a part of a stream: it goes out at once where the stream is open and not paced.
    pub fn push_stream_part(&self, call: ids::CallId, reply: ResponsePart) {
        let mut rows = self.rows.borrow_mut();
        let Some(pending) = rows.get_mut(&call) else { return };
        pending.stream.get_or_insert_with(Stream::default).held.push_back(reply);
        pass(pending, self.pace.get());
    }

    /// Lets the parts of a stream go out from now on.
    pub fn release_events(&self, call: ids::CallId) {
        if let Some(pending) = self.rows.borrow_mut().get_mut(&call) {
            pending.is_open = true;
            pass(pending, self.pace.get());
        }
    }

    /// Sets the time between two events of a paced stream; without one, what is held goes out.
    pub fn set_event_interval(&self, pace: Option<time::Duration>) {
        self.pace.set(pace);
        self.send_due_events();
    }

    /// Whether streams are paced.
    pub fn is_pacing(&self) -> bool {
        self.pace.get().is_some()
    }

    /// Lets the events go out that are due.
    pub fn send_due_events(&self) {
        for pending in self.rows.borrow_mut().values_mut() {
            pass(pending, self.pace.get());
        }
    }

    /// Lets the kept answer, or the end of the stream, go out.
    pub fn finish(&self, call: ids::CallId) {
        let mut rows = self.rows.borrow_mut();
        let Some(pending) = rows.get_mut(&call) else { return };
        match pending.answer.take() {
            Some((head, body)) => send(&pending.tx, ResponsePart::Complete(head, body)),
            None => {
                pending.is_open = true;
                pass(pending, None);
                send(&pending.tx, ResponsePart::StreamEnd);
            }
        }
    }

    /// Answers a call with a refusal, or breaks off its stream where that has begun to go out.
    pub fn refuse(&self, call: ids::CallId, refusal: output::Refusal) {
        let rows = self.rows.borrow();
        let Some(pending) = rows.get(&call) else { return };
        let has_begun = pending.is_open && pending.stream.is_some();
        send(
            &pending.tx,
            if has_begun { ResponsePart::Abort } else { ResponsePart::Refusal(refusal) },
        );
    }

    /// Breaks off a call's answer.
    pub fn abort(&self, call: ids::CallId) {
        if let Some(pending) = self.rows.borrow().get(&call) {
            send(&pending.tx, ResponsePart::Abort);
        }
    }
}

/// Lets parts of an open stream go out: all of them, or under a pace one event where one is due.
fn pass(pending: &mut PendingCall, pace: Option<time::Duration>) {
    let Some(stream) = pending.stream.as_mut().filter(|_| pending.is_open) else { return };
    let pace = pace.filter(|_| pending.is_paced);
    while let Some(part) = stream.held.front() {
        if matches!(part, ResponsePart::StreamData(_)) {
            let is_early = |pace| stream.passed.is_some_and(|passed| passed.elapsed() < pace);
            if pace.is_some_and(is_early) {
                return;
            }
            stream.passed = Some(time::Instant::now());
        }
        if let Some(part) = stream.held.pop_front() {
            send(&pending.tx, part);
        }
    }
}

fn send(tx: &mpsc::UnboundedSender<ResponsePart>, reply: ResponsePart) {
    if tx.send(reply).is_err() {
        log::debug!("event=caller_gone");
    }
}
