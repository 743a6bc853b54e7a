//! What reaches a world.

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
    /// A caller's request, at an entry.
    Request(Box<CallerRequest>),
    /// The caller of a request went away.
    CallerDisconnected(ids::RequestId),
    /// Text of the answer that a caller has received so far, as asked for.
    DeliveredText {
        /// The request.
        request: ids::RequestId,
        /// The text.
        text: String,
    },
    /// A message from another process.
    PeerMessage {
        /// Its sender.
        from: ids::InstanceName,
        /// The message in its envelope.
        envelope: messages::Envelope,
    },
    /// A connection to another process failed: what was sent may not have arrived.
    PeerDisconnected(ids::InstanceName),
    /// An append ended.
    AppendCompleted {
        /// The stream.
        stream: ids::StreamName,
        /// Nonce of the entry.
        nonce: ids::Nonce,
        /// What is known of it.
        result: AppendResult,
    },
    /// A read ended.
    ReadCompleted {
        /// The stream.
        stream: ids::StreamName,
        /// The entries, or nothing where the log did not answer.
        page: Option<StreamPage>,
    },
    /// The platform's list of instances; nothing where it did not answer.
    InstanceList(Option<Vec<ListedInstance>>),
    /// An attempt on the own endpoint ended.
    AttemptEnded {
        /// The attempt.
        attempt: ids::AttemptId,
        /// How it ended.
        end: work::AttemptOutcome,
    },
    /// Text of an attempt that went through this process so far, as asked for.
    PartialText {
        /// The attempt.
        attempt: ids::AttemptId,
        /// The text.
        text: String,
    },
    /// What the own endpoint reports; nothing where it did not answer.
    EndpointReport(Option<EndpointReport>),
    /// An order to the own endpoint ended.
    ReleaseCompleted {
        /// The hold that it was about.
        hold: ids::HoldId,
        /// Whether the endpoint confirmed it.
        confirmed: bool,
    },
    /// Stop gracefully.
    Drain,
}

/// A request as an entry reads it from a caller.
#[derive(Clone, Debug, PartialEq)]
pub struct CallerRequest {
    /// The request's number.
    pub request: ids::RequestId,
    /// Digest of the bearer token.
    pub key: Option<digest::Digest>,
    /// The program; none starts one.
    pub program: Option<ids::ProgramId>,
    /// The parent program of a new sub-agent.
    pub parent: Option<ids::ProgramId>,
    /// The conversation; none starts one.
    pub conversation: Option<ids::ConversationId>,
    /// The turn.
    pub turn: Option<ids::Turn>,
    /// What to run.
    pub work: work::Work,
    /// Where earlier turns come from.
    pub history: history::HistorySource,
    /// Time until the deadline; none takes the default.
    pub time_left: Option<time::Duration>,
    /// Most cost units that the call may spend.
    pub cost_bound: Option<work::Cost>,
    /// The caller's idempotency key.
    pub idempotency_key: Option<String>,
}

/// What is known of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendResult {
    /// It stands at this offset.
    Committed(ids::Offset),
    /// The log refused it: too many appends.
    RateLimited,
    /// No answer: it may stand in the stream, now or later.
    Unknown,
}

/// Entries read from a stream.
#[derive(Clone, Debug, PartialEq)]
pub struct StreamPage {
    /// First offset that the stream still has.
    pub start: ids::Offset,
    /// Offset after the last entry of the page.
    pub next: ids::Offset,
    /// Offset after the last entry of the stream.
    pub end: ids::Offset,
    /// The entries.
    pub entries: Vec<StreamEntry>,
}

/// An entry at its place.
#[derive(Clone, Debug, PartialEq)]
pub struct StreamEntry {
    /// Its offset.
    pub offset: ids::Offset,
    /// How long ago the log took it.
    pub age: time::Duration,
    /// The entry; nothing where it can't be read by this version.
    pub entry: Option<journal::Entry>,
}

/// One row of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedInstance {
    /// Instance name.
    pub instance: ids::InstanceName,
    /// Its region.
    pub region: ids::RegionName,
    /// Its failure domain.
    pub domain: ids::DomainName,
    /// The endpoint beside it; none at an entry.
    pub endpoint: Option<ids::EndpointName>,
    /// Address for links, `ip:port`.
    pub address: String,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// What an endpoint reports of itself, with a lag.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointReport {
    /// Calls that run.
    pub running: u32,
    /// Prompt tokens computed a second.
    pub prefill_rate: f64,
    /// Share of cache memory in use, 0 to 1.
    pub pressure: f64,
    /// Holds that it keeps.
    pub holds: Vec<ids::HoldId>,
}
