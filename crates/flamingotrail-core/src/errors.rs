//! Error types, and the reasons for calls that were refused or have an unknown outcome.
//!
//! Every message tells the caller how to resolve the problem.

use std::time;

use crate::ids;

/// The text is not an id of the expected kind.
#[derive(Clone, Debug, thiserror::Error, PartialEq, Eq)]
#[error("`{text}` is not a valid id; send the id exactly as an earlier response returned it")]
pub struct ParseIdError {
    /// The rejected text, truncated to the maximum length of an id.
    pub text: String,
}

/// Why a call was refused. Every variant guarantees that no byte of the call reached an endpoint,
/// or that the endpoint itself refused it, so the call is safe to retry.
#[derive(Clone, Debug, thiserror::Error, PartialEq, Eq)]
pub enum Refusal {
    /// The bearer token is missing or belongs to no workspace.
    #[error("the bearer token matches no workspace; send the workspace's key in Authorization")]
    UnknownKey,
    /// A header or body field failed validation.
    #[error("{field} is not valid: {detail}; correct it and retry")]
    BadField {
        /// Name of the header or field.
        field: String,
        /// What is wrong with its value.
        detail: String,
    },
    /// The body is larger than the configured limit.
    #[error("the body is larger than {limit} bytes; send a smaller one")]
    TooLarge {
        /// Maximum body size in bytes.
        limit: u64,
    },
    /// The instance has not loaded any configuration yet.
    #[error("this instance has no configuration yet; publish one, or retry in a moment")]
    NoConfiguration,
    /// The model is not configured, or the workspace may not use it.
    #[error("model `{0}` is not available to this workspace; use one that is configured for it")]
    UnknownModel(ids::ModelName),
    /// The service is not configured.
    #[error("service `{0}` is not configured; use a service from the published configuration")]
    UnknownService(ids::ServiceName),
    /// The program was never started, or its record has been dropped.
    #[error("program {0} does not exist; omit the program to start a new one")]
    UnknownProgram(ids::ProgramId),
    /// The program belongs to another workspace.
    #[error("program {0} belongs to another workspace; use a program of this workspace")]
    ForeignProgram(ids::ProgramId),
    /// The program has ended.
    #[error("program {0} has ended; start a new program")]
    ProgramEnded(ids::ProgramId),
    /// The program used up its turns.
    #[error("program {program} reached its limit of {limit} turns; end it and start a new one")]
    TurnLimit {
        /// The root program.
        program: ids::ProgramId,
        /// Maximum number of turns.
        limit: u32,
    },
    /// The program's remaining budget does not cover the call.
    #[error(
        "program {program} has {left} of its budget left and the call needs {needed}; \
         lower max_tokens or end the program"
    )]
    BudgetSpent {
        /// The root program.
        program: ids::ProgramId,
        /// Cost units left in the budget.
        left: u64,
        /// Minimum cost of the call, in cost units.
        needed: u64,
    },
    /// The turn was already used by a different call.
    #[error("turn {turn} of {conversation} was already used by another call; use the next turn")]
    TurnTaken {
        /// The conversation.
        conversation: ids::ConversationId,
        /// The turn.
        turn: ids::Turn,
    },
    /// The idempotency key was already used with different content.
    #[error("idempotency key `{key}` was already used with different content; use a new key")]
    KeyReused {
        /// The idempotency key.
        key: String,
    },
    /// The preceding turn did not arrive before the deadline.
    #[error("turn {missing} of {conversation} did not arrive in time; send it first")]
    TurnMissing {
        /// The conversation.
        conversation: ids::ConversationId,
        /// The missing turn.
        missing: ids::Turn,
    },
    /// The call has no turn number, and none can be derived.
    #[error("the call has no turn number and none can be derived; send the turn number")]
    TurnNeeded,
    /// The continuation is not authentic, or belongs to another conversation.
    #[error("the continuation is not valid for {0}; send that conversation's newest one")]
    BadContinuation(ids::ConversationId),
    /// The history differs from the turns that ran.
    #[error("the history differs from the recorded turns of {0}; send the messages unchanged")]
    HistoryContradicts(ids::ConversationId),
    /// Earlier turns are missing and can't be restored.
    #[error("earlier turns of {0} are missing and can't be restored; send the full history")]
    HistoryIncomplete(ids::ConversationId),
    /// The deadline passed before the call started.
    #[error("the deadline passed before the call started; retry with a later deadline")]
    DeadlinePassed,
    /// No endpoint has capacity before the deadline.
    #[error("no endpoint has capacity in time; retry after {} ms", retry_after.as_millis())]
    Overloaded {
        /// Minimum delay before a retry.
        retry_after: time::Duration,
    },
    /// No live endpoint serves the requested model or service.
    #[error("no live endpoint serves `{0}`; start one, or retry once one is running")]
    NoEndpoint(String),
    /// The platform's log did not confirm a write that must be durable before the call may run.
    #[error("the platform's log did not confirm {what} in time; retry when the log is available")]
    LogUnavailable {
        /// The write that was not confirmed.
        what: String,
    },
    /// No instance owns the conversation's partition at the moment.
    #[error("the conversation's owner is changing; retry after {} ms", retry_after.as_millis())]
    NoOwner {
        /// Minimum delay before a retry.
        retry_after: time::Duration,
    },
    /// The instance is shutting down.
    #[error("this instance is shutting down; send the call to another one")]
    Draining,
    /// Earlier runs of the same content crashed endpoints.
    #[error("this content crashed the endpoints that ran it; change it before a retry")]
    Quarantined,
    /// The endpoint refused the call.
    #[error("the endpoint refused the call: {detail}; correct the call or retry later")]
    EndpointRefused {
        /// The endpoint's response, truncated.
        detail: String,
    },
    /// The call was cancelled before it ran.
    #[error("the call was cancelled before it ran; retry if it is still needed")]
    Cancelled,
}

impl Refusal {
    /// Returns the stable identifier used in logs, metrics and on the wire.
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

    /// Returns the minimum delay before a retry, if known.
    pub fn retry_after(&self) -> Option<time::Duration> {
        match self {
            Refusal::Overloaded { retry_after } | Refusal::NoOwner { retry_after } => {
                Some(*retry_after)
            }
            _ => None,
        }
    }
}

/// Why the outcome of a call is unknown: it may or may not have run.
#[derive(Clone, Debug, thiserror::Error, PartialEq, Eq)]
pub enum UnknownReason {
    /// The instance or endpoint that ran the call failed before it responded.
    #[error("the endpoint was lost and the call may have run; check with the service itself")]
    EndpointLost,
    /// The deadline passed while the call was running.
    #[error("no response arrived before the deadline; check with the service itself")]
    NoAnswer,
    /// The owner changed after the intent to run the call was recorded.
    #[error("the owner changed after the call was started; check with the service itself")]
    OwnerChanged,
}

impl UnknownReason {
    /// Returns the stable identifier used in logs, metrics and on the wire.
    pub fn kind(&self) -> &'static str {
        match self {
            UnknownReason::EndpointLost => "endpoint_lost",
            UnknownReason::NoAnswer => "no_answer",
            UnknownReason::OwnerChanged => "owner_changed",
        }
    }
}
