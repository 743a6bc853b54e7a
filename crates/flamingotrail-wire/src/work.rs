//! Work and outcomes on the wire.

use flamingotrail_core::work;

use crate::errors;
use crate::history;
use crate::ids;

wire_enum!(
    /// What a call asks for.
    Work, work::Work {
        Model { model: one ids::Name, max_tokens: one u32, messages: many history::Message, },
        Service { service: one ids::Name, operation: one String, body: one String, },
        EndProgram,
    }
);
wire_struct!(
    /// What an endpoint counted.
    Usage, work::Usage { prompt_tokens: one u32, cached_tokens: one u32, completion_tokens: one u32, }
);
wire_enum!(
    /// Why an answer ended.
    Finish, work::FinishReason { Stop, Length, Budget, }
);
wire_struct!(
    /// A complete answer.
    Answer, work::Response {
        text: one String,
        status: one u16,
        usage: one Usage,
        finish: one Finish,
    }
);
wire_enum!(
    /// How a call ended.
    Outcome, work::Outcome {
        Done(answer: one Answer),
        NotRun(refusal: one errors::Refusal),
        Unknown(doubt: one errors::Doubt),
    }
);
wire_enum!(
    /// How an attempt ended.
    AttemptEnd, work::AttemptOutcome {
        Answered(answer: one Answer),
        NotRun(refusal: one errors::Refusal),
        Broken { partial: one String, endpoint_crashed: one bool, },
    }
);
