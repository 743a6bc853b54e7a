//! Refusals and doubts on the wire.

use flamingotrail_core::errors;

use crate::ids;

wire_enum!(
    /// Why a call was refused.
    Refusal, errors::Refusal {
        UnknownKey,
        BadField { field: one String, detail: one String, },
        TooLarge { limit: one u64, },
        NoConfiguration,
        UnknownModel(name: one ids::Name),
        UnknownService(name: one ids::Name),
        UnknownProgram(program: one ids::ProgramId),
        ForeignProgram(program: one ids::ProgramId),
        ProgramEnded(program: one ids::ProgramId),
        TurnLimit { program: one ids::ProgramId, limit: one u32, },
        BudgetSpent { program: one ids::ProgramId, left: one u64, needed: one u64, },
        TurnTaken { conversation: one ids::ConversationId, turn: one u32, },
        KeyReused { key: one String, },
        TurnMissing { conversation: one ids::ConversationId, missing: one u32, },
        TurnNeeded,
        BadContinuation(conversation: one ids::ConversationId),
        HistoryContradicts(conversation: one ids::ConversationId),
        HistoryIncomplete(conversation: one ids::ConversationId),
        DeadlinePassed,
        Overloaded { retry_after: one ids::Micros, },
        NoEndpoint(what: one String),
        LogUnavailable { what: one String, },
        NoOwner { retry_after: one ids::Micros, },
        Draining,
        Quarantined,
        EndpointRefused { detail: one String, },
        Cancelled,
    }
);
wire_enum!(
    /// Why it is not known whether a call ran.
    Doubt, errors::UnknownReason { EndpointLost, NoAnswer, OwnerChanged, }
);
