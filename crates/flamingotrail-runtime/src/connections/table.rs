//! Table of connections.

use std::collections;
use std::time;

use tokio_util::sync as token;

use crate::connections::limits;

/// Id of a connection within its process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionId(u64);

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It waits for a request.
    Idle,
    /// A request is being received.
    Receiving,
    /// A request is complete. It may have run, so it can't be refused any more.
    Running,
    /// It ends.
    Closing,
}

/// A connection.
#[derive(Debug)]
pub struct Row {
    /// Listener that has accepted it.
    pub listener: limits::Listener,
    /// Whether there was no place for it, so that it is only told so.
    pub is_surplus: bool,
    /// What it is doing.
    pub phase: Phase,
    /// When the phase began.
    pub since: time::Instant,
    /// Bytes of its request.
    pub request_bytes: usize,
    /// Bytes that its client may have sent ahead of the response to a running request: what is read of
    /// them and what the kernel buffers.
    pub ahead_bytes: usize,
    /// When such bytes were first noticed.
    pub ahead_since: time::Instant,
    /// Bytes of its response that the client has not taken.
    pub response_bytes: usize,
    /// Bytes that the connection held when it was told to close, until it drops them.
    dropping_bytes: usize,
    /// When the client last took bytes of its response, initially when the request was complete.
    pub taken_at: time::Instant,
    /// Cancelled when the connection has to be closed to make room.
    token: token::CancellationToken,
}

impl Row {
    /// Whether the connection was told to close.
    pub fn is_told_to_close(&self) -> bool {
        self.token.is_cancelled()
    }

    /// Bytes of the request that count for the limit.
    pub fn counted_request_bytes(&self) -> usize {
        self.request_bytes.saturating_sub(limits::FREE_REQUEST_BYTES)
    }
}

/// What the connections of a process hold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Number of callers' connections.
    pub callers: usize,
    /// Number of connections of other processes of the system.
    pub peers: usize,
    /// Number of connections for monitoring.
    pub monitoring: usize,
    /// Number of handshakes of links that are not complete.
    pub handshakes: usize,
    /// Bytes of requests.
    pub request_bytes: usize,
    /// Bytes of responses that clients have not taken.
    pub response_bytes: usize,
}

/// Connections by id, and totals of what they hold.
#[derive(Debug)]
pub struct Table {
    /// Limits of the process.
    pub limits: limits::Limits,
    /// Rows by id.
    pub rows: collections::BTreeMap<ConnectionId, Row>,
    /// Number of connections by listener, and whether they are surplus.
    counts: collections::BTreeMap<(limits::Listener, bool), usize>,
    /// Bytes of requests, without those of connections that were told to close.
    request_bytes: usize,
    /// Bytes of running requests that are large.
    large_running_bytes: usize,
    response_bytes: usize,
    /// Bytes of connections that were told to close and have not dropped them yet.
    dropping_bytes: usize,
    next_id: u64,
}

impl Table {
    /// Creates an empty table.
    pub fn new(limits: limits::Limits) -> Self {
        Table {
            limits,
            rows: collections::BTreeMap::new(),
            counts: collections::BTreeMap::new(),
            request_bytes: 0,
            large_running_bytes: 0,
            response_bytes: 0,
            dropping_bytes: 0,
            next_id: 0,
        }
    }

    /// Adds a connection; `None` if the listener has as many as it may.
    pub fn insert(
        &mut self,
        listener: limits::Listener,
        now: time::Instant,
    ) -> Option<ConnectionId> {
        self.insert_row(listener, false, now)
    }

    /// Adds a connection that is told that there is no place for it; `None` if there are as many of
    /// those as there may be.
    pub fn insert_surplus(
        &mut self,
        listener: limits::Listener,
        now: time::Instant,
    ) -> Option<ConnectionId> {
        self.insert_row(listener, true, now)
    }

    fn insert_row(
        &mut self,
        listener: limits::Listener,
        is_surplus: bool,
        now: time::Instant,
    ) -> Option<ConnectionId> {
        let max = match is_surplus {
            true => self.limits.surplus_connections(listener),
            false => self.limits.connections(listener),
        };
        let count = self.counts.entry((listener, is_surplus)).or_default();
        if *count >= max {
            return None;
        }
        *count += 1;
        let id = ConnectionId(self.next_id);
        self.next_id += 1;
        let row = Row {
            listener,
            is_surplus,
            phase: Phase::Idle,
            since: now,
            request_bytes: 0,
            ahead_bytes: 0,
            ahead_since: now,
            response_bytes: 0,
            dropping_bytes: 0,
            taken_at: now,
            token: token::CancellationToken::new(),
        };
        self.rows.insert(id, row);
        Some(id)
    }

    /// Returns the token that is cancelled when the connection has to be closed.
    pub fn token(&self, id: ConnectionId) -> token::CancellationToken {
        self.rows.get(&id).map(|row| row.token.clone()).unwrap_or_default()
    }

    /// Removes a connection that has ended.
    pub fn remove(&mut self, id: ConnectionId) {
        self.clear_request(id);
        let Some(row) = self.rows.remove(&id) else { return };
        self.response_bytes -= row.response_bytes;
        self.dropping_bytes -= row.dropping_bytes;
        if let Some(count) = self.counts.get_mut(&(row.listener, row.is_surplus)) {
            *count -= 1;
        }
    }

    /// Tells a connection to close, which drops what it holds.
    pub fn tell_to_close(&mut self, id: ConnectionId) {
        let Some(row) = self.rows.get_mut(&id).filter(|row| !row.is_told_to_close()) else {
            return;
        };
        row.dropping_bytes = row.request_bytes + row.ahead_bytes + row.response_bytes;
        self.dropping_bytes += row.dropping_bytes;
        self.response_bytes -= std::mem::take(&mut row.response_bytes);
        self.clear_request(id);
        if let Some(row) = self.rows.get_mut(&id) {
            row.token.cancel();
        }
    }

    /// Whether connections that were told to close still hold something.
    pub fn is_dropping(&self) -> bool {
        self.dropping_bytes > 0
    }

    /// Bytes of requests, with those that are being dropped.
    pub fn request_bytes_at_most(&self) -> usize {
        self.request_bytes + self.dropping_bytes
    }

    /// The connection waits for its next request.
    pub fn set_idle(&mut self, id: ConnectionId, now: time::Instant) {
        self.clear_request(id);
        let Some(row) = self.rows.get_mut(&id) else { return };
        self.response_bytes -= std::mem::take(&mut row.response_bytes);
        (row.phase, row.since) = (Phase::Idle, now);
    }

    /// The first byte of a request has arrived.
    pub fn begin_request(&mut self, id: ConnectionId, now: time::Instant) {
        if let Some(row) = self.rows.get_mut(&id) {
            (row.phase, row.since) = (Phase::Receiving, now);
        }
    }

    /// The request is complete. Returns false if the connection was told to close before.
    pub fn complete_request(&mut self, id: ConnectionId, now: time::Instant) -> bool {
        let Some(row) = self.rows.get_mut(&id).filter(|row| !row.is_told_to_close()) else {
            return false;
        };
        (row.phase, row.since, row.taken_at) = (Phase::Running, now, now);
        let bytes = row.request_bytes;
        if bytes > limits::SMALL_REQUEST_BYTES {
            self.large_running_bytes += bytes;
        }
        true
    }

    /// The connection ends, and has dropped what it held.
    pub fn begin_close(&mut self, id: ConnectionId, now: time::Instant) {
        self.set_idle(id, now);
        if let Some(row) = self.rows.get_mut(&id) {
            row.phase = Phase::Closing;
            self.dropping_bytes -= std::mem::take(&mut row.dropping_bytes);
        }
    }

    /// Sets how many bytes of its request a connection holds.
    pub fn set_request_bytes(&mut self, id: ConnectionId, bytes: usize) {
        let Some(row) = self.rows.get_mut(&id).filter(|row| !row.is_told_to_close()) else {
            return;
        };
        if row.phase == Phase::Running && row.request_bytes > limits::SMALL_REQUEST_BYTES {
            self.large_running_bytes -= row.request_bytes;
        }
        self.request_bytes -= row.counted_request_bytes();
        row.request_bytes = bytes;
        self.request_bytes += row.counted_request_bytes();
    }

    /// The client may have sent `bytes` ahead. Returns false if that was known.
    pub fn begin_ahead(&mut self, id: ConnectionId, bytes: usize, now: time::Instant) -> bool {
        let is_new = |row: &&mut Row| !row.is_told_to_close() && row.ahead_bytes == 0;
        let Some(row) = self.rows.get_mut(&id).filter(is_new) else { return false };
        (row.ahead_bytes, row.ahead_since) = (bytes, now);
        self.request_bytes += bytes;
        true
    }

    /// The connection holds nothing of a request any more.
    fn clear_request(&mut self, id: ConnectionId) {
        self.set_request_bytes(id, 0);
        if let Some(row) = self.rows.get_mut(&id) {
            self.request_bytes -= std::mem::take(&mut row.ahead_bytes);
        }
    }

    /// Adds bytes of a response.
    pub fn add_response_bytes(&mut self, id: ConnectionId, bytes: usize) {
        if let Some(row) = self.rows.get_mut(&id).filter(|row| !row.is_told_to_close()) {
            row.response_bytes += bytes;
            self.response_bytes += bytes;
        }
    }

    /// Releases bytes of a response that the client has taken.
    pub fn release_response(&mut self, id: ConnectionId, bytes: usize, now: time::Instant) {
        if let Some(row) = self.rows.get_mut(&id) {
            let released = bytes.min(row.response_bytes);
            row.response_bytes -= released;
            row.taken_at = now;
            self.response_bytes -= released;
        }
    }

    /// Whether a listener has connections that end.
    pub fn has_closing(&self, listener: limits::Listener) -> bool {
        let mut rows = self.rows.values().filter(|row| row.listener == listener && !row.is_surplus);
        rows.any(|row| row.is_told_to_close() || row.phase == Phase::Closing)
    }

    /// Whether a request is being received on a connection of a listener.
    pub fn is_receiving(&self, listener: limits::Listener) -> bool {
        let mut rows = self.rows.values().filter(|row| row.listener == listener);
        rows.any(|row| row.phase == Phase::Receiving && !row.is_told_to_close())
    }

    /// Whether running requests leave room for one of `bytes`. Small ones always have it, since the
    /// large ones may take only a part of the memory.
    pub fn leaves_room_beside_running(&self, bytes: usize) -> bool {
        bytes <= limits::SMALL_REQUEST_BYTES
            || self.large_running_bytes + bytes <= self.limits.large_request_bytes()
    }

    /// What the connections hold.
    pub fn usage(&self) -> Usage {
        let count = |listener| self.counts.get(&(listener, false)).copied().unwrap_or(0);
        Usage {
            callers: count(limits::Listener::Callers),
            peers: count(limits::Listener::Peers),
            monitoring: count(limits::Listener::Readiness).max(count(limits::Listener::Operators)),
            handshakes: count(limits::Listener::Links),
            request_bytes: self.request_bytes,
            response_bytes: self.response_bytes,
        }
    }

    /// Raises the memory for requests so that a single one of `bytes` fits, if the machine allows it.
    pub fn admit_requests_of(&mut self, bytes: usize) {
        let needed = limits::Limits::request_bytes_for(bytes).min(self.limits.max_request_bytes);
        self.limits.request_bytes = self.limits.request_bytes.max(needed);
    }
}
