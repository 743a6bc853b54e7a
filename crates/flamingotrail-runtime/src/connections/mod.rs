//! Client connections of all listeners of a process, and the memory and descriptors that they may
//! take.
//!
//! A table has a row for each connection with what the process holds for it: bytes of an unfinished
//! request, of a request that runs, and of a response that the client has not taken. Where a limit
//! is reached, [`shedding`] selects the connections that make room. Ordinary requests are short and
//! complete within milliseconds, so those that hold much for long are closed first.

use std::sync;
use std::time;

use tokio_util::sync as token;

use crate::byte_budget;

pub mod body;
pub mod limits;
pub mod listener;
pub mod metrics;
pub mod report;
pub mod shedding;
pub mod table;
pub mod unsent;

/// Longest wait for a connection that was told to close, when a new one needs its place.
const CLOSE_WAIT: time::Duration = time::Duration::from_millis(100);

/// There is no room for more of a client's bytes. The request has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the process holds as many bytes of clients as it may; retry shortly")]
pub struct NoRoom;

/// The connections of a process; clones share them.
#[derive(Clone)]
pub struct Connections {
    shared: sync::Arc<Shared>,
}

struct Shared {
    table: sync::Mutex<table::Table>,
    /// Notified when a connection has ended, or has dropped what it held.
    released: tokio::sync::Notify,
    report: report::Report,
    buffers: byte_budget::ByteBudget,
    link_queues: byte_budget::ByteBudget,
}

impl Connections {
    /// Creates an empty table with `limits`.
    pub fn new(limits: limits::Limits) -> Self {
        let shared = Shared {
            buffers: byte_budget::ByteBudget::new(limits.buffer_bytes),
            link_queues: byte_budget::ByteBudget::new(limits.link_bytes),
            table: sync::Mutex::new(table::Table::new(limits)),
            released: tokio::sync::Notify::new(),
            report: report::Report::new(),
        };
        Connections { shared: sync::Arc::new(shared) }
    }

    /// Adds a new connection. At the limit of the listener, another connection is closed for it: the
    /// returned value is `None` if all of them have running requests.
    pub async fn open(&self, listener: limits::Listener) -> Option<Lease> {
        loop {
            let released = self.shared.released.notified();
            if let Some(lease) = self.try_open(listener) {
                return Some(lease);
            }
            if !self.make_place(listener) {
                return None;
            }
            if tokio::time::timeout(CLOSE_WAIT, released).await.is_err() {
                return None;
            }
        }
    }

    /// Adds a new connection if the listener has a place for it.
    pub fn try_open(&self, listener: limits::Listener) -> Option<Lease> {
        let mut table = self.lock();
        let id = table.insert(listener, time::Instant::now())?;
        let token = table.token(id);
        Some(Lease { connections: self.clone(), id, token, is_surplus: false })
    }

    /// Adds a new connection like [`Self::open`], or else one that is only to be told that there is no
    /// place for it. `None` if there are too many of those as well.
    pub async fn open_or_refuse(&self, listener: limits::Listener) -> Option<Lease> {
        if let Some(lease) = self.open(listener).await {
            return Some(lease);
        }
        let mut table = self.lock();
        let id = table.insert_surplus(listener, time::Instant::now())?;
        let token = table.token(id);
        Some(Lease { connections: self.clone(), id, token, is_surplus: true })
    }

    /// Tells a connection to close for a new one. Returns whether a place becomes free.
    fn make_place(&self, listener: limits::Listener) -> bool {
        let mut table = self.lock();
        let told = shedding::make_place(&mut table, listener, time::Instant::now());
        self.shared.report.count(report::Cause::Connections, told.max(1));
        told > 0 || table.has_closing(listener)
    }

    /// Limits in force.
    pub fn limits(&self) -> limits::Limits {
        self.lock().limits
    }

    /// Memory of responses that are received, or held until their call ends.
    pub fn buffers(&self) -> &byte_budget::ByteBudget {
        &self.shared.buffers
    }

    /// Memory of frames that wait for a peer.
    pub fn link_queues(&self) -> &byte_budget::ByteBudget {
        &self.shared.link_queues
    }

    /// Counts of refused requests and closed connections.
    pub fn report(&self) -> &report::Report {
        &self.shared.report
    }

    /// What the connections hold at present.
    pub fn usage(&self) -> table::Usage {
        self.lock().usage()
    }

    /// Whether a request of a caller is being received.
    pub fn is_receiving_from_callers(&self) -> bool {
        self.lock().is_receiving(limits::Listener::Callers)
    }

    /// Raises the memory for requests so that a single one of `bytes` fits.
    pub fn admit_requests_of(&self, bytes: usize) {
        self.lock().admit_requests_of(bytes);
    }

    fn lock(&self) -> sync::MutexGuard<'_, table::Table> {
        self.shared.table.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// The row of an open connection, which is removed when the value is dropped.
pub struct Lease {
    connections: Connections,
    id: table::ConnectionId,
    token: token::CancellationToken,
    is_surplus: bool,
}

impl Lease {
    /// Whether there was no place for the connection, so that its request is to be refused unread.
    pub fn is_surplus(&self) -> bool {
        self.is_surplus
    }

    /// Limits in force.
    pub fn limits(&self) -> limits::Limits {
        self.connections.limits()
    }

    /// The token that is cancelled when the connection has to be closed to make room.
    pub fn token(&self) -> token::CancellationToken {
        self.token.clone()
    }

    /// Waits until the connection has to be closed to make room.
    pub async fn closed_for_room(&self) {
        self.token.cancelled().await;
    }

    /// The connection waits for a request, and the process holds nothing for it.
    pub fn set_idle(&self) {
        self.connections.lock().set_idle(self.id, time::Instant::now());
    }

    /// The first byte of a request has arrived.
    pub fn begin_request(&self) {
        self.connections.lock().begin_request(self.id, time::Instant::now());
    }

    /// The process is to hold `bytes` of the request that is being received. Waits until connections
    /// that were told to close for it have dropped what they hold.
    ///
    /// # Errors
    ///
    /// Fails if there is no room for them.
    pub async fn hold_request(&self, bytes: usize) -> Result<(), NoRoom> {
        let shared = &self.connections.shared;
        loop {
            let released = shared.released.notified();
            let now = time::Instant::now();
            let decision =
                shedding::hold_request(&mut self.connections.lock(), self.id, bytes, now);
            match decision {
                shedding::Decision::Granted { closed } => {
                    shared.report.count(report::Cause::Requests, closed);
                    return Ok(());
                }
                shedding::Decision::Wait => released.await,
                shedding::Decision::Refused => return Err(self.refuse()),
            }
        }
    }

    /// Checks that a request that announces `bytes` has a chance to be received.
    ///
    /// # Errors
    ///
    /// Fails if running requests leave no room for it.
    pub fn check_announced(&self, bytes: usize) -> Result<(), NoRoom> {
        match self.connections.lock().leaves_room_beside_running(bytes) {
            true => Ok(()),
            false => Err(self.refuse()),
        }
    }

    fn refuse(&self) -> NoRoom {
        self.connections.shared.report.count(report::Cause::Requests, 1);
        NoRoom
    }

    /// The request is complete, and runs from now on.
    ///
    /// # Errors
    ///
    /// Fails if the connection was chosen to make room before.
    pub fn complete_request(&self) -> Result<(), NoRoom> {
        if self.connections.lock().complete_request(self.id, time::Instant::now()) {
            Ok(())
        } else {
            Err(NoRoom)
        }
    }

    /// The client has sent a further request ahead of the response, more than is read of it. Where there
    /// is no room for it, the connection that has held most for longest closes, possibly this one.
    pub fn hold_ahead(&self) {
        let now = time::Instant::now();
        let closed = shedding::hold_ahead(&mut self.connections.lock(), self.id, now);
        self.connections.shared.report.count(report::Cause::Requests, closed);
    }

    /// Returns the meter of the bytes of the response that the client has not taken.
    pub fn response_meter(&self) -> ResponseMeter {
        ResponseMeter { connections: self.connections.clone(), id: self.id }
    }

    /// The connection closes and has dropped what it held; it is the first to end if another one needs
    /// its place.
    pub fn begin_close(&self) {
        self.connections.lock().begin_close(self.id, time::Instant::now());
        self.connections.shared.released.notify_waiters();
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        self.connections.lock().remove(self.id);
        self.connections.shared.released.notify_waiters();
    }
}

/// Counts the bytes of a response that its client has not taken. Where there is no room for them, the
/// connection that has held most for longest is closed, possibly this one.
#[derive(Clone)]
pub struct ResponseMeter {
    connections: Connections,
    id: table::ConnectionId,
}

impl ResponseMeter {
    /// The process holds `bytes` more.
    pub fn add(&self, bytes: usize) {
        let now = time::Instant::now();
        let closed = shedding::hold_response(&mut self.connections.lock(), self.id, bytes, now);
        self.connections.shared.report.count(report::Cause::Responses, closed);
    }

    /// The client has taken `bytes`, or they were dropped.
    pub fn release(&self, bytes: usize) {
        self.connections.lock().release_response(self.id, bytes, time::Instant::now());
    }
}
