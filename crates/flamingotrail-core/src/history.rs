//! Histories of conversations, their chained digests, and continuations that callers carry.

use crate::digest;
use crate::ids;
use crate::work;

/// Who wrote a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Instructions of the program.
    System,
    /// The caller.
    User,
    /// The model.
    Assistant,
    /// A tool's result, handed in by the program.
    Tool,
}

impl Role {
    /// The role's name in the chat-completion manner.
    pub fn as_str(self) -> &'static str {
        match self {
            Role::System => "system",
            Role::User => "user",
            Role::Assistant => "assistant",
            Role::Tool => "tool",
        }
    }
}

/// One message of a chat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// Who wrote it.
    pub role: Role,
    /// Its text.
    pub content: String,
}

impl Message {
    /// A message of `role` with `content`.
    pub fn new(role: Role, content: impl Into<String>) -> Self {
        Message { role, content: content.into() }
    }
}

/// What a turn was.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TurnKind {
    /// A model call: its new messages and the answer become part of the prompt.
    Model,
    /// A service call: kept so that a repeat gets the recorded outcome.
    Service {
        /// Status of the service's answer.
        status: u16,
    },
    /// A call whose outcome is unknown.
    Doubtful,
}

/// One finished turn.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TurnRecord {
    /// Number of the turn.
    pub turn: ids::Turn,
    /// The turn that it follows; less than `turn - 1` only where the caller sent in full what this
    /// side had lost.
    pub since: ids::Turn,
    /// What it was.
    pub kind: TurnKind,
    /// Fingerprint of the request, so that a repeat is told from another call.
    pub request: digest::Digest,
    /// New messages of a model call; the body of a service call as one message.
    pub input: Vec<Message>,
    /// The answer's text.
    pub output: String,
    /// Why the answer ended.
    pub finish: work::FinishReason,
    /// What the endpoint counted.
    pub usage: work::Usage,
}

impl TurnRecord {
    /// The chained digest after this turn.
    pub fn chained_digest(&self, before: &digest::Digest) -> digest::Digest {
        let kind = match &self.kind {
            TurnKind::Model => 0,
            TurnKind::Service { status } => 1 + u64::from(*status),
            TurnKind::Doubtful => u64::MAX,
        };
        let mut hasher = digest::Hasher::new("turn")
            .with_bytes(&before.0)
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
    /// The fields that the chained digest leaves out, as bytes.
    fn unchained_bytes(&self) -> Vec<u8> {
        // Taken apart whole, so that a new field has to be put into one of the two.
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

/// The chained digest before the first turn.
pub fn initial_digest(conversation: &ids::ConversationId) -> digest::Digest {
    digest::Hasher::new("conversation").with_bytes(conversation.to_string().as_bytes()).finish()
}

/// What the caller carries from one answer to its next call: authentic, opaque to the caller.
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
    /// Last finished turn.
    pub turn: ids::Turn,
    /// Chained digest after that turn.
    pub digest: digest::Digest,
    /// Epoch of the owner that answered.
    pub epoch: ids::Epoch,
    /// Last turn that the journal surely holds.
    pub journaled: ids::Turn,
    /// Turns past `journaled`, oldest first.
    pub tail: Vec<TurnRecord>,
    /// Authentication code over all of the above.
    pub code: digest::Digest,
}

impl Continuation {
    /// The authentication code that the fields should carry under `key`.
    pub fn compute_code(&self, key: &digest::Digest) -> digest::Digest {
        // Taken apart whole, so that a new field can't be left out.
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
            // The chain has what engines see; the rest of a turn could be changed without it.
            hasher.add(&record.unchained_bytes());
        }
        hasher.add(&chained.0);
        hasher.finish()
    }

    /// The same continuation with its authentication code set.
    pub fn authenticated(mut self, key: &digest::Digest) -> Self {
        self.code = self.compute_code(key);
        self
    }

    /// Whether the code is the one that `key` gives.
    pub fn is_authentic(&self, key: &digest::Digest) -> bool {
        digest::constant_time_eq(&self.code, &self.compute_code(key))
    }
}

/// Where a call's earlier turns come from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HistorySource {
    /// The caller carries the newest continuation and sends only new messages.
    Continuation(Box<Continuation>),
    /// The caller sends all messages each time.
    Full,
    /// The caller sends only new messages and relies on the journal: the end of an answer is told
    /// once the turn is journaled.
    Journal,
}
