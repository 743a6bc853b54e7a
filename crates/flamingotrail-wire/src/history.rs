//! Wire types for conversation histories.

use flamingotrail_core::history;

use crate::ids;
use crate::work;

wire_enum!(
    /// Author of a message.
    Role, history::Role { System, User, Assistant, Tool, }
);
wire_struct!(
    /// A chat message.
    Message, history::Message { role: one Role, content: one String, }
);
wire_enum!(
    /// Kind of a finished turn.
    TurnKind, history::TurnKind { Model, Service { status: one u16, }, Doubtful, }
);
wire_struct!(
    /// Record of a finished turn.
    TurnRecord, history::TurnRecord {
        turn: one u32,
        since: one u32,
        kind: one TurnKind,
        request: one ids::Digest,
        input: many Message,
        output: one String,
        finish: one work::FinishReason,
        usage: one work::Usage,
    }
);
wire_struct!(
    /// Conversation state that the caller sends back with its next call.
    Continuation, history::Continuation {
        conversation: one ids::ConversationId,
        program: one ids::ProgramId,
        root: one ids::ProgramId,
        workspace: one ids::Name,
        turn: one u32,
        digest: one ids::Digest,
        epoch: one ids::Number,
        journaled: one u32,
        tail: many TurnRecord,
        code: one ids::Digest,
    }
);
wire_enum!(
    /// How a call supplies the conversation's earlier turns.
    HistorySource, history::HistorySource {
        Continuation(continuation: boxed Continuation),
        Full,
        Journal,
    }
);
