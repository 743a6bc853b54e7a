//! Messages between processes on the wire.

use flamingotrail_core::messages;

use crate::history;
use crate::ids;
use crate::journal;
use crate::work;

wire_struct!(
    /// A message in its envelope.
    Envelope, messages::Envelope {
        from: one ids::Number,
        target: maybe ids::Number,
        number: one u64,
        message: one Message,
    }
);
wire_enum!(
    /// A message.
    Message, messages::Message {
        Submit(submit: boxed Submit),
        Accepted {
            request: one ids::RequestId,
            hop: one u32,
            partition: one ids::Partition,
            epoch: one ids::Number,
        },
        Redirect { request: one ids::RequestId, hop: one u32, owner: maybe ids::Name, },
        Reply(reply: boxed Reply),
        Cancel { request: one ids::RequestId, conversation: one ids::ConversationId, },
        Dispatch(dispatch: boxed Dispatch),
        Ended { attempt: one ids::AttemptId, end: one work::AttemptEnd, load: one Load, },
        Abort { attempt: one ids::AttemptId, },
        Release { holds: many ids::Number, },
        Ping { incarnation: one ids::Number, version: one ids::Number, },
        Ack { number: one u64, },
        Pong { incarnation: one ids::Number, version: one ids::Number, load: one Load, },
        Leaving { incarnation: one ids::Number, },
        HandOver { partition: one ids::Partition, epoch: one ids::Number, },
        ConfigAsk,
        ConfigOffer { version: one ids::Number, source: one String, },
        Suspects { notices: many journal::SuspectNotice, },
    }
);
wire_enum!(
    /// How a program came to be.
    Origin, messages::ProgramOrigin { Fresh, Started, Existing, }
);
wire_struct!(
    /// A call on its way to its owner.
    Submit, messages::Submit {
        request: one ids::RequestId,
        hop: one u32,
        workspace: one ids::Name,
        program: one ids::ProgramId,
        parent: maybe ids::ProgramId,
        origin: one Origin,
        conversation: one ids::ConversationId,
        turn: maybe u32,
        work: one work::Work,
        history: one history::HistorySource,
        time_left: one ids::Micros,
        cost_bound: maybe u64,
        idempotency_key: maybe String,
        delivered: one String,
        suspect: maybe ids::Name,
    }
);
wire_struct!(
    /// How a call ended.
    Reply, messages::Reply {
        request: one ids::RequestId,
        hop: one u32,
        turn: one u32,
        attempts: one u32,
        outcome: one work::Outcome,
        continuation: maybe history::Continuation,
    }
);
wire_struct!(
    /// Terms of a hold.
    HoldTerms, messages::HoldLease { id: one ids::Number, lease: one ids::Micros, }
);
wire_enum!(
    /// What an endpoint is to run.
    Job, messages::Job {
        Model {
            model: one ids::Name,
            messages: many history::Message,
            prefix: one String,
            max_tokens: one u32,
            budget_bound: one bool,
            hold: maybe HoldTerms,
            replaces: maybe ids::Number,
        },
        Service {
            service: one ids::Name,
            operation: one String,
            body: one String,
            idempotency_key: one String,
            timeout: one ids::Micros,
        },
    }
);
wire_struct!(
    /// An attempt on its way to an endpoint.
    Dispatch, messages::Dispatch {
        attempt: one ids::AttemptId,
        workspace: one ids::Name,
        program: one ids::ProgramId,
        attained: one u64,
        time_left: one ids::Micros,
        fingerprint: one ids::Digest,
        expected_prefill: one u32,
        job: one Job,
    }
);
wire_struct!(
    /// Load of an endpoint.
    Load, messages::Load {
        running: one u32,
        queued: one u32,
        wait_s: one f64,
        prefill_rate: one f64,
        pressure: one f64,
        leaving: one bool,
    }
);
