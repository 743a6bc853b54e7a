//! Entries of the log's streams on the wire.

use flamingotrail_core::journal;

use crate::history;
use crate::ids;

wire_struct!(
    /// One entry.
    Entry, journal::Entry { nonce: one ids::Number, writer: one ids::Peer, body: one Body, }
);
wire_enum!(
    /// What an entry says.
    Body, journal::Body {
        Claim,
        Records { epoch: one ids::Number, records: many Record, },
        EndpointClaim { endpoint: one ids::Name, },
        Publication { base: one ids::Number, author: one String, source: one String, },
        Carry { version: one ids::Number, source: one String, },
        Suspects { notices: many SuspectNotice, },
    }
);
wire_struct!(
    /// What is known of one content.
    SuspectNotice, journal::SuspectNotice { fingerprint: one ids::Digest, verdict: one Verdict, }
);
wire_enum!(
    /// Standing of a content.
    Verdict, journal::Verdict { Cleared, Suspected, Convicted, }
);
wire_enum!(
    /// One record of a partition's owner.
    Record, journal::Record {
        Reassert,
        Program(record: one ProgramRecord),
        Conversation { conversation: one ids::ConversationId, program: one ids::ProgramId, },
        TurnText { call: one ids::CallKey, field: one u32, text: one String, },
        Turn {
            conversation: one ids::ConversationId,
            program: one ids::ProgramId,
            record: one history::TurnRecord,
        },
        Grant { root: one ids::ProgramId, granted: one u64, },
        Intent {
            root: one ids::ProgramId,
            key: one String,
            call: one ids::CallKey,
            fingerprint: one ids::Digest,
        },
        Effect { root: one ids::ProgramId, key: one String, end: one EffectEnd, },
        Ended { program: one ids::ProgramId, },
    }
);
wire_enum!(
    /// How a call that may not be repeated ended.
    EffectEnd, journal::EffectOutcome {
        Done { status: one u16, text: one String, },
        NotRun,
        Unknown,
    }
);
wire_struct!(
    /// A program as it stands in the journal.
    ProgramRecord, journal::ProgramRecord {
        program: one ids::ProgramId,
        root: one ids::ProgramId,
        workspace: one ids::Name,
        granted: one u64,
        unspent: one u64,
        turns: one u32,
        attained: one u64,
    }
);
