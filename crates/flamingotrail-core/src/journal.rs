//! Entries and records stored in the streams of the platform's log.

use crate::digest;
use crate::history;
use crate::ids;
use crate::work;

/// Maximum length of a text in one record, in bytes; longer texts are split.
pub const MAX_TEXT_BYTES: usize = 64 * 1024;
/// Maximum total size of an entry's records in bytes, so that the log accepts the entry. A larger
/// record gets an entry of its own.
pub const MAX_ENTRY_BYTES: usize = 256 * 1024;

/// One entry of a log stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Identifies duplicates of one append: only the first copy in the stream counts.
    pub nonce: ids::Nonce,
    /// The instance that wrote the entry.
    pub writer: ids::Peer,
    /// Content of the entry.
    pub body: Body,
}

/// Content of an entry. Each kind of stream uses its own variants.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Body {
    /// Partition stream: the writer claims ownership; the entry's offset becomes the new epoch.
    Claim,
    /// Partition stream: records written by the owner of this epoch. Readers ignore them after a
    /// newer claim.
    Records {
        /// Epoch of the writer.
        epoch: ids::Epoch,
        /// The records, in order.
        records: Vec<Record>,
    },
    /// Endpoint claim stream of a region: the writer serves the endpoint from now on.
    EndpointClaim {
        /// The endpoint.
        endpoint: ids::EndpointName,
    },
    /// Configuration stream: a new configuration based on the version `base`.
    Publication {
        /// Version that the new configuration was derived from.
        base: ids::ConfigVersion,
        /// Name of the publisher.
        author: String,
        /// Source text of the configuration.
        source: String,
    },
    /// Configuration stream: an accepted configuration, appended again unchanged before the log's
    /// retention drops it.
    Carry {
        /// Its version.
        version: ids::ConfigVersion,
        /// Source text of the configuration.
        source: String,
    },
    /// Suspects stream of a region: verdicts on content that was in flight when an endpoint
    /// crashed.
    Suspects {
        /// One notice for each fingerprint.
        notices: Vec<SuspectNotice>,
    },
}

/// Verdict on one piece of content.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SuspectNotice {
    /// Fingerprint of the content.
    pub fingerprint: digest::Digest,
    /// The verdict.
    pub verdict: Verdict,
}

/// Verdict on content that was in flight when an endpoint crashed, from least to most severe.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Verdict {
    /// It ran to completion in isolation, without other calls on the endpoint.
    Cleared,
    /// It was in flight when an endpoint crashed.
    Suspected,
    /// An endpoint crashed while it ran in isolation.
    Convicted,
}

/// One record written by a partition's owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Record {
    /// Reasserts the owner's epoch before the log's retention drops its claim.
    Reassert,
    /// The complete state of a program.
    Program(ProgramRecord),
    /// A conversation and its program, without its turns.
    Conversation {
        /// The conversation.
        conversation: ids::ConversationId,
        /// Its program.
        program: ids::ProgramId,
    },
    /// A chunk of a long text that belongs to the turn record that follows.
    TurnText {
        /// The call.
        call: ids::CallKey,
        /// Index of the text: 0 is the output, `n` is the input message `n - 1`.
        field: u32,
        /// The chunk.
        text: String,
    },
    /// A finished turn; chunks of its long texts precede it.
    Turn {
        /// The conversation.
        conversation: ids::ConversationId,
        /// Its program.
        program: ids::ProgramId,
        /// Record of the turn.
        record: history::TurnRecord,
    },
    /// The total budget granted to a root program so far.
    Grant {
        /// The root program.
        root: ids::ProgramId,
        /// Sum of all grants, in cost units.
        granted: work::Cost,
    },
    /// A non-repeatable call is about to run.
    Intent {
        /// The root program.
        root: ids::ProgramId,
        /// Key of the effect within the program.
        key: String,
        /// The call.
        call: ids::CallKey,
        /// Fingerprint of the call's content.
        fingerprint: digest::Digest,
    },
    /// A non-repeatable call has ended.
    Effect {
        /// The root program.
        root: ids::ProgramId,
        /// Key of the effect within the program.
        key: String,
        /// Outcome of the call.
        end: EffectOutcome,
    },
    /// A program has ended.
    Ended {
        /// The program. Programs of sub-agents end together with their root.
        program: ids::ProgramId,
    },
}

/// Outcome of a non-repeatable call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EffectOutcome {
    /// The call ran and got a response.
    Done {
        /// Status of the service's response.
        status: u16,
        /// Body of the service's response.
        text: String,
    },
    /// The call certainly did not run; its intent is withdrawn.
    NotRun,
    /// The call may have run.
    Unknown,
}

/// State of a program in the journal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProgramRecord {
    /// The program.
    pub program: ids::ProgramId,
    /// Its root program; a root program names itself.
    pub root: ids::ProgramId,
    /// Its workspace.
    pub workspace: ids::WorkspaceName,
    /// Cost units granted so far; 0 for a sub-agent's program.
    pub granted: work::Cost,
    /// Cost units known to be left of the grant; set only by an owner with no calls in flight.
    pub unspent: work::Cost,
    /// Turns used by the whole program tree.
    pub turns: u32,
    /// Service attained by the whole program tree, in cost units.
    pub attained: work::Cost,
}

/// Splits a turn into records whose texts are at most [`MAX_TEXT_BYTES`] long.
pub fn split_turn(
    conversation: &ids::ConversationId,
    program: &ids::ProgramId,
    record: &history::TurnRecord,
) -> Vec<Record> {
    let mut records = Vec::new();
    let mut stripped = record.clone();
    let call = ids::CallKey { conversation: conversation.clone(), turn: record.turn };
    let mut move_long_text = |field: u32, text: &mut String| {
        if text.len() <= MAX_TEXT_BYTES {
            return;
        }
        for chunk in split_text(text) {
            let text = chunk.to_owned();
            records.push(Record::TurnText { call: call.clone(), field, text });
        }
        text.clear();
    };
    move_long_text(0, &mut stripped.output);
    for (index, message) in stripped.input.iter_mut().enumerate() {
        let field = u32::try_from(index + 1).unwrap_or(u32::MAX);
        move_long_text(field, &mut message.content);
    }
    records.push(Record::Turn {
        conversation: conversation.clone(),
        program: program.clone(),
        record: stripped,
    });
    records
}

/// Splits `text` at character boundaries into chunks of at most [`MAX_TEXT_BYTES`].
fn split_text(text: &str) -> Vec<&str> {
    let mut chunks = Vec::new();
    let mut rest = text;
    while rest.len() > MAX_TEXT_BYTES {
        let mut end = MAX_TEXT_BYTES;
        while !rest.is_char_boundary(end) {
            end -= 1;
        }
        let (chunk, tail) = rest.split_at(end);
        chunks.push(chunk);
        rest = tail;
    }
    chunks.push(rest);
    chunks
}

impl Record {
    /// Returns the approximate size of the record in the log, in bytes.
    pub fn approximate_bytes(&self) -> usize {
        const FIXED_BYTES: usize = 160;
        let text_bytes = match self {
            Record::TurnText { text, .. } => text.len(),
            Record::Turn { record, .. } => {
                let input: usize = record.input.iter().map(|m| m.content.len() + 16).sum();
                input + record.output.len()
            }
            Record::Effect { end: EffectOutcome::Done { text, .. }, .. } => text.len(),
            Record::Intent { key, .. } => key.len(),
            _ => 0,
        };
        FIXED_BYTES + text_bytes
    }
}
