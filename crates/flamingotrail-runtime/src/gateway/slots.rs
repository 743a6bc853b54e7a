//! Calls as the traffic thread holds them: the caller's connection, the kept answer, and the events
//! that wait until they may go out.

use std::cell;
use std::collections;
use std::rc;

use actix_http::Request;
use bytes::Bytes;
use flamingotrail_adapter::channel;
use flamingotrail_gateway::ids;
use flamingotrail_gateway::output;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

/// What a caller's connection is to write.
#[derive(Debug)]
pub enum Reply {
    /// A whole answer of an endpoint.
    Whole(channel::Head, Bytes),
    /// The head of a stream.
    Head(channel::Head),
    /// Events of a stream.
    Data(Bytes),
    /// The end of a stream.
    End,
    /// An answer of this process.
    Refuse(output::Refusal),
    /// Close the connection without an answer, or within one.
    Abort,
}

/// One call.
struct Slot {
    request: rc::Rc<Request>,
    tx: mpsc::UnboundedSender<Reply>,
    answer: Option<(channel::Head, Bytes)>,
    stream: Option<Stream>,
    is_open: bool,
    cancel: Option<oneshot::Sender<()>>,
}

/// A stream that has begun.
#[derive(Default)]
struct Stream {
    held: Vec<Reply>,
}

/// All calls of the traffic thread.
#[derive(Clone, Default)]
pub struct Slots {
    rows: rc::Rc<cell::RefCell<collections::BTreeMap<ids::CallId, Slot>>>,
}

impl Slots {
    /// Adds a call; what its caller is to get comes from the receiver.
    pub fn insert(
        &self,
        call: ids::CallId,
        request: rc::Rc<Request>,
    ) -> mpsc::UnboundedReceiver<Reply> {
        let (tx, rx) = mpsc::unbounded_channel();
        let slot = Slot { request, tx, answer: None, stream: None, is_open: false, cancel: None };
        self.rows.borrow_mut().insert(call, slot);
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
    pub fn begin(
        &self,
        call: ids::CallId,
        gated: bool,
    ) -> Option<(rc::Rc<Request>, oneshot::Receiver<()>)> {
        let mut rows = self.rows.borrow_mut();
        let slot = rows.get_mut(&call)?;
        let (tx, rx) = oneshot::channel();
        slot.cancel = Some(tx);
        slot.answer = None;
        slot.is_open |= !gated;
        Some((slot.request.clone(), rx))
    }

    /// Ends the attempt of a call.
    pub fn cancel(&self, call: ids::CallId) {
        let cancel = self.rows.borrow_mut().get_mut(&call).and_then(|slot| slot.cancel.take());
        if let Some(cancel) = cancel {
            // The attempt may have ended by itself.
            if cancel.send(()).is_err() {
                log::debug!("event=cancel_late call={call}");
            }
        }
    }

    /// Keeps an endpoint's whole answer until it may go out.
    pub fn keep(&self, call: ids::CallId, head: channel::Head, body: Bytes) {
        if let Some(slot) = self.rows.borrow_mut().get_mut(&call) {
            slot.answer = Some((head, body));
        }
    }

    /// Takes a part of a stream: it goes out at once where the stream is open.
    pub fn stream(&self, call: ids::CallId, reply: Reply) {
        let mut rows = self.rows.borrow_mut();
        let Some(slot) = rows.get_mut(&call) else { return };
        let stream = slot.stream.get_or_insert_with(Stream::default);
        if slot.is_open {
            send(&slot.tx, reply);
        } else {
            stream.held.push(reply);
        }
    }

    /// Lets the parts of a stream go out from now on.
    pub fn open(&self, call: ids::CallId) {
        if let Some(slot) = self.rows.borrow_mut().get_mut(&call) {
            open(slot);
        }
    }

    /// Lets the kept answer, or the end of the stream, go out.
    pub fn finish(&self, call: ids::CallId) {
        let mut rows = self.rows.borrow_mut();
        let Some(slot) = rows.get_mut(&call) else { return };
        match slot.answer.take() {
            Some((head, body)) => send(&slot.tx, Reply::Whole(head, body)),
            None => {
                open(slot);
                send(&slot.tx, Reply::End);
            }
        }
    }

    /// Answers a call with a refusal, or breaks off its stream where that has begun to go out.
    pub fn refuse(&self, call: ids::CallId, refusal: output::Refusal) {
        let rows = self.rows.borrow();
        let Some(slot) = rows.get(&call) else { return };
        let has_begun = slot.is_open && slot.stream.is_some();
        send(&slot.tx, if has_begun { Reply::Abort } else { Reply::Refuse(refusal) });
    }

    /// Breaks off a call's answer.
    pub fn abort(&self, call: ids::CallId) {
        if let Some(slot) = self.rows.borrow().get(&call) {
            send(&slot.tx, Reply::Abort);
        }
    }
}

fn open(slot: &mut Slot) {
    slot.is_open = true;
    if let Some(stream) = slot.stream.as_mut() {
        for reply in stream.held.drain(..) {
            send(&slot.tx, reply);
        }
    }
}

fn send(tx: &mpsc::UnboundedSender<Reply>, reply: Reply) {
    if tx.send(reply).is_err() {
        log::debug!("event=caller_gone");
    }
}
