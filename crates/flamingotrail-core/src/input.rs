//! Inputs of a world: caller requests, peer messages and results of I/O.

use std::time;

use crate::digest;
use crate::history;
use crate::ids;
use crate::journal;
use crate::messages;
use crate::work;

/// One input of a tick.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// A caller's request; only at an entry instance.
    Request(Box<CallerRequest>),
    /// The caller of a request disconnected.
    CallerDisconnected(ids::RequestId),
    /// Response to [`Output::FetchDeliveredText`](crate::output::Output::FetchDeliveredText): the
    /// response text that the caller has received so far.
    DeliveredText {
        /// The request.
        request: ids::RequestId,
        /// The text.
        text: String,
    },
    /// A message from another instance.
    PeerMessage {
        /// The sender.
        from: ids::InstanceName,
        /// The message in its envelope.
        envelope: messages::Envelope,
    },
    /// The connection to another instance failed; messages sent over it may be lost.
    PeerDisconnected(ids::InstanceName),
    /// An append to the log completed.
    AppendCompleted {
        /// The stream.
        stream: ids::StreamName,
        /// Nonce of the appended entry.
        nonce: ids::Nonce,
        /// Result of the append.
        result: AppendResult,
    },
    /// A read from the log completed.
    ReadCompleted {
        /// The stream.
        stream: ids::StreamName,
        /// The entries that were read; `None` if the log did not respond.
        page: Option<StreamPage>,
    },
    /// The platform's list of instances; `None` if the platform did not respond.
    InstanceList(Option<Vec<ListedInstance>>),
    /// An attempt on the local endpoint ended.
    AttemptEnded {
        /// The attempt.
        attempt: ids::AttemptId,
        /// Its outcome.
        outcome: work::AttemptOutcome,
    },
    /// Response to [`Output::FetchPartialText`](crate::output::Output::FetchPartialText): the text
    /// of an attempt that this instance has relayed so far.
    PartialText {
        /// The attempt.
        attempt: ids::AttemptId,
        /// The text.
        text: String,
    },
    /// A report of the local endpoint; `None` if the endpoint did not respond.
    EndpointReport(Option<EndpointReport>),
    /// A release of a hold on the local endpoint completed.
    ReleaseCompleted {
        /// The hold.
        hold: ids::HoldId,
        /// Whether the endpoint confirmed the release.
        confirmed: bool,
    },
    /// Start a graceful shutdown.
    Drain,
}

/// A caller's request as parsed by an entry instance.
#[derive(Clone, Debug, PartialEq)]
pub struct CallerRequest {
    /// Id of the request.
    pub request: ids::RequestId,
    /// Digest of the bearer token; `None` if the request has no token.
    pub token_digest: Option<digest::Digest>,
    /// The program; `None` starts a new one.
    pub program: Option<ids::ProgramId>,
    /// The parent program, if the request starts a sub-agent.
    pub parent: Option<ids::ProgramId>,
    /// The conversation; `None` starts a new one.
    pub conversation: Option<ids::ConversationId>,
    /// The turn number, if the caller sent one.
    pub turn: Option<ids::Turn>,
    /// The operation to run.
    pub work: work::Work,
    /// How the caller supplies earlier turns.
    pub history: history::HistorySource,
    /// Time left until the deadline; `None` applies the default deadline.
    pub time_left: Option<time::Duration>,
    /// Maximum cost of the call, in cost units.
    pub cost_bound: Option<work::Cost>,
    /// Idempotency key sent by the caller.
    pub idempotency_key: Option<String>,
}

/// Result of an append to the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendResult {
    /// The entry was stored at this offset.
    Committed(ids::Offset),
    /// The log rejected the append because of its rate limit.
    RateLimited,
    /// No response; the entry may already be in the stream or may still appear there.
    Unknown,
}

/// A contiguous range of entries read from a stream.
#[derive(Clone, Debug, PartialEq)]
pub struct StreamPage {
    /// First offset that the stream still retains.
    pub start: ids::Offset,
    /// Offset after the last entry of this page; the next read starts here.
    pub next: ids::Offset,
    /// Offset after the last entry of the stream.
    pub end: ids::Offset,
    /// The entries, in log order.
    pub entries: Vec<StreamEntry>,
}

/// One entry with its position in the stream.
#[derive(Clone, Debug, PartialEq)]
pub struct StreamEntry {
    /// Offset of the entry.
    pub offset: ids::Offset,
    /// Time since the log accepted the entry.
    pub age: time::Duration,
    /// The entry; `None` if this version can't decode it.
    pub entry: Option<journal::Entry>,
}

/// One instance in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedInstance {
    /// Name of the instance.
    pub instance: ids::InstanceName,
    /// Its region.
    pub region: ids::RegionName,
    /// Its failure domain.
    pub domain: ids::DomainName,
    /// The endpoint that it serves; `None` for an entry instance.
    pub endpoint: Option<ids::EndpointName>,
    /// Address for connections between instances, as `ip:port`.
    pub address: String,
    /// Whether the instance is shutting down.
    pub leaving: bool,
}

/// Status that an endpoint reports about itself. It lags behind the actual state.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointReport {
    /// Number of running calls.
    pub running: u32,
    /// Prompt tokens computed per second.
    pub prefill_rate: f64,
    /// Fraction of the cache memory in use, from 0 to 1.
    pub pressure: f64,
    /// Holds that the endpoint currently keeps.
    pub holds: Vec<ids::HoldId>,
}
