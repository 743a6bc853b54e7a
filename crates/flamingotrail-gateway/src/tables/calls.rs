//! Active calls.

use std::collections;
use std::time;

use bytes::Bytes;
use flamingotrail_core::time as core_time;

use crate::ids;
use crate::input;
use crate::tables::partitions;

/// Maximum time that a call waits unsent, as a percentage of the time for which its caller accepts silence
/// and of the time that the caller has.
const MAX_WAIT_PERCENT: u32 = 80;

/// Phase of a call's lifecycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The turns that the call continues are being looked up.
    Resolving,
    /// The call waits for the decision on its reservation before it may run.
    Reserving,
    /// The call waits for an endpoint.
    Placing,
    /// An attempt is running.
    Running,
    /// The response is complete; its end is sent once the turn is stored in the log.
    Settling,
    /// The caller got a response or a refusal, or has disconnected; an attempt may still be ending.
    Closed,
}

/// State of a reservation of a program's budget, as decided by the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reservation {
    /// Not requested.
    None,
    /// Requested; the log has not decided yet.
    Pending,
    /// Granted by the log.
    Granted,
    /// Denied, because the budget is spent.
    Denied,
}

/// A search for a missing turn at other gateways.
#[derive(Clone, Debug, Default)]
pub struct PeerSearch {
    /// Gateway whose response is pending.
    pub pending_peer: Option<ids::InstanceName>,
    /// Gateways that were asked.
    pub tried_peers: collections::BTreeSet<ids::InstanceName>,
    /// Turn that the gateways were asked for.
    pub turn: Option<ids::TurnId>,
    /// Whether a gateway has read the log to its end without finding that turn.
    pub is_absent: bool,
}

/// What a turn needs on a route that keeps the history of programs.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Turn that this one continues.
    pub previous: Option<ids::TurnId>,
    /// Search for the turn that was found missing last in the log.
    pub log_search: Option<partitions::TurnSearch>,
    /// Search for the missing turn at other gateways.
    pub peer_search: PeerSearch,
}

/// State of a call that runs a turn: a call that has a budget, a history, or both.
#[derive(Clone, Debug)]
pub struct Turn {
    /// Program that the turn belongs to.
    pub program: ids::ProgramId,
    /// Partition of the program's budget.
    pub partition: ids::Partition,
    /// History of the turn; `None` if its route keeps none.
    pub history: Option<History>,
    /// Whether the turn is the first of its program, as far as this gateway knows.
    pub begins_program: bool,
    /// Whether the turn is unsent only because the log is unreachable.
    pub waits_for_log: bool,
    /// Maximum number of tokens that the turn generates.
    pub max_tokens: u64,
    /// Budget of the program; `None` if it is not limited.
    pub budget: Option<u64>,
    /// State of the turn's reservation.
    pub reservation: Reservation,
    /// Number of tokens that were delivered to the caller, or will be with the end of the
    /// response.
    pub delivered_tokens: u64,
    /// Whether the tokens were charged to the turn's allowance.
    pub is_charged: bool,
}

impl Turn {
    /// Returns the turn that this one continues, on a route that keeps history.
    pub fn previous(&self) -> Option<&ids::TurnId> {
        self.history.as_ref()?.previous.as_ref()
    }
}

/// What the attempts of a call have streamed so far.
#[derive(Clone, Debug, Default)]
pub struct StreamedEvents {
    /// Number of events.
    pub count: u64,
    /// Id of the last event that the caller has or that is held for it.
    pub last: Option<u64>,
    /// Data of the events, each followed by a line feed, by attempt.
    pub output: Vec<Bytes>,
}

/// A running attempt.
#[derive(Clone, Debug)]
pub struct RunningAttempt {
    /// Endpoint that the attempt was sent to.
    pub endpoint: ids::EndpointId,
    /// When the endpoint was started, as it was listed when the attempt was sent.
    pub started_at_ms: Option<u64>,
    /// When the attempt was sent.
    pub sent_at: core_time::Timestamp,
    /// When its response began.
    pub began_at: Option<core_time::Timestamp>,
    /// Load that the endpoint reported at the beginning of its response, which was recorded then.
    pub reported_load: Option<input::Load>,
    /// Number of tokens of the prompt that the endpoint probably had not cached.
    pub uncached_tokens: u64,
    /// Number of tokens of the prompt and of the longest output.
    pub tokens: u64,
    /// Number of tokens that requests probably use of the endpoint's memory, with this one; 0 if its
    /// memory is not configured.
    pub expected_memory: u64,
    /// Number of other requests that were probably at the endpoint.
    pub expected_load: f64,
    /// Factor by which work on the endpoint probably takes longer than usual, by its own report.
    pub expected_slowdown: f64,
    /// Object that the call concerns on a route whose endpoints are faster for known objects, and whether
    /// the endpoint had lately handled it.
    pub affinity: Option<(u64, bool)>,
    /// Expected round-trip time to the endpoint.
    pub expected_way: time::Duration,
}

/// An active call.
#[derive(Debug)]
pub struct Call {
    /// Request of the caller.
    pub arrival: input::Arrival,
    /// Workspace of the caller; `None` if it has none.
    pub workspace: Option<ids::WorkspaceName>,
    /// Key that names the workspace.
    pub key: Option<ids::KeyDigest>,
    /// Whether there were workspaces when the call was admitted, so that its credential was meant for
    /// the gateway.
    pub is_identified: bool,
    /// Name of the route.
    pub route: String,
    /// Execution semantics of the route.
    pub kind: input::RouteKind,
    /// Priority class; 0 is the highest.
    pub priority: u8,
    /// Latency within which a response has its full value for the caller.
    pub target_latency: time::Duration,
    /// Maximum number of endpoints that may run the call.
    pub max_attempts: u32,
    /// Service that the call is sent to.
    pub service: ids::ServiceName,
    /// Engines of the service when the call was admitted; `None` for a plain service. Kept here since
    /// the service may leave the configuration while the call runs.
    pub engine: Option<input::Engine>,
    /// When the call expires.
    pub deadline: core_time::Timestamp,
    /// Whether the caller has come back after a refusal.
    pub has_returned: bool,
    /// Time without a byte after which the caller leaves a stream.
    pub max_silence: time::Duration,
    /// Current phase.
    pub phase: Phase,
    /// Number of attempts so far.
    pub attempts: u32,
    /// Number of attempts that may have run.
    pub possible_runs: u32,
    /// Endpoints that were tried.
    pub tried_endpoints: collections::BTreeSet<ids::EndpointId>,
    /// Endpoints that may have run the call.
    pub ran_endpoints: collections::BTreeSet<ids::EndpointId>,
    /// What the attempts have streamed so far.
    pub streamed: StreamedEvents,
    /// The running attempt.
    pub running: Option<RunningAttempt>,
    /// HTTP status of the endpoint's response.
    pub status: Option<u16>,
    /// State of the turn; `None` if the call has neither a history nor a budget.
    pub turn: Option<Turn>,
    /// What the call holds until it is removed.
    pub held: Held,
}

impl Call {
    /// Returns the fingerprint of the call's request.
    pub fn fingerprint(&self) -> ids::Fingerprint {
        self.arrival.fingerprint(self.workspace.as_ref())
    }

    /// Whether an endpoint has run the call, or may run it now.
    pub fn may_have_run(&self) -> bool {
        self.possible_runs > 0 || self.running.is_some()
    }

    /// Returns the time between `now` and the deadline.
    pub fn remaining_time(&self, now: core_time::Timestamp) -> time::Duration {
        self.deadline.since(now)
    }

    /// Returns until when the call may wait unsent, so that its caller is told before it leaves.
    pub fn wait_end(&self) -> core_time::Timestamp {
        let received = self.arrival.received;
        let patience = self.max_silence.min(self.deadline.since(received));
        received.after(patience * MAX_WAIT_PERCENT / 100)
    }

    /// Whether another attempt may run without violating the route's execution semantics.
    pub fn may_retry(&self) -> bool {
        if !self.kind.is_repeatable() {
            return self.possible_runs == 0;
        }
        // The route limits the number of endpoints that run a call. One of them may run it again.
        self.possible_runs <= self.max_attempts
    }

    /// Returns the maximum number of events of the response; `None` if the request does not limit
    /// them.
    pub fn max_events(&self, tokens_per_event: u64) -> Option<u64> {
        let turn = self.turn.as_ref().filter(|turn| turn.max_tokens > 0)?;
        // Engines may begin with an event that has fewer tokens than the others.
        Some(turn.max_tokens.div_ceil(tokens_per_event) + 1)
    }

    /// Whether an endpoint that has not run the call yet may do so.
    pub fn may_use_another_endpoint(&self) -> bool {
        self.ran_endpoints.len() < usize::try_from(self.max_attempts.max(1)).unwrap_or(usize::MAX)
    }
}

/// What calls hold of the gateway.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Held {
    /// Number of calls; each holds a connection.
    pub calls: usize,
    /// Bytes of the bodies that are larger than ordinary ones.
    pub large_bytes: usize,
}

impl Held {
    fn add(&mut self, other: Held) {
        self.calls += other.calls;
        self.large_bytes += other.large_bytes;
    }

    fn subtract(&mut self, other: Held) {
        self.calls -= other.calls;
        self.large_bytes -= other.large_bytes;
    }
}

/// Table of active calls.
#[derive(Debug, Default)]
pub struct Calls {
    /// Calls by id.
    pub rows: collections::BTreeMap<ids::CallId, Call>,
    /// Index of the calls by the turn that they run.
    pub by_turn: collections::BTreeMap<ids::TurnId, ids::CallId>,
    /// What all calls hold.
    held: Held,
    /// What the calls of each service hold; services without calls have no row.
    held_by_service: collections::BTreeMap<ids::ServiceName, Held>,
}

impl Calls {
    /// Adds a call and indexes it by its turn.
    pub fn insert(&mut self, call: Call) {
        let id = call.arrival.call;
        if call.turn.is_some() {
            self.by_turn.insert(call.arrival.id.clone(), id);
        }
        self.held.add(call.held);
        self.held_by_service.entry(call.service.clone()).or_default().add(call.held);
        self.rows.insert(id, call);
    }

    /// Removes a call and its index entry.
    pub fn remove(&mut self, id: ids::CallId) -> Option<Call> {
        let call = self.rows.remove(&id)?;
        if self.by_turn.get(&call.arrival.id) == Some(&id) {
            self.by_turn.remove(&call.arrival.id);
        }
        self.held.subtract(call.held);
        if let Some(held) = self.held_by_service.get_mut(&call.service) {
            held.subtract(call.held);
            if *held == Held::default() {
                self.held_by_service.remove(&call.service);
            }
        }
        Some(call)
    }

    /// What all calls hold.
    pub fn held(&self) -> Held {
        self.held
    }

    /// What the calls of `service` hold.
    pub fn held_by(&self, service: &ids::ServiceName) -> Held {
        self.held_by_service.get(service).copied().unwrap_or_default()
    }
}
