//! Inputs of a gateway's decision logic.

use std::collections;
use std::time;

use bytes::Bytes;
use flamingotrail_core::time as core_time;

use crate::ids;
use crate::journal;
use crate::leases;
use crate::tables::peers;

/// An input of a tick.
#[derive(Clone, Debug)]
pub enum Input {
    /// A caller's request was received completely.
    Arrived(Box<Arrival>),
    /// The head of an endpoint's response was received.
    ResponseBegan {
        /// The call that the response belongs to.
        call: ids::CallId,
        /// Sequence number of the attempt within the call.
        attempt: u32,
        /// What the endpoint announces of itself.
        notice: Notice,
        /// Load that the endpoint reported.
        load: Option<Load>,
    },
    /// A new connection to an endpoint was established.
    Connected {
        /// The endpoint.
        endpoint: ids::EndpointId,
        /// Time that it took.
        took: time::Duration,
    },
    /// The caller has disconnected before the end of its response.
    Disconnected(ids::CallId),
    /// An attempt on an endpoint has ended. Each attempt has exactly one outcome.
    Outcome {
        /// The call that the attempt belongs to.
        call: ids::CallId,
        /// Sequence number of the attempt within the call.
        attempt: u32,
        /// Result of the attempt.
        outcome: Outcome,
    },
    /// The response to a call was written to its caller, or the caller's connection was lost.
    Delivered(ids::CallId),
    /// An append has ended.
    Appended {
        /// Partition of the append.
        partition: ids::Partition,
        /// Offset of the first appended record, or the reason for the failure.
        result: Result<ids::Offset, LogError>,
    },
    /// A read has ended.
    Read {
        /// Partition of the read.
        partition: ids::Partition,
        /// Records that were read, or the reason for the failure.
        result: Result<Page, LogError>,
    },
    /// A configuration was published.
    Configuration(Box<Configuration>),
    /// The platform's endpoint list was read.
    Endpoints(Membership),
    /// A read of the platform's endpoint list has failed.
    ListUnreachable,
    /// The set of other gateways was read.
    Peers(collections::BTreeMap<ids::InstanceName, peers::Peer>),
    /// A health check of an endpoint has ended.
    EndpointChecked {
        /// Endpoint that was checked.
        endpoint: ids::EndpointId,
        /// What the endpoint announces; `None` if it did not respond or is not healthy.
        notice: Option<Notice>,
    },
    /// Another gateway has learned of announcements of endpoints, or was asked for them.
    PeerNotices(Vec<PeerNotice>),
    /// Another gateway asks for the announcements of endpoints that this one knows.
    NoticesRequested {
        /// Correlates the request with its response.
        ticket: u64,
    },
    /// Another gateway has learned of endpoints that were crashed by a request, or was asked for them.
    PeerCrashes(Vec<PeerCrash>),
    /// Another gateway has responded to `Output::AskCrashes` with all that it knows.
    KnownCrashes(Vec<PeerCrash>),
    /// What gateways have saved of crashes was read.
    SavedCrashes(Vec<CrashRecord>),
    /// `Output::SaveCrashes` has ended; contains whether the record is stored.
    CrashesSaved(bool),
    /// Another gateway tells of requests that endpoints have survived.
    PeerSurvivals(Vec<ids::Fingerprint>),
    /// Another gateway asks for the crashes that this one knows.
    CrashesRequested {
        /// Correlates the request with its response.
        ticket: u64,
    },
    /// A probe of another gateway has ended.
    PeerProbed {
        /// Gateway that was probed.
        peer: ids::InstanceName,
        /// Whether it responded.
        has_responded: bool,
    },
    /// Another gateway asks this one for leases and units.
    AllowancesRequested {
        /// Correlates the request with its response.
        ticket: u64,
        /// The request.
        request: Box<leases::Request>,
    },
    /// A request to the owner of workspaces has ended.
    AllowancesAnswered {
        /// Gateway that was asked.
        peer: ids::InstanceName,
        /// Number of the request.
        number: u64,
        /// The answer; `None` if the gateway did not respond.
        answer: Option<leases::Answer>,
    },
    /// Another gateway asks which leases this one holds.
    HoldingsRequested {
        /// Correlates the request with its response.
        ticket: u64,
        /// Gateway that asks.
        owner: ids::InstanceName,
        /// Why it asks.
        question: leases::Question,
    },
    /// A question to another gateway which leases it holds has ended.
    HoldingsReported {
        /// Gateway that was asked.
        peer: ids::InstanceName,
        /// What it holds.
        report: leases::Report,
    },
    /// Another gateway asks this one to append a record.
    RelayRequested {
        /// Correlates the request with its response.
        ticket: u64,
        /// Record to append.
        record: Box<journal::Record>,
    },
    /// A request to another gateway to append a record has ended.
    RelayFinished {
        /// Gateway that was asked.
        peer: ids::InstanceName,
        /// Key of the record.
        key: journal::Key,
        /// The response; `None` if the gateway did not respond.
        response: Option<RelayResponse>,
    },
    /// Another gateway asks for a turn and the turns that it continues.
    LookupRequested {
        /// Correlates the request with its response.
        ticket: u64,
        /// Turn to look up.
        turn: ids::TurnId,
    },
    /// A request to another gateway to look up a turn has ended.
    LookupFinished {
        /// Call that needs the turn.
        call: ids::CallId,
        /// Gateway that was asked.
        peer: ids::InstanceName,
        /// The response; `None` if the gateway did not respond.
        response: Option<LookupResponse>,
    },
    /// The process was asked to shut down gracefully.
    Drain,
}

/// A gateway's response to a request to append another gateway's record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RelayResponse {
    /// Whether the record is stored in the log; if not, it may still be stored later.
    pub logged: bool,
    /// Size of the allowance granted by a `Start` record; `None` if the budget has no room.
    pub size: Option<u64>,
}

/// A gateway's response to another gateway's lookup of a turn.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LookupResponse {
    /// The turn, followed by the turns that it continues; empty if it was not found.
    pub chain: Vec<journal::End>,
    /// Whether the log was read to its end for the lookup, so that a missing turn does not exist.
    pub is_authoritative: bool,
}

/// A caller's request.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Id of the call within this process.
    pub call: ids::CallId,
    /// Id that the caller assigned to this request; empty if it sent none. Each retry by the caller
    /// has a new id.
    pub id: ids::TurnId,
    /// Requested host, for route selection.
    pub host: String,
    /// Requested path, for route selection.
    pub path: String,
    /// Method and query of the request.
    pub method_and_query: String,
    /// When the first byte of the request was received.
    pub received: core_time::Timestamp,
    /// Time that the caller allows for the request; `None` if it sent no limit.
    pub timeout: Option<time::Duration>,
    /// What the caller presented to identify its workspace.
    pub credential: Credential,
    /// Hash of the object that the request concerns; endpoints that have handled it lately are faster.
    pub affinity: Option<u64>,
    /// Program that the request is part of.
    pub program: Option<ProgramHeader>,
    /// Token counts that the caller declared.
    pub usage: Option<Usage>,
    /// Turn that the request continues.
    pub previous: Option<ids::TurnId>,
    /// Where the caller resumes a stream that broke off.
    pub resume_after: Option<ResumePoint>,
    /// Parts of the prompt, in order.
    pub prompt: Vec<PromptPart>,
    /// Body of the request.
    pub body: Bytes,
}

impl Arrival {
    /// Returns the fingerprint of the request, which is the same if its caller sends it again; the
    /// same request of another workspace has another one.
    pub fn fingerprint(&self, workspace: Option<&ids::WorkspaceName>) -> ids::Fingerprint {
        let previous = self.previous.as_ref().map_or("", |previous| previous.as_str());
        let mut fields = vec![
            self.host.as_bytes(),
            self.path.as_bytes(),
            self.method_and_query.as_bytes(),
            previous.as_bytes(),
            &self.body,
        ];
        fields.extend(workspace.map(|workspace| workspace.as_str().as_bytes()));
        ids::Fingerprint::of(&fields)
    }
}

/// What a caller presents to identify its workspace.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Credential {
    /// Nothing.
    #[default]
    Absent,
    /// A key.
    Key(ids::KeyDigest),
    /// Something that can't be a key.
    Malformed,
}

/// The event after which a caller resumes a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResumePoint {
    /// Id of the last event that the caller has.
    Event(u64),
    /// The caller sent something that is not the id of an event.
    Invalid,
}

/// What the headers of a request say about its program.
#[derive(Clone, Debug)]
pub struct ProgramHeader {
    /// Id of the program.
    pub id: ids::ProgramId,
    /// Maximum number of tokens that the whole program may generate; `None` if it is not limited.
    pub budget: Option<u64>,
}

/// Token counts of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Usage {
    /// Number of tokens in the prompt.
    pub prompt: u64,
    /// Maximum number of tokens to generate.
    pub max_output: u64,
}

/// A part of a prompt that an engine may have cached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifies the content of the part.
    pub id: u64,
    /// Number of tokens in the part.
    pub tokens: u64,
}

/// Result of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// No byte of the request was sent, so it did not run.
    NotSent(Failure),
    /// The endpoint refused the request and states that it did not run it.
    Refused {
        /// HTTP status of the refusal.
        status: u16,
        /// Load that the endpoint reported.
        load: Option<Load>,
    },
    /// A complete response that is not a stream; the traffic thread holds its content.
    Answered {
        /// HTTP status of the response.
        status: u16,
        /// Whether the endpoint signed the response.
        signed: bool,
        /// Load that the endpoint reported.
        load: Option<Load>,
    },
    /// The response was a stream, which has ended.
    Streamed {
        /// Whether the stream was received completely.
        complete: bool,
        /// Number of events of this attempt that were forwarded to the caller or are held for it.
        events: u64,
        /// Id of the last of these events; `None` if there was none or it has no number.
        last_event: Option<u64>,
        /// Data of the events, each followed by a line feed.
        output: Bytes,
        /// Load that the endpoint reported at the start of the stream.
        load: Option<Load>,
    },
    /// The request was sent but no complete response was received, so it may have run.
    Lost(Failure),
    /// The attempt was cancelled before its response began, so it may have run.
    Cancelled,
}

/// Lowest HTTP status that counts as a failure of the endpoint.
pub const SERVER_ERROR_STATUS: u16 = 500;

impl Outcome {
    /// Returns the load that the endpoint reported with its response.
    pub fn load(&self) -> Option<Load> {
        match self {
            Outcome::Refused { load, .. }
            | Outcome::Answered { load, .. }
            | Outcome::Streamed { load, .. } => *load,
            Outcome::NotSent(_) | Outcome::Lost(_) | Outcome::Cancelled => None,
        }
    }

    /// Whether the endpoint has served the request: a complete response that is no server error.
    pub fn has_succeeded(&self) -> bool {
        match self {
            Outcome::Answered { status, .. } => *status < SERVER_ERROR_STATUS,
            Outcome::Streamed { complete, .. } => *complete,
            _ => false,
        }
    }
}

/// Why an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The connection could not be established.
    Connect,
    /// The connection was closed or reset.
    Closed,
    /// The response could not be parsed.
    Malformed,
    /// The attempt timed out.
    Timeout,
    /// The caller has left before the attempt began. The endpoint has no part in it.
    CallerLeft,
}

/// What an endpoint announces of itself in the head of a response. It holds until a later response
/// says otherwise.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Notice {
    /// Maximum number of requests per second that the endpoint accepts from all gateways together;
    /// `None` if it names no limit.
    pub max_requests_per_s: Option<f64>,
    /// Whether the endpoint is about to end.
    pub is_leaving: bool,
}

/// What a gateway tells the others of an endpoint's announcement.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerNotice {
    /// The endpoint.
    pub endpoint: ids::EndpointId,
    /// What the endpoint announces.
    pub notice: Notice,
    /// Time since the request was sent whose response contained the announcement.
    pub age: time::Duration,
}

/// The crash of an endpoint by a request, as gateways tell each other.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerCrash {
    /// The request.
    pub fingerprint: ids::Fingerprint,
    /// The endpoint.
    pub endpoint: ids::EndpointId,
    /// Time since the request was lost.
    pub age: time::Duration,
    /// Time between the sending of the request and its loss.
    pub took: time::Duration,
}

/// A request that was lost with its connection to an endpoint, which may have ended with it.
#[derive(Clone, Debug, PartialEq)]
pub struct Loss {
    /// The request.
    pub fingerprint: ids::Fingerprint,
    /// The endpoint.
    pub endpoint: ids::EndpointId,
    /// When the endpoint was started, in milliseconds since the Unix epoch, if it says so.
    pub started_at_ms: Option<u64>,
    /// Time since the request was lost.
    pub age: time::Duration,
    /// Time between the sending of the request and its loss.
    pub took: time::Duration,
}

/// What a gateway saves of requests that crash endpoints, for gateways that start later.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CrashRecord {
    /// Crashes of endpoints.
    pub crashes: Vec<PeerCrash>,
    /// Losses that may turn out to be crashes.
    pub losses: Vec<Loss>,
}

/// Load that an endpoint reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
    /// Maximum number of requests that run concurrently.
    pub slots: u32,
    /// How long work takes at the moment, in percent of the usual time; `None` if not reported.
    pub slowdown_percent: Option<u32>,
}

/// Reason why an append or read failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogError {
    /// The log rejected the operation or could not be reached; the operation had no effect.
    Refused,
    /// The log is over its rate limit; the operation had no effect.
    Busy,
    /// The log does not accept the operation, now or later; it had no effect.
    Rejected,
    /// The log did not respond: the operation may have taken effect, or may still do so.
    Unknown,
    /// The requested records were deleted; contains the offset of the oldest record that is kept.
    Expired(ids::Offset),
}

/// Consecutive records of a partition.
#[derive(Clone, Debug, PartialEq)]
pub struct Page {
    /// Offset of the first record of the page.
    pub from: ids::Offset,
    /// Offset after the partition's last record.
    pub end: ids::Offset,
    /// The records in order; `None` for a record that could not be decoded.
    pub records: Vec<Option<journal::Record>>,
}

/// A configuration published by the operators.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// Version number; increases with each publication.
    pub version: u64,
    /// Configured routes.
    pub routes: Vec<Route>,
    /// Configured services by name.
    pub services: collections::BTreeMap<ids::ServiceName, Service>,
    /// Workspaces of the callers; `None` if callers need no key.
    pub workspaces: Option<Workspaces>,
}

/// The configured workspaces.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Workspaces {
    /// Workspaces by name.
    pub rows: collections::BTreeMap<ids::WorkspaceName, Workspace>,
    /// Workspace of each key.
    pub by_key: collections::BTreeMap<ids::KeyDigest, ids::WorkspaceName>,
}

/// A workspace: a customer who shares the deployment with others.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Workspace {
    /// Priority class, which goes before that of a route; 0 is the highest. `None` leaves the order to
    /// the routes.
    pub priority: Option<u8>,
    /// Maximum rate of its calls; `None` if it is not limited.
    pub allowance: Option<RateAllowance>,
}

/// Maximum rate of a workspace's calls, over all gateways together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RateAllowance {
    /// Calls per second.
    pub per_s: f64,
    /// Calls that may exceed the rate at once.
    pub burst: f64,
}

/// Execution semantics of a route's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// A request may run more than once.
    Idempotent,
    /// A request runs at most once.
    AtMostOnce,
    /// A request runs at most once and its response is a stream of events.
    Stream,
    /// The response is a stream of events. A request may run more than once, and another run may
    /// continue its stream after any event.
    ResumableStream,
}

impl RouteKind {
    /// Whether a response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, RouteKind::Stream | RouteKind::ResumableStream)
    }

    /// Whether a request may run more than once.
    pub fn is_repeatable(self) -> bool {
        matches!(self, RouteKind::Idempotent | RouteKind::ResumableStream)
    }
}

/// Maps requests to services.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Host of the matching requests.
    pub host: String,
    /// Path prefix of the matching requests.
    pub path_prefix: String,
    /// Execution semantics of the requests.
    pub kind: RouteKind,
    /// Maximum duration of a request.
    pub timeout: time::Duration,
    /// Latency within which a response has its full value for the caller.
    pub target_latency: time::Duration,
    /// Time without a byte after which callers leave a stream.
    pub max_silence: time::Duration,
    /// Priority class; 0 is the highest.
    pub priority: u8,
    /// Target services with their weights.
    pub traffic_split: Vec<(ids::ServiceName, u64)>,
    /// Maximum number of endpoints that may run one request of a caller.
    pub max_attempts: u32,
    /// How long turns are kept; `None` if this system does not store them.
    pub retention: Option<time::Duration>,
    /// Whether callers need no key.
    pub is_public: bool,
    /// Whether endpoints that have lately handled the same object are faster.
    pub is_sticky: bool,
}

/// A service that a group of endpoints provides.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Service {
    /// Properties of its model engines; `None` for a plain service.
    pub engine: Option<Engine>,
    /// Path at which endpoints say whether they are healthy; `None` if they do not.
    pub health_path: Option<String>,
}

/// Properties of a service's model engines.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Engine {
    /// Number of tokens in each event of a stream.
    pub tokens_per_event: u64,
    /// Memory of an engine in tokens, for running requests and cached prompt parts; `None` if not
    /// configured.
    pub memory_tokens: Option<u64>,
}

/// A snapshot of the platform's endpoint list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Membership {
    /// Listed endpoints by id.
    pub endpoints: collections::BTreeMap<ids::EndpointId, Endpoint>,
}

/// An endpoint as the platform's list describes it.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Service that the endpoint provides.
    pub service: ids::ServiceName,
    /// Address of the endpoint, `ip:port`.
    pub address: String,
    /// Failure domain of the endpoint.
    pub domain: ids::DomainName,
    /// Maximum number of requests that run concurrently.
    pub slots: u32,
    /// Whether the endpoint is shutting down.
    pub draining: bool,
    /// Remaining duration of the endpoint's cold start, during which it is slow.
    pub cold_start_remaining: time::Duration,
    /// When the endpoint was started, in milliseconds since the Unix epoch, if it says so. An endpoint
    /// may be started again under the same id.
    pub started_at_ms: Option<u64>,
}
