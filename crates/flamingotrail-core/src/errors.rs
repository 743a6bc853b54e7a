//! Typed errors and refusals; each message names the remedy.

use std::time;

use crate::ids;

/// Text that is not an id of the expected kind.
#[derive(Clone, Debug, thiserror::Error, PartialEq, Eq)]
#[error("`{text}` is not a valid id; send the id exactly as an earlier answer gave it")]
pub struct ParseIdError {
    /// The text, cut to a bounded length.
    pub text: String,
}

/// Why a call was refused. Every variant means that no byte of it reached an endpoint, or that the
/// endpoint itself refused it: the call may be sent again.
#[derive(Clone, Debug, thiserror::Error, PartialEq, Eq)]
pub enum Refusal {
    /// No bearer token, or one that no workspace has.
    #[error("the bearer token matches no workspace; send the workspace's key in Authorization")]
    UnknownKey,
    /// A field that can't be read.
    #[error("{field} is not valid: {detail}; correct it and send the call again")]
    BadField {
        /// Name of the header or field.
        field: String,
        /// What is wrong.
        detail: String,
    },
    /// Body over the configured limit.
    #[error("the body has more than {limit} bytes; send a shorter one")]
    TooLarge {
        /// Limit in bytes.
        limit: u64,
    },
    /// No configuration in force yet.
    #[error("no configuration is in force at this process; publish one, or retry in a moment")]
    NoConfiguration,
    /// Model not in the configuration, or not open to the workspace.
    #[error("model `{0}` is not configured for this workspace; use a model that it may use")]
    UnknownModel(ids::ModelName),
    /// Service not in the configuration.
    #[error("service `{0}` is not configured; use a service named in the published set")]
    UnknownService(ids::ServiceName),
    /// Program that was never started, or whose record was dropped.
    #[error("program {0} is not known; leave the program out to start a new one")]
    UnknownProgram(ids::ProgramId),
    /// Program of another workspace.
    #[error("program {0} belongs to another workspace; use a program of your own")]
    ForeignProgram(ids::ProgramId),
    /// Program that has ended.
    #[error("program {0} has ended; start a new program")]
    ProgramEnded(ids::ProgramId),
    /// Program at its limit of turns.
    #[error("program {program} reached its limit of {limit} turns; end it and start a new one")]
    TurnLimit {
        /// The root program.
        program: ids::ProgramId,
        /// Turns allowed.
        limit: u32,
    },
    /// Program without money left for this call.
    #[error(
        "program {program} has {left} of its budget left and the call needs {needed}; \
         lower max_tokens or end the program"
    )]
    BudgetSpent {
        /// The root program.
        program: ids::ProgramId,
        /// Cost units left.
        left: u64,
        /// Cost units needed at least.
        needed: u64,
    },
    /// A turn that was already used for another call.
    #[error("turn {turn} of {conversation} already holds another call; send the next turn")]
    TurnTaken {
        /// The conversation.
        conversation: ids::ConversationId,
        /// The turn.
        turn: ids::Turn,
    },
    /// An idempotency key that was already used for another content.
    #[error("idempotency key `{key}` was used for another content; choose a new key")]
    KeyReused {
        /// The key.
        key: String,
    },
    /// A turn whose predecessor did not arrive within the deadline.
    #[error("turn {missing} of {conversation} did not arrive in time; send it first")]
    TurnMissing {
        /// The conversation.
        conversation: ids::ConversationId,
        /// The missing turn.
        missing: ids::Turn,
    },
    /// A request that names no turn while one is needed.
    #[error("the call names no turn and it can't be derived; send the turn number")]
    TurnNeeded,
    /// A continuation that is not authentic or is another conversation's.
    #[error("the continuation is not one of {0}; send the newest continuation of it")]
    BadContinuation(ids::ConversationId),
    /// A history that contradicts what is known.
    #[error("the history contradicts {0} as it ran; send the messages exactly as answered")]
    HistoryContradicts(ids::ConversationId),
    /// A history that can't be completed.
    #[error("the history of {0} can't be completed here; send the full messages")]
    HistoryIncomplete(ids::ConversationId),
    /// The deadline passed before the call could start.
    #[error("the deadline passed before the call could start; retry with a later deadline")]
    DeadlinePassed,
    /// No capacity within the deadline.
    #[error("no endpoint can take the call in time; retry after {} ms", retry_after.as_millis())]
    Overloaded {
        /// Least wait before a retry.
        retry_after: time::Duration,
    },
    /// No endpoint serves what the call asks for.
    #[error("no live endpoint serves `{0}`; wait for one to start, or start one")]
    NoEndpoint(String),
    /// The platform's log did not confirm what must be confirmed before the call may run.
    #[error("the platform's log did not confirm {what} in time; retry after the log is back")]
    LogUnavailable {
        /// What needed the log.
        what: String,
    },
    /// No process owns the partition at the moment.
    #[error("the conversation's owner is changing; retry after {} ms", retry_after.as_millis())]
    NoOwner {
        /// Least wait before a retry.
        retry_after: time::Duration,
    },
    /// The process is stopping.
    #[error("this process is stopping; send the call to another one")]
    Draining,
    /// A request that crashed endpoints before.
    #[error("this content crashed endpoints that ran it; change it before sending it again")]
    Quarantined,
    /// The endpoint refused the call.
    #[error("the endpoint refused the call: {detail}; correct the call or retry later")]
    EndpointRefused {
        /// Its answer, cut.
        detail: String,
    },
    /// The call was cancelled before it ran.
    #[error("the call was cancelled before it ran; send it again if it is still wanted")]
    Cancelled,
}

impl Refusal {
    /// Stable short name for logs, metrics and the wire.
    pub fn kind(&self) -> &'static str {
        match self {
            Refusal::UnknownKey => "unknown_key",
            Refusal::BadField { .. } => "bad_field",
            Refusal::TooLarge { .. } => "too_large",
            Refusal::NoConfiguration => "no_configuration",
            Refusal::UnknownModel(_) => "unknown_model",
            Refusal::UnknownService(_) => "unknown_service",
            Refusal::UnknownProgram(_) => "unknown_program",
            Refusal::ForeignProgram(_) => "foreign_program",
            Refusal::ProgramEnded(_) => "program_ended",
            Refusal::TurnLimit { .. } => "turn_limit",
            Refusal::BudgetSpent { .. } => "budget_spent",
            Refusal::TurnTaken { .. } => "turn_taken",
            Refusal::KeyReused { .. } => "key_reused",
            Refusal::TurnMissing { .. } => "turn_missing",
            Refusal::TurnNeeded => "turn_needed",
            Refusal::BadContinuation(_) => "bad_continuation",
            Refusal::HistoryContradicts(_) => "history_contradicts",
            Refusal::HistoryIncomplete(_) => "history_incomplete",
            Refusal::DeadlinePassed => "deadline_passed",
            Refusal::Overloaded { .. } => "overloaded",
            Refusal::NoEndpoint(_) => "no_endpoint",
            Refusal::LogUnavailable { .. } => "log_unavailable",
            Refusal::NoOwner { .. } => "no_owner",
            Refusal::Draining => "draining",
            Refusal::Quarantined => "quarantined",
            Refusal::EndpointRefused { .. } => "endpoint_refused",
            Refusal::Cancelled => "cancelled",
        }
    }

    /// How long a caller waits at least before it sends the call again, where that is known.
    pub fn retry_after(&self) -> Option<time::Duration> {
        match self {
            Refusal::Overloaded { retry_after } | Refusal::NoOwner { retry_after } => {
                Some(*retry_after)
            }
            _ => None,
        }
    }
}

/// Why it is not known whether a call ran.
#[derive(Clone, Debug, thiserror::Error, PartialEq, Eq)]
pub enum UnknownReason {
    /// The process or endpoint that ran it was lost before it answered.
    #[error("the endpoint was lost while the call may have run; check at the service itself")]
    EndpointLost,
    /// The deadline passed while it ran.
    #[error("no answer came before the deadline; check at the service itself")]
    NoAnswer,
    /// The owner changed after the intent was recorded.
    #[error("the owner changed after the call was started; check at the service itself")]
    OwnerChanged,
}

impl UnknownReason {
    /// Stable short name for logs, metrics and the wire.
    pub fn kind(&self) -> &'static str {
        match self {
            UnknownReason::EndpointLost => "endpoint_lost",
            UnknownReason::NoAnswer => "no_answer",
            UnknownReason::OwnerChanged => "owner_changed",
        }
    }
}
