//! Messages between instances.

use std::time;

use crate::digest;
use crate::history;
use crate::ids;
use crate::journal;
use crate::work;

/// A message with the metadata for at-least-once delivery and deduplication at the receiver.
#[derive(Clone, Debug, PartialEq)]
pub struct Envelope {
    /// Incarnation of the sender.
    pub from: ids::Incarnation,
    /// Incarnation that the message is addressed to; other incarnations of the receiver ignore it.
    /// `None` addresses any incarnation.
    pub target: Option<ids::Incarnation>,
    /// Sequence number among the sender's acknowledged messages; 0 for a message without
    /// acknowledgement, which may get lost.
    pub number: u64,
    /// The message.
    pub message: Message,
}

/// A message from one instance to another.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// Entry to owner: run a call.
    Submit(Box<Submit>),
    /// Owner to entry: the call was accepted.
    Accepted {
        /// The request.
        request: ids::RequestId,
        /// Sequence number of the [`Submit`] that this responds to.
        hop: u32,
        /// Partition of the call.
        partition: ids::Partition,
        /// Epoch of the owner.
        epoch: ids::Epoch,
    },
    /// Reply to a [`Submit`] from an instance that does not own the partition and ran nothing for
    /// the request.
    Redirect {
        /// The request.
        request: ids::RequestId,
        /// Sequence number of the [`Submit`] that this responds to.
        hop: u32,
        /// Owner of the partition, if known.
        owner: Option<ids::InstanceName>,
    },
    /// Owner to entry: the outcome of the call.
    Reply(Box<Reply>),
    /// Entry to owner: the caller disconnected.
    Cancel {
        /// The request.
        request: ids::RequestId,
        /// Its conversation.
        conversation: ids::ConversationId,
    },
    /// Owner to endpoint instance: run an attempt.
    Dispatch(Box<Dispatch>),
    /// Endpoint instance to owner: the outcome of an attempt.
    Ended {
        /// The attempt.
        attempt: ids::AttemptId,
        /// Its outcome.
        end: work::AttemptOutcome,
        /// Load of the endpoint after the attempt.
        load: Load,
    },
    /// Owner to endpoint instance: abort an attempt.
    Abort {
        /// The attempt.
        attempt: ids::AttemptId,
    },
    /// Owner to endpoint instance: release cached context.
    Release {
        /// The holds to release.
        holds: Vec<ids::HoldId>,
    },
    /// Liveness probe.
    Ping {
        /// Incarnation of the sender.
        incarnation: ids::Incarnation,
        /// Version of the sender's configuration.
        version: ids::ConfigVersion,
    },
    /// Acknowledges the message with this sequence number.
    Ack {
        /// Sequence number of the message.
        number: u64,
    },
    /// Response to a [`Message::Ping`].
    Pong {
        /// Incarnation of the sender.
        incarnation: ids::Incarnation,
        /// Version of the sender's configuration.
        version: ids::ConfigVersion,
        /// Load of the sender's endpoint.
        load: Load,
    },
    /// The sender is shutting down and takes no new work.
    Leaving {
        /// Incarnation of the sender.
        incarnation: ids::Incarnation,
    },
    /// The sender owns the partition at `epoch` and asks the receiver to claim it.
    HandOver {
        /// The partition.
        partition: ids::Partition,
        /// Epoch of the sender's ownership.
        epoch: ids::Epoch,
    },
    /// Requests the receiver's configuration.
    ConfigAsk,
    /// The sender's configuration.
    ConfigOffer {
        /// Its version.
        version: ids::ConfigVersion,
        /// Its source text.
        source: String,
    },
    /// Verdicts on content that was in flight when an endpoint crashed, sent directly because they
    /// reach the log later.
    Suspects {
        /// One notice for each fingerprint.
        notices: Vec<journal::SuspectNotice>,
    },
}

/// What the entry instance knows about the start of a call's program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProgramOrigin {
    /// This message starts the program; no earlier message can have run any part of it.
    Fresh,
    /// An earlier message may have started the program.
    Started,
    /// The caller named the program, so it must exist.
    Existing,
}

/// A call submitted by an entry instance to the owner of its partition.
#[derive(Clone, Debug, PartialEq)]
pub struct Submit {
    /// The request.
    pub request: ids::RequestId,
    /// How many times the request has been submitted, including this message.
    pub hop: u32,
    /// The workspace.
    pub workspace: ids::WorkspaceName,
    /// The program.
    pub program: ids::ProgramId,
    /// The parent program, if the program belongs to a sub-agent.
    pub parent: Option<ids::ProgramId>,
    /// What is known about the program's start.
    pub origin: ProgramOrigin,
    /// The conversation.
    pub conversation: ids::ConversationId,
    /// The turn number, if the caller sent one.
    pub turn: Option<ids::Turn>,
    /// The operation to run.
    pub work: work::Work,
    /// How the caller supplies earlier turns.
    pub history: history::HistorySource,
    /// Time left until the deadline.
    pub time_left: time::Duration,
    /// Maximum cost of the call, in cost units.
    pub cost_bound: Option<work::Cost>,
    /// Idempotency key sent by the caller.
    pub idempotency_key: Option<String>,
    /// Response text that the caller has already received.
    pub delivered: String,
    /// The previous owner, if it did not respond to the entry instance.
    pub suspect: Option<ids::InstanceName>,
}

/// Outcome of a call, sent by the owner to the entry instance.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    /// The request.
    pub request: ids::RequestId,
    /// Sequence number of the [`Submit`] that this responds to.
    pub hop: u32,
    /// Turn number that the call used; 0 if it used none.
    pub turn: ids::Turn,
    /// Number of attempts made.
    pub attempts: u32,
    /// The outcome.
    pub outcome: work::Outcome,
    /// Continuation for the caller's next call, if the conversation advanced.
    pub continuation: Option<history::Continuation>,
}

/// Lease under which an engine keeps the context of a finished call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HoldLease {
    /// Id of the hold.
    pub id: ids::HoldId,
    /// Duration of the lease without renewal.
    pub lease: time::Duration,
}

/// The work that an endpoint runs for one attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Job {
    /// A model call.
    Model {
        /// The model.
        model: ids::ModelName,
        /// The complete prompt.
        messages: Vec<history::Message>,
        /// Response text that was already generated; the engine continues after it.
        prefix: String,
        /// Maximum number of tokens to generate.
        max_tokens: u32,
        /// Whether `max_tokens` was limited by the program's budget.
        budget_bound: bool,
        /// Lease for keeping the context afterwards; `None` keeps nothing.
        hold: Option<HoldLease>,
        /// The hold whose context this call continues and which its own hold replaces.
        replaces: Option<ids::HoldId>,
    },
    /// A call to a plain service.
    Service {
        /// The service.
        service: ids::ServiceName,
        /// Operation: the path below the service's base address.
        operation: String,
        /// Request body.
        body: String,
        /// Idempotency key passed to the service, which may ignore it.
        idempotency_key: String,
        /// Maximum run time.
        timeout: time::Duration,
    },
}

/// An attempt that the owner sends to an endpoint instance.
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
    /// Fingerprint of the call's content.
    pub fingerprint: digest::Digest,
    /// Expected number of prompt tokens that are not in the engine's cache.
    pub expected_prefill: u32,
    /// The work to run.
    pub job: Job,
}

/// Load of an endpoint as seen by its instance.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Number of running calls.
    pub running: u32,
    /// Number of queued calls.
    pub queued: u32,
    /// Expected wait of a new call, in seconds.
    pub wait_s: f64,
    /// Prompt tokens computed per second.
    pub prefill_rate: f64,
    /// Fraction of the engine's cache memory in use, from 0 to 1.
    pub pressure: f64,
    /// Whether the instance is shutting down.
    pub leaving: bool,
}

impl Message {
    /// Returns the stable identifier used in logs and metrics.
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
