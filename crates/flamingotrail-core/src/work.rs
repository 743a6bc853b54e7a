//! What a call asks for and how it ended.

use crate::errors;
use crate::history;
use crate::ids;

/// Cost in the deployment's cost units.
pub type Cost = u64;

/// What a call asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Work {
    /// A model call.
    Model {
        /// The model.
        model: ids::ModelName,
        /// Most tokens to generate.
        max_tokens: u32,
        /// Messages: all of the conversation, or those since the last answer, by the history source.
        messages: Vec<history::Message>,
    },
    /// A call to a plain service.
    Service {
        /// The service.
        service: ids::ServiceName,
        /// Operation: the path below the service's base address.
        operation: String,
        /// Body, passed through.
        body: String,
    },
    /// The end of the program, all its conversations and cached context.
    EndProgram,
}

impl Work {
    /// Digest of the content, the same whichever program sends it.
    pub fn fingerprint(&self) -> crate::digest::Digest {
        let hasher = crate::digest::Hasher::new("fingerprint");
        match self {
            Work::Model { model, messages, .. } => {
                let mut hasher = hasher.with_bytes(model.as_str().as_bytes());
                // The newest message tells a request apart; what came before has already run.
                if let Some(last) = messages.last() {
                    hasher.add(last.content.as_bytes());
                }
                hasher.finish()
            }
            Work::Service { service, operation, body } => hasher
                .with_bytes(service.as_str().as_bytes())
                .with_bytes(operation.as_bytes())
                .with_bytes(body.as_bytes())
                .finish(),
            Work::EndProgram => hasher.finish(),
        }
    }
}

/// What an endpoint counted for one attempt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Prompt tokens.
    pub prompt_tokens: u32,
    /// Prompt tokens found in the engine's cache.
    pub cached_tokens: u32,
    /// Tokens generated.
    pub completion_tokens: u32,
}

/// Why a complete answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinishReason {
    /// The engine or service was done.
    Stop,
    /// The call's own token limit.
    Length,
    /// The program's budget.
    Budget,
}

/// A complete answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// Text or body.
    pub text: String,
    /// Status of a plain service's answer (HTTP status code); 200 for models.
    pub status: u16,
    /// What it used.
    pub usage: Usage,
    /// Why it ended.
    pub finish: FinishReason,
}

/// How a call ended; exactly these three.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The complete answer.
    Done(Response),
    /// No byte of it reached an endpoint, or the endpoint itself refused it; safe to repeat.
    NotRun(errors::Refusal),
    /// It may have run.
    Unknown(errors::UnknownReason),
}

impl Outcome {
    /// Stable short name for logs, metrics and the wire.
    pub fn kind(&self) -> &'static str {
        match self {
            Outcome::Done(_) => "done",
            Outcome::NotRun(_) => "not_run",
            Outcome::Unknown(_) => "unknown",
        }
    }
}

/// How one attempt at an endpoint ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// A complete answer.
    Answered(Response),
    /// Surely not run.
    NotRun(errors::Refusal),
    /// Broken after it may have begun; what was generated so far is kept.
    Broken {
        /// Text generated before the break.
        partial: String,
        /// Whether the engine itself went down with it.
        endpoint_crashed: bool,
    },
}
