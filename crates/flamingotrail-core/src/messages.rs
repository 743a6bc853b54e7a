//! Messages between the system's processes.

use std::time;

use crate::digest;
use crate::history;
use crate::ids;
use crate::journal;
use crate::work;

/// A message with what is needed to deliver it at least once and take it at most once.
#[derive(Clone, Debug, PartialEq)]
pub struct Envelope {
    /// Start of the sender.
    pub from: ids::Incarnation,
    /// Start of the receiver; another start ignores the message. None reaches any start.
    pub target: Option<ids::Incarnation>,
    /// Number among the sender's confirmed messages; 0 for one that may get lost.
    pub number: u64,
    /// The message.
    pub message: Message,
}

/// A message from one process to another.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// Entry to owner: run a call.
    Submit(Box<Submit>),
    /// Owner to entry: the call was taken.
    Accepted {
        /// The request.
        request: ids::RequestId,
        /// Which sending of the request this answers.
        hop: u32,
        /// Partition of the call.
        partition: ids::Partition,
        /// Epoch of the owner.
        epoch: ids::Epoch,
    },
    /// Owner to entry: not the owner; nothing was run by this process for the request.
    Redirect {
        /// The request.
        request: ids::RequestId,
        /// Which sending of the request this answers.
        hop: u32,
        /// Who owns the partition, where known.
        owner: Option<ids::InstanceName>,
    },
    /// Owner to entry: how the call ended.
    Reply(Box<Reply>),
    /// Entry to owner: the caller is gone.
    Cancel {
        /// The request.
        request: ids::RequestId,
        /// Its conversation.
        conversation: ids::ConversationId,
    },
    /// Owner to the process beside an endpoint: run an attempt.
    Dispatch(Box<Dispatch>),
    /// Process beside an endpoint to owner: how an attempt ended.
    Ended {
        /// The attempt.
        attempt: ids::AttemptId,
        /// How it ended.
        end: work::AttemptOutcome,
        /// Load after it.
        load: Load,
    },
    /// Owner to the process beside an endpoint: stop an attempt.
    Abort {
        /// The attempt.
        attempt: ids::AttemptId,
    },
    /// Owner to the process beside an endpoint: let go of cached context.
    Release {
        /// What to let go of.
        holds: Vec<ids::HoldId>,
    },
    /// Are you there?
    Ping {
        /// Start of the sender.
        incarnation: ids::Incarnation,
        /// Configuration that the sender runs.
        version: ids::ConfigVersion,
    },
    /// The confirmed message with this number was taken.
    Ack {
        /// Its number.
        number: u64,
    },
    /// Here.
    Pong {
        /// Start of the sender.
        incarnation: ids::Incarnation,
        /// Configuration that the sender runs.
        version: ids::ConfigVersion,
        /// Load of the sender's endpoint.
        load: Load,
    },
    /// The sender is leaving: send it no new work.
    Leaving {
        /// Start of the sender.
        incarnation: ids::Incarnation,
    },
    /// The sender, owner at `epoch`, asks the receiver to claim the partition.
    HandOver {
        /// The partition.
        partition: ids::Partition,
        /// Epoch of the sender.
        epoch: ids::Epoch,
    },
    /// Which configuration do you run?
    ConfigAsk,
    /// The configuration that the sender runs.
    ConfigOffer {
        /// Its version.
        version: ids::ConfigVersion,
        /// Its text.
        source: String,
    },
    /// Content that was in flight when an endpoint crashed, ahead of the log.
    Suspects {
        /// One notice for each fingerprint.
        notices: Vec<journal::SuspectNotice>,
    },
}

/// How a program came to be, as far as the sender of a call knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProgramOrigin {
    /// This very sending starts it: no earlier one can have run anything of it.
    Fresh,
    /// An earlier sending may have started it.
    Started,
    /// The caller names it: it must be known.
    Existing,
}

/// A call on its way from an entry to the owner of its partition.
#[derive(Clone, Debug, PartialEq)]
pub struct Submit {
    /// The request.
    pub request: ids::RequestId,
    /// Which sending of the request this is, from 1.
    pub hop: u32,
    /// The workspace.
    pub workspace: ids::WorkspaceName,
    /// The program.
    pub program: ids::ProgramId,
    /// The parent program of a sub-agent.
    pub parent: Option<ids::ProgramId>,
    /// How the program came to be.
    pub origin: ProgramOrigin,
    /// The conversation.
    pub conversation: ids::ConversationId,
    /// The turn, where the caller names it.
    pub turn: Option<ids::Turn>,
    /// What to run.
    pub work: work::Work,
    /// Where earlier turns come from.
    pub history: history::HistorySource,
    /// Time left until the deadline.
    pub time_left: time::Duration,
    /// Most cost units that the call may spend.
    pub cost_bound: Option<work::Cost>,
    /// The caller's idempotency key.
    pub idempotency_key: Option<String>,
    /// Text of the answer that the caller already has.
    pub delivered: String,
    /// Owner that did not answer the entry.
    pub suspect: Option<ids::InstanceName>,
}

/// How a call ended, from owner to entry.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    /// The request.
    pub request: ids::RequestId,
    /// Which sending of the request this answers.
    pub hop: u32,
    /// Turn that the call took; 0 where it took none.
    pub turn: ids::Turn,
    /// Attempts made.
    pub attempts: u32,
    /// The outcome.
    pub outcome: work::Outcome,
    /// What the caller carries on, where the conversation moved on.
    pub continuation: Option<history::Continuation>,
}

/// Terms under which an engine keeps the context of a finished call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HoldLease {
    /// Id of the hold.
    pub id: ids::HoldId,
    /// How long it lasts without renewal.
    pub lease: time::Duration,
}

/// What an endpoint is to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Job {
    /// A model call.
    Model {
        /// The model.
        model: ids::ModelName,
        /// The whole prompt.
        messages: Vec<history::Message>,
        /// Text of the answer that stands already: generate what follows it.
        prefix: String,
        /// Most tokens to generate.
        max_tokens: u32,
        /// Whether `max_tokens` comes from the budget.
        budget_bound: bool,
        /// Whether to keep the context afterwards.
        hold: Option<HoldLease>,
        /// The hold that this call continues and replaces.
        replaces: Option<ids::HoldId>,
    },
    /// A call to a plain service.
    Service {
        /// The service.
        service: ids::ServiceName,
        /// Operation: the path below the service's base address.
        operation: String,
        /// Body.
        body: String,
        /// Passed on to the service, which may ignore it.
        idempotency_key: String,
        /// Longest run.
        timeout: time::Duration,
    },
}

/// An attempt on its way from the owner to the process beside an endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct Dispatch {
    /// The attempt.
    pub attempt: ids::AttemptId,
    /// The workspace.
    pub workspace: ids::WorkspaceName,
    /// The program.
    pub program: ids::ProgramId,
    /// Service attained by the whole program tree, in cost units.
    pub attained: work::Cost,
    /// Time left until the deadline.
    pub time_left: time::Duration,
    /// Fingerprint of the content.
    pub fingerprint: digest::Digest,
    /// Prompt tokens expected to need computing.
    pub expected_prefill: u32,
    /// What to run.
    pub job: Job,
}

/// Load of an endpoint as its process sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Calls that run.
    pub running: u32,
    /// Calls that wait.
    pub queued: u32,
    /// Expected wait of a new call, in seconds.
    pub wait_s: f64,
    /// Prompt tokens computed a second.
    pub prefill_rate: f64,
    /// Share of the engine's cache memory in use, 0 to 1.
    pub pressure: f64,
    /// Whether it is leaving.
    pub leaving: bool,
}

impl Message {
    /// Stable short name for logs and metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            Message::Submit(_) => "submit",
            Message::Accepted { .. } => "accepted",
            Message::Redirect { .. } => "redirect",
            Message::Reply(_) => "reply",
            Message::Cancel { .. } => "cancel",
            Message::Dispatch(_) => "dispatch",
            Message::Ended { .. } => "ended",
            Message::Abort { .. } => "abort",
            Message::Release { .. } => "release",
            Message::Ack { .. } => "ack",
            Message::Ping { .. } => "ping",
            Message::Pong { .. } => "pong",
            Message::Leaving { .. } => "leaving",
            Message::HandOver { .. } => "hand_over",
            Message::ConfigAsk => "config_ask",
            Message::ConfigOffer { .. } => "config_offer",
            Message::Suspects { .. } => "suspects",
        }
    }
}
