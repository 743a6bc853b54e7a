//! What a world is told.

use std::collections;
use std::time;

use bytes::Bytes;
use flamingotrail_core::time as core_time;

use crate::ids;
use crate::journal;
use crate::tables::peers;

/// One input of a tick.
#[derive(Clone, Debug)]
pub enum Input {
    /// A caller's request was read whole.
    Arrived(Box<Arrival>),
    /// The caller of a request has left.
    Disconnected(ids::CallId),
    /// An attempt on an endpoint is over; each attempt has one outcome.
    Outcome {
        /// The call.
        call: ids::CallId,
        /// Number of the attempt within the call.
        attempt: u32,
        /// How it went.
        outcome: Outcome,
    },
    /// The answer of a call was handed to its caller, or its connection is gone.
    Delivered(ids::CallId),
    /// Records were appended, or the log refused them.
    Appended {
        /// The partition.
        partition: ids::Partition,
        /// Offset of the first record.
        result: Result<ids::Offset, LogError>,
    },
    /// Records were read.
    Read {
        /// The partition.
        partition: ids::Partition,
        /// The page.
        result: Result<Page, LogError>,
    },
    /// A configuration.
    Configuration(Box<Configuration>),
    /// All endpoints, as of one reading of the platform's list.
    Endpoints(Membership),
    /// A try to reach the platform's list or configuration has failed.
    ListUnreachable,
    /// All other gateways.
    Peers(collections::BTreeMap<ids::InstanceName, peers::Peer>),
    /// Another gateway entrusts a record to this process.
    RelayRequested {
        /// Ticket of the question.
        ticket: u64,
        /// The record.
        record: Box<journal::Record>,
    },
    /// Another gateway has answered about a record that was entrusted to it; none where it did not
    /// answer.
    RelayAnswered {
        /// The gateway.
        peer: ids::InstanceName,
        /// The record.
        key: journal::Key,
        /// Its answer.
        answer: Option<RelayAnswer>,
    },
    /// Another gateway looks for a turn.
    LookupRequested {
        /// Ticket of the question.
        ticket: u64,
        /// The turn.
        turn: ids::TurnId,
    },
    /// Another gateway has answered about a turn; none where it did not answer.
    LookupAnswered {
        /// The call that looks for it.
        call: ids::CallId,
        /// The gateway.
        peer: ids::InstanceName,
        /// Its answer.
        answer: Option<LookupAnswer>,
    },
    /// The process was told to stop.
    Drain,
}

/// What a gateway says of a record that was entrusted to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RelayAnswer {
    /// Whether it stands in the log; otherwise it may get there later.
    pub logged: bool,
    /// For a start, the size of the allowance; none where the budget has no room.
    pub size: Option<u64>,
}

/// What a gateway has found of a turn that another one looks for.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LookupAnswer {
    /// The turns of its chain, the sought one first; empty where there is none.
    pub chain: Vec<journal::End>,
    /// Whether the log was read to its end for it.
    pub is_authoritative: bool,
}

/// A caller's request.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Number at this process.
    pub call: ids::CallId,
    /// The caller's id for this attempt; empty where it gave none.
    pub id: ids::TurnId,
    /// Host that selects the route.
    pub host: String,
    /// Path that selects the route.
    pub path: String,
    /// When its first byte came.
    pub received: core_time::Timestamp,
    /// How long the caller waits.
    pub timeout: Option<time::Duration>,
    /// The program that it is part of.
    pub program: Option<ProgramHeader>,
    /// Tokens of the prompt and tokens generated at most.
    pub usage: Option<Usage>,
    /// The turn that it continues.
    pub previous: Option<ids::TurnId>,
    /// Parts of the prompt, in order.
    pub prompt: Vec<PromptPart>,
    /// The body.
    pub body: Bytes,
}

/// A program as its requests tell it.
#[derive(Clone, Debug)]
pub struct ProgramHeader {
    /// The program.
    pub id: ids::ProgramId,
    /// Tokens that it may generate.
    pub budget: Option<u64>,
}

/// Tokens that a request needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Tokens generated at most.
    pub max_output: u64,
}

/// A part of a prompt that may be cached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identity of the part.
    pub id: u64,
    /// Its tokens.
    pub tokens: u64,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// No byte of the request left this process: it did not run.
    NotSent(Failure),
    /// The endpoint says that it did not run the request.
    Refused {
        /// Its status.
        status: u16,
        /// Its load.
        load: Option<Load>,
    },
    /// A whole answer that is not a stream; the traffic thread keeps it.
    Answered {
        /// Its status.
        status: u16,
        /// Whether the endpoint signed it.
        signed: bool,
        /// Its load.
        load: Option<Load>,
    },
    /// A stream has ended.
    Streamed {
        /// Whether it came to its end.
        complete: bool,
        /// Events handed to the caller or held for it.
        events: u64,
        /// Data of the events, each followed by a line feed.
        output: Bytes,
        /// Load of the endpoint at the start.
        load: Option<Load>,
    },
    /// The request was sent and has no whole answer: it may have run.
    Lost(Failure),
    /// The attempt was cancelled before an answer began: it may have run.
    Cancelled,
}

/// Why an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No connection could be made.
    Connect,
    /// The connection was closed or reset.
    Closed,
    /// Bytes that are no answer.
    Malformed,
    /// Time ran out.
    Timeout,
}

/// Load that an endpoint tells.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that run at once at most.
    pub slots: u32,
}

/// A call to the log that did not succeed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogError {
    /// The log says that nothing was done.
    Refused,
    /// The log takes no more calls at the moment; nothing was done.
    Busy,
    /// No answer: it may have been done, or may be done later.
    Unknown,
    /// The records are gone; the oldest that is kept.
    Expired(ids::Offset),
}

/// Records of a partition.
#[derive(Clone, Debug, PartialEq)]
pub struct Page {
    /// Offset of the first record of the page.
    pub from: ids::Offset,
    /// Offset after the partition's last record.
    pub end: ids::Offset,
    /// The records; none in the place of one that can't be read.
    pub records: Vec<Option<journal::Record>>,
}

/// What operators have published.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// Version; grows.
    pub version: u64,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services by name.
    pub services: collections::BTreeMap<ids::ServiceName, Service>,
}

/// What may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    AtMostOnce,
    /// Runs at most once; the answer is a stream of events.
    Stream,
}

/// A route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name.
    pub name: String,
    /// Host.
    pub host: String,
    /// Start of the path.
    pub path_prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time that a request may take.
    pub timeout: time::Duration,
    /// Time within which an answer has its full value.
    pub target_latency: time::Duration,
    /// Rank; 0 is first.
    pub priority: u8,
    /// Services with their weights.
    pub traffic_split: Vec<(ids::ServiceName, u64)>,
    /// Endpoints that one attempt of a caller may be sent to.
    pub max_attempts: u32,
    /// How long turns are kept; none where the system keeps none.
    pub retention: Option<time::Duration>,
}

/// A service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Service {
    /// Its model engines.
    pub engine: Option<Engine>,
}

/// Model engines of a service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Engine {
    /// Tokens in one event of a stream.
    pub tokens_per_event: u64,
}

/// One reading of the platform's list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Membership {
    /// The endpoints by id.
    pub endpoints: collections::BTreeMap<ids::EndpointId, Endpoint>,
}

/// What the platform's list says of an endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Its service.
    pub service: ids::ServiceName,
    /// Its address, `ip:port`.
    pub address: String,
    /// Its failure domain.
    pub domain: ids::DomainName,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it leaves.
    pub draining: bool,
    /// How much longer it is slow after its start.
    pub cold_start_remaining: time::Duration,
}
