//! Calls under way.

use std::collections;
use std::time;

use flamingotrail_core::time as core_time;

use crate::ids;
use crate::input;

/// How far a call is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The turns that it continues are being looked up.
    Resolving,
    /// Its part of the budget has to be confirmed before it may run.
    Reserving,
    /// It waits for an endpoint.
    Placing,
    /// An attempt is under way.
    Running,
    /// Its answer is whole; the journal has to take its turn first.
    Settling,
    /// The caller has its answer or a refusal, or has left; an attempt may still be ending.
    Closed,
}

/// What the journal says of a turn's part of the budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reservation {
    /// Not asked for.
    None,
    /// Asked for.
    Pending,
    /// Granted.
    Granted,
    /// Not granted: the budget is spent.
    Denied,
}

/// A search for a missing turn by the hand of other gateways.
#[derive(Clone, Debug, Default)]
pub struct PeerSearch {
    /// The gateway that was asked and has not answered.
    pub pending_peer: Option<ids::InstanceName>,
    /// Gateways that were asked.
    pub tried_peers: collections::BTreeSet<ids::InstanceName>,
    /// Whether one has read the log and the turn is not there.
    pub is_absent: bool,
}

/// What only turns have.
#[derive(Clone, Debug)]
pub struct Turn {
    /// The program.
    pub program: ids::ProgramId,
    /// The partition of the program's budget.
    pub partition: ids::Partition,
    /// The turn that it continues.
    pub previous: Option<ids::TurnId>,
    /// Tokens that it generates at most.
    pub max_tokens: u64,
    /// The program's budget; none where it has none.
    pub budget: Option<u64>,
    /// Its part of the budget.
    pub reservation: Reservation,
    /// The turn that was missing last, and the number of the read of its partition that tells
    /// whether it exists.
    pub awaited_read: Option<(ids::TurnId, u64)>,
    /// The search for a missing turn by the hand of other gateways.
    pub search: PeerSearch,
    /// Tokens that reached the caller, or will with the end of the answer.
    pub delivered_tokens: u64,
    /// Whether its allowance was told of its end.
    pub is_charged: bool,
}

/// An attempt under way.
#[derive(Clone, Debug)]
pub struct RunningAttempt {
    /// The endpoint.
    pub endpoint: ids::EndpointId,
    /// When it was sent.
    pub sent_at: core_time::Timestamp,
}

/// One call.
#[derive(Debug)]
pub struct Call {
    /// The request.
    pub arrival: input::Arrival,
    /// Name of its route.
    pub route: String,
    /// What may be repeated.
    pub kind: input::RouteKind,
    /// Rank; 0 is first.
    pub priority: u8,
    /// Time within which an answer has its full value.
    pub target_latency: time::Duration,
    /// Endpoints that it may run on at most.
    pub max_attempts: u32,
    /// The service that it goes to.
    pub service: ids::ServiceName,
    /// When it runs out of time.
    pub deadline: core_time::Timestamp,
    /// How far it is.
    pub phase: Phase,
    /// Attempts so far.
    pub attempts: u32,
    /// Attempts that may have run.
    pub possible_runs: u32,
    /// Endpoints that were tried.
    pub tried_endpoints: collections::BTreeSet<ids::EndpointId>,
    /// The attempt under way.
    pub running: Option<RunningAttempt>,
    /// The status that an endpoint gave, where one answered.
    pub status: Option<u16>,
    /// What only turns have that the system keeps.
    pub turn: Option<Turn>,
}

impl Call {
    /// Time left at `now`.
    pub fn remaining_time(&self, now: core_time::Timestamp) -> time::Duration {
        self.deadline.since(now)
    }

    /// Whether another attempt may run.
    pub fn may_retry(&self) -> bool {
        match self.kind {
            input::RouteKind::Idempotent => self.possible_runs < self.max_attempts,
            input::RouteKind::AtMostOnce | input::RouteKind::Stream => self.possible_runs == 0,
        }
    }
}

/// All calls.
#[derive(Debug, Default)]
pub struct Calls {
    /// The rows.
    pub rows: collections::BTreeMap<ids::CallId, Call>,
    /// Calls by the turn that they run.
    pub by_turn: collections::BTreeMap<ids::TurnId, ids::CallId>,
}

impl Calls {
    /// Adds a call.
    pub fn insert(&mut self, call: Call) {
        let id = call.arrival.call;
        if call.turn.is_some() {
            self.by_turn.insert(call.arrival.id.clone(), id);
        }
        self.rows.insert(id, call);
    }

    /// Removes a call.
    pub fn remove(&mut self, id: ids::CallId) -> Option<Call> {
        let call = self.rows.remove(&id)?;
        if self.by_turn.get(&call.arrival.id) == Some(&id) {
            self.by_turn.remove(&call.arrival.id);
        }
        Some(call)
    }
}
