//! Conversation history, its chained digests, and the continuations that callers send back.

use crate::digest;
use crate::ids;
use crate::work;

/// Author of a chat message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// The program's instructions.
    System,
    /// The caller.
    User,
    /// The model.
    Assistant,
    /// A tool's result, supplied by the program.
    Tool,
}

impl Role {
    /// Returns the role's name in the chat completions format.
    pub fn as_str(self) -> &'static str {
        match self {
            Role::System => "system",
            Role::User => "user",
            Role::Assistant => "assistant",
            Role::Tool => "tool",
        }
    }
}

/// One chat message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// Author of the message.
    pub role: Role,
    /// Text of the message.
    pub content: String,
}

impl Message {
    /// Creates a message.
    pub fn new(role: Role, content: impl Into<String>) -> Self {
        Message { role, content: content.into() }
    }
}

/// Kind of a finished turn.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TurnKind {
    /// A model call: its new messages and the response become part of the prompt.
    Model,
    /// A service call, recorded so that a retry gets the recorded outcome.
    Service {
        /// Status of the service's response.
        status: u16,
    },
    /// A call whose outcome is unknown.
    Doubtful,
}

/// Record of one finished turn.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TurnRecord {
    /// Turn number.
    pub turn: ids::Turn,
    /// The preceding recorded turn. Less than `turn - 1` only if the caller sent the full history
    /// because the turns in between were lost here.
    pub since: ids::Turn,
    /// Kind of the turn.
    pub kind: TurnKind,
    /// Fingerprint of the request, which tells a retry from a different call.
    pub request: digest::Digest,
    /// New messages of a model call, or the body of a service call as a single message.
    pub input: Vec<Message>,
    /// Text of the response.
    pub output: String,
    /// Why the response ended.
    pub finish: work::FinishReason,
    /// Token usage that the endpoint reported.
    pub usage: work::Usage,
}

impl TurnRecord {
    /// Size of the turn's texts, in bytes.
    pub fn text_bytes(&self) -> usize {
        let input: usize = self.input.iter().map(|message| message.content.len()).sum();
        input + self.output.len()
    }

    /// Returns the chained digest after this turn, given the digest before it.
    pub fn chained_digest(&self, previous: &digest::Digest) -> digest::Digest {
        let kind = match &self.kind {
            TurnKind::Model => 0,
            TurnKind::Service { status } => 1 + u64::from(*status),
            TurnKind::Doubtful => u64::MAX,
        };
        let mut hasher = digest::Hasher::new("turn")
            .with_bytes(&previous.0)
            .with_number(u64::from(self.turn))
            .with_number(u64::from(self.since))
            .with_number(kind)
            .with_bytes(&self.request.0);
        for message in &self.input {
            hasher.add(message.role.as_str().as_bytes());
            hasher.add(message.content.as_bytes());
        }
        hasher.add(self.output.as_bytes());
        hasher.finish()
    }
}

impl TurnRecord {
    /// Encodes the fields that the chained digest does not cover.
    fn unchained_bytes(&self) -> Vec<u8> {
        // Exhaustive destructuring: a new field fails to compile until it is added either here or
        // to the chained digest.
        let TurnRecord {
            turn: _,
            since: _,
            kind: _,
            request: _,
            input: _,
            output: _,
            finish,
            usage,
        } = self;
        let finish = match finish {
            work::FinishReason::Stop => 0,
            work::FinishReason::Length => 1,
            work::FinishReason::Budget => 2,
        };
        let work::Usage { prompt_tokens, cached_tokens, completion_tokens } = *usage;
        [finish, prompt_tokens, cached_tokens, completion_tokens]
            .iter()
            .flat_map(|number: &u32| number.to_be_bytes())
            .collect()
    }
}

/// Returns the chained digest before the first turn.
pub fn initial_digest(conversation: &ids::ConversationId) -> digest::Digest {
    digest::Hasher::new("conversation").with_bytes(conversation.to_string().as_bytes()).finish()
}

/// Conversation state that the caller sends back with its next call. It is authenticated by a MAC
/// and opaque to the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Continuation {
    /// The conversation.
    pub conversation: ids::ConversationId,
    /// Its program.
    pub program: ids::ProgramId,
    /// The root program.
    pub root: ids::ProgramId,
    /// The workspace.
    pub workspace: ids::WorkspaceName,
    /// The last finished turn.
    pub turn: ids::Turn,
    /// Chained digest after that turn.
    pub digest: digest::Digest,
    /// Epoch of the owner that responded.
    pub epoch: ids::Epoch,
    /// The last turn that is known to be in the journal.
    pub journaled: ids::Turn,
    /// Turns after `journaled`, oldest first.
    pub tail: Vec<TurnRecord>,
    /// MAC over all other fields.
    pub code: digest::Digest,
}

impl Continuation {
    /// Computes the MAC of all other fields under `key`.
    pub fn compute_mac(&self, key: &digest::Digest) -> digest::Digest {
        // Exhaustive destructuring: a new field fails to compile until the MAC covers it.
        let Continuation {
            conversation,
            program,
            root,
            workspace,
            turn,
            digest,
            epoch,
            journaled,
            tail,
            code: _,
        } = self;
        let mut hasher = digest::Hasher::with_key(key, "continuation")
            .with_bytes(conversation.to_string().as_bytes())
            .with_bytes(program.to_string().as_bytes())
            .with_bytes(root.to_string().as_bytes())
            .with_bytes(workspace.as_str().as_bytes())
            .with_number(u64::from(*turn))
            .with_bytes(&digest.0)
            .with_number(epoch.0)
            .with_number(u64::from(*journaled));
        let mut chained = digest::Digest::default();
        for record in tail {
            chained = record.chained_digest(&chained);
            // The chained digest covers what engines see. The other fields are added separately,
            // otherwise a caller could change them without invalidating the MAC.
            hasher.add(&record.unchained_bytes());
        }
        hasher.add(&chained.0);
        hasher.finish()
    }

    /// Returns the continuation with its MAC set.
    pub fn authenticated(mut self, key: &digest::Digest) -> Self {
        self.code = self.compute_mac(key);
        self
    }

    /// Returns whether the MAC is valid under `key`.
    pub fn is_authentic(&self, key: &digest::Digest) -> bool {
        digest::constant_time_eq(&self.code, &self.compute_mac(key))
    }
}

/// How a call supplies the conversation's earlier turns.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HistorySource {
    /// The caller sends the newest continuation and only new messages.
    Continuation(Box<Continuation>),
    /// The caller sends all messages with every call.
    Full,
    /// The caller sends only new messages and relies on the journal; a response completes only
    /// after its turn has been journaled.
    Journal,
}
