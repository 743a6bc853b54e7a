//! Limits of what a process holds for its clients, and their defaults.

use std::time;

use flamingotrail_adapter::settings;

/// Memory that a connection takes beside what its row counts, in bytes: its task, its socket, and an
/// ordinary request.
pub const CONNECTION_BYTES: usize = 10 << 10;
/// Buffer space reserved for each read.
pub const READ_BYTES: usize = 4 << 10;
/// Bytes of a caller's connection that the kernel buffers until they are read: as many as it offers a new
/// connection in any case.
const RECEIVE_BUFFER_BYTES: usize = 64 << 10;
/// Bytes of a caller's connection that the kernel holds unsent before it takes no more.
const SEND_BUFFER_BYTES: usize = 16 << 10;
/// Longest time for receiving a body, whatever its caller allows.
const MAX_BODY_TIME: time::Duration = time::Duration::from_secs(60);
/// Bytes of a request that count as part of its connection.
pub const FREE_REQUEST_BYTES: usize = 8 << 10;
/// Requests over this size share a part of the memory, so that they leave room for the others.
pub const SMALL_REQUEST_BYTES: usize = 64 << 10;
/// Requests up to this size are ordinary: the last part of the memory is for them.
pub const ORDINARY_REQUEST_BYTES: usize = 16 << 10;
/// Part of the memory for requests that is kept for ordinary ones.
const ORDINARY_REQUESTS_DIVISOR: usize = 8;
/// Parts of the process's memory for each kind of bytes.
const CONNECTIONS_DIVISOR: usize = 6;
const RESPONSES_DIVISOR: usize = 8;
const LINKS_DIVISOR: usize = 8;
const BUFFERS_DIVISOR: usize = 5;
/// Part of the memory for requests at most, however large bodies may be.
const MAX_REQUESTS_DIVISOR: usize = 2;
/// Descriptors that are left for files.
const FILE_DESCRIPTORS: usize = 200;
/// Parts of the descriptors for each kind of connections; the rest is for those that the process
/// opens itself.
const CALLERS_DIVISOR: usize = 2;
const OTHERS_DIVISOR: usize = 8;
/// Memory of a handshake of a link that is not complete, in bytes.
const HANDSHAKE_BYTES: usize = 48 << 10;
const HANDSHAKES_DIVISOR: usize = 16;
/// Bounds of the number of such handshakes. Many instances may connect at once, after a restart for
/// example.
const MIN_HANDSHAKES: usize = 16;
const MAX_HANDSHAKES: usize = 1_024;
/// Part of the callers' connections that may be open beyond their limit to be refused.
const SURPLUS_DIVISOR: usize = 16;
/// Most connections to listeners for monitoring that any process needs.
const MAX_MONITORING_CONNECTIONS: usize = 64;

/// Kind of a listener. Each has a limit of its own, so that a crowd at one leaves the others room.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Listener {
    /// Callers.
    Callers,
    /// Other processes of the system.
    Peers,
    /// Handshakes of links that are not complete.
    Links,
    /// Readiness checks.
    Readiness,
    /// Metrics and operators.
    Operators,
}

/// What the machine offers the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Machine {
    /// Memory in bytes.
    pub memory_bytes: usize,
    /// Number of descriptors.
    pub descriptors: usize,
}

/// Limits that an operator has set; `None` for those that follow from the machine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Overrides {
    /// Maximum number of callers' connections.
    pub max_connections: Option<usize>,
    /// Maximum number of connections of other processes of the system.
    pub max_peers: Option<usize>,
    /// Maximum number of connections to each listener for monitoring.
    pub max_monitoring: Option<usize>,
    /// Maximum number of handshakes of links that are not complete.
    pub max_handshakes: Option<usize>,
    /// Maximum number of bytes of all requests together.
    pub max_request_bytes: Option<usize>,
    /// Maximum number of bytes of all responses together that their clients have not taken.
    pub max_response_bytes: Option<usize>,
    /// Maximum number of bytes of all frames together that wait for a peer.
    pub max_link_bytes: Option<usize>,
    /// Maximum number of bytes of all responses together that are received, or held until their call ends.
    pub max_buffer_bytes: Option<usize>,
    /// Bytes of a caller's connection that the kernel buffers until they are read.
    pub receive_buffer_bytes: Option<usize>,
    /// Bytes of a connection that the kernel holds unsent before it takes no more.
    pub send_buffer_bytes: Option<usize>,
    /// Longest time for receiving a body.
    pub max_body_time: Option<time::Duration>,
}

/// Limits of what a process holds for its clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of connections of callers.
    pub callers: usize,
    /// Maximum number of connections of other processes of the system.
    pub peers: usize,
    /// Maximum number of connections to each listener for monitoring.
    pub monitoring: usize,
    /// Maximum number of handshakes of links that are not complete.
    pub handshakes: usize,
    /// Maximum number of bytes of all requests together.
    pub request_bytes: usize,
    /// How far a configuration with large bodies may raise the former.
    pub max_request_bytes: usize,
    /// Maximum number of bytes of all responses together that their clients have not taken.
    pub response_bytes: usize,
    /// Maximum number of bytes of all frames together that wait for a peer.
    pub link_bytes: usize,
    /// Maximum number of bytes of all responses together that are received, or held until their call ends.
    pub buffer_bytes: usize,
    /// Bytes of a caller's connection that the kernel buffers until they are read.
    pub receive_buffer_bytes: usize,
    /// Bytes of a connection that the kernel holds unsent before it takes no more.
    pub send_buffer_bytes: usize,
    /// Longest time for receiving a body, whatever its caller allows.
    pub max_body_time: time::Duration,
}

impl Limits {
    /// Returns the limits for a process on `machine`, with those that an operator has set.
    pub fn new(machine: &Machine, overrides: &Overrides) -> Self {
        let sockets = machine
            .descriptors
            .saturating_sub(FILE_DESCRIPTORS)
            .max(machine.descriptors / CALLERS_DIVISOR)
            .min(machine.descriptors);
        let by_memory = machine.memory_bytes / CONNECTIONS_DIVISOR / CONNECTION_BYTES;
        let callers = (sockets / CALLERS_DIVISOR).min(by_memory);
        let others = (sockets / OTHERS_DIVISOR).min(by_memory).max(1);
        Limits {
            callers: overrides.max_connections.unwrap_or(callers).max(1),
            peers: overrides.max_peers.unwrap_or(others).max(1),
            monitoring: overrides
                .max_monitoring
                .unwrap_or(others.min(MAX_MONITORING_CONNECTIONS))
                .max(1),
            handshakes: overrides
                .max_handshakes
                .unwrap_or_else(|| {
                    let by_memory = machine.memory_bytes / HANDSHAKES_DIVISOR / HANDSHAKE_BYTES;
                    by_memory.clamp(MIN_HANDSHAKES, MAX_HANDSHAKES)
                })
                .max(1),
            request_bytes: overrides
                .max_request_bytes
                .unwrap_or(machine.memory_bytes / settings::REQUEST_MEMORY_DIVISOR),
            max_request_bytes: machine.memory_bytes / MAX_REQUESTS_DIVISOR,
            response_bytes: overrides
                .max_response_bytes
                .unwrap_or(machine.memory_bytes / RESPONSES_DIVISOR),
            send_buffer_bytes: overrides.send_buffer_bytes.unwrap_or(SEND_BUFFER_BYTES),
            receive_buffer_bytes: overrides.receive_buffer_bytes.unwrap_or(RECEIVE_BUFFER_BYTES),
            buffer_bytes: overrides
                .max_buffer_bytes
                .unwrap_or(machine.memory_bytes / BUFFERS_DIVISOR),
            link_bytes: overrides.max_link_bytes.unwrap_or(machine.memory_bytes / LINKS_DIVISOR),
            max_body_time: overrides.max_body_time.unwrap_or(MAX_BODY_TIME),
        }
    }

    /// Maximum number of connections to `listener`.
    pub fn connections(&self, listener: Listener) -> usize {
        match listener {
            Listener::Callers => self.callers,
            Listener::Peers => self.peers,
            Listener::Links => self.handshakes,
            Listener::Readiness | Listener::Operators => self.monitoring,
        }
    }

    /// Maximum number of connections to `listener` beyond the former, which are told that there is no
    /// place for them. Those to other listeners close without a response.
    pub fn surplus_connections(&self, listener: Listener) -> usize {
        match listener {
            Listener::Callers => (self.callers / SURPLUS_DIVISOR).max(1),
            Listener::Peers | Listener::Links | Listener::Readiness | Listener::Operators => 0,
        }
    }

    /// Maximum number of bytes of all requests together for one that has `bytes` to be received.
    pub fn request_bytes_beside(&self, bytes: usize) -> usize {
        match bytes <= ORDINARY_REQUEST_BYTES {
            true => self.request_bytes,
            false => self.request_bytes - self.request_bytes / ORDINARY_REQUESTS_DIVISOR,
        }
    }

    /// Bytes that a client may have sent ahead of a response when a read of them is full.
    pub fn ahead_bytes(&self) -> usize {
        READ_BYTES + self.receive_buffer_bytes
    }

    /// Maximum number of bytes of running requests over [`SMALL_REQUEST_BYTES`].
    pub fn large_request_bytes(&self) -> usize {
        self.request_bytes.saturating_mul(settings::LARGE_REQUESTS_PERCENT) / 100
    }

    /// Returns the memory for requests that a single one of `bytes` needs.
    pub fn request_bytes_for(bytes: usize) -> usize {
        bytes.saturating_mul(100) / settings::LARGE_REQUESTS_PERCENT + SMALL_REQUEST_BYTES
    }
}
