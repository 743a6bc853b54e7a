//! Chat completions as callers and engines speak them (the published manner of the OpenAI API).

use flamingotrail_core::history;
use flamingotrail_core::work;

/// A request.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Request {
    /// Model.
    pub model: String,
    /// Messages.
    pub messages: Vec<ChatMessage>,
    /// Most tokens to generate.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u32>,
    /// Whether to answer as a stream of server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// To engines: the last message is an answer to be continued.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub continue_final_message: bool,
    /// Continuation, where the caller prefers a field to a header.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub continuation: Option<String>,
}

/// A message.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ChatMessage {
    /// `system`, `user`, `assistant` or `tool`.
    pub role: String,
    /// Text.
    pub content: String,
}

/// A role that is not one of the four.
#[derive(Clone, Debug, thiserror::Error, PartialEq, Eq)]
#[error("role `{0}` is not known; use system, user, assistant or tool")]
pub struct UnknownRole(pub String);

impl From<&history::Message> for ChatMessage {
    fn from(message: &history::Message) -> Self {
        ChatMessage { role: message.role.as_str().to_owned(), content: message.content.clone() }
    }
}

impl TryFrom<ChatMessage> for history::Message {
    type Error = UnknownRole;

    fn try_from(message: ChatMessage) -> Result<Self, UnknownRole> {
        let roles = [
            history::Role::System,
            history::Role::User,
            history::Role::Assistant,
            history::Role::Tool,
        ];
        let role = roles.into_iter().find(|role| role.as_str() == message.role);
        let role = role.ok_or(UnknownRole(message.role))?;
        Ok(history::Message::new(role, message.content))
    }
}

/// An answer that is not a stream.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Response {
    /// Id of the answer.
    #[serde(default)]
    pub id: String,
    /// `chat.completion`.
    #[serde(default)]
    pub object: String,
    /// Model.
    #[serde(default)]
    pub model: String,
    /// One choice.
    pub choices: Vec<Choice>,
    /// What it used.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<ChatUsage>,
    /// What the system says of the call.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub flamingotrail: Option<Status>,
}

/// One choice of an answer.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Choice {
    /// 0.
    pub index: u32,
    /// The answer.
    pub message: ChatMessage,
    /// `stop`, `length` or `budget`.
    pub finish_reason: Option<String>,
}

/// A piece of a streamed answer.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Chunk {
    /// `chat.completion.chunk`.
    #[serde(default)]
    pub object: String,
    /// One choice, or none in the last piece.
    #[serde(default)]
    pub choices: Vec<ChunkChoice>,
    /// What it used, in the last piece.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<ChatUsage>,
    /// What the system says of the call, in the last piece.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub flamingotrail: Option<Status>,
}

/// One choice of a piece.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct ChunkChoice {
    /// 0.
    pub index: u32,
    /// What is added.
    pub delta: Delta,
    /// Set in the last piece with a choice.
    #[serde(default)]
    pub finish_reason: Option<String>,
}

/// What a piece adds.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Delta {
    /// Text.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content: Option<String>,
}

/// What an answer used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ChatUsage {
    /// Prompt tokens.
    pub prompt_tokens: u32,
    /// Tokens generated.
    pub completion_tokens: u32,
    /// Both.
    pub total_tokens: u32,
    /// Prompt tokens found in the cache.
    #[serde(default)]
    pub cached_tokens: u32,
}

impl From<work::Usage> for ChatUsage {
    fn from(usage: work::Usage) -> Self {
        ChatUsage {
            prompt_tokens: usage.prompt_tokens,
            completion_tokens: usage.completion_tokens,
            total_tokens: usage.prompt_tokens.saturating_add(usage.completion_tokens),
            cached_tokens: usage.cached_tokens,
        }
    }
}

impl From<ChatUsage> for work::Usage {
    fn from(usage: ChatUsage) -> Self {
        work::Usage {
            prompt_tokens: usage.prompt_tokens,
            cached_tokens: usage.cached_tokens,
            completion_tokens: usage.completion_tokens,
        }
    }
}

/// What the system says of a call in its answer.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Status {
    /// `done`, `not_run` or `unknown`.
    pub outcome: String,
    /// Reason, where the outcome is not `done`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<String>,
    /// Message that names the remedy, where the outcome is not `done`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub message: Option<String>,
    /// Program.
    pub program: String,
    /// Conversation.
    pub conversation: String,
    /// Turn; 0 where the call took none.
    pub turn: u32,
    /// Attempts.
    pub attempts: u32,
    /// What the caller carries to its next call.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub continuation: Option<String>,
}

/// An error answer.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct ErrorResponse {
    /// The error.
    pub error: ErrorBody,
    /// What the system says of the call.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub flamingotrail: Option<Status>,
}

/// An error.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ErrorBody {
    /// Message that names the remedy.
    pub message: String,
    /// Stable short name.
    #[serde(rename = "type")]
    pub kind: String,
}

/// `finish_reason` of an answer.
pub fn finish_reason(finish: work::FinishReason) -> &'static str {
    match finish {
        work::FinishReason::Stop => "stop",
        work::FinishReason::Length => "length",
        work::FinishReason::Budget => "budget",
    }
}
