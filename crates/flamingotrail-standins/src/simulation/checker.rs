//! Invariant checks and measurements, based on what stand-ins and callers observe.

use std::collections;
use std::time as std_time;

use flamingotrail_core::ids;
use flamingotrail_core::output;
use flamingotrail_core::work;

use crate::deployment;
use crate::simulation;

/// Time for which a leaving endpoint may still receive new work: instances learn of it through the
/// instance list, which lags and is fetched at intervals.
pub const LEAVING_GRACE: std_time::Duration = std_time::Duration::from_secs(5);

/// An observation; scenarios use them as triggers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Observation {
    /// A call arrived at an endpoint.
    CallStarted {
        /// The root program.
        program: ids::ProgramId,
        /// The turn.
        turn: ids::Turn,
    },
    /// An intent was appended to the log.
    IntentAppended {
        /// The root program.
        program: ids::ProgramId,
    },
    /// A caller's call completed, possibly with an unknown outcome.
    CallCompleted {
        /// The caller.
        caller: String,
        /// Number of its calls that have completed so far.
        calls: u32,
    },
    /// A claim was appended to the log.
    ClaimAppended {
        /// Its writer.
        node: String,
        /// The stream.
        stream: String,
    },
    /// An engine crashed.
    EngineCrashed {
        /// The endpoint.
        endpoint: String,
    },
}

/// The call that an endpoint must receive for one turn.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExpectedCall {
    /// Digest of the prompt; `None` for a service call.
    pub prompt: Option<flamingotrail_core::digest::Digest>,
}

/// State of the invariant checks, and measurements of a run.
#[derive(Default)]
pub struct Checker {
    /// Violated invariants.
    pub violations: Vec<String>,
    /// Price of a service call.
    pub service_price: u64,
    budget: u64,
    repeatable: collections::BTreeMap<String, bool>,
    /// Root program of each program.
    pub roots: collections::BTreeMap<ids::ProgramId, ids::ProgramId>,
    /// Cost units spent by each root program, as counted at the endpoints.
    pub spent: collections::BTreeMap<ids::ProgramId, u64>,
    /// Calls that callers issued and that were admitted.
    pub expected_calls: collections::BTreeMap<ids::CallKey, ExpectedCall>,
    /// Number of times that each call arrived at an endpoint.
    pub call_starts: collections::BTreeMap<ids::CallKey, u32>,
    attempts: collections::BTreeMap<ids::CallKey, (ids::Epoch, u32)>,
    last_started: collections::BTreeMap<ids::ConversationId, (ids::Epoch, ids::Turn)>,
    /// Number of attempts that started after they were superseded: sent by a former owner, or
    /// replaced by a later attempt of a repeatable call.
    pub superseded_starts: u32,
    context_tokens: collections::BTreeMap<ids::ConversationId, u32>,
    /// Prompt tokens that were computed again although an engine had computed them before.
    pub recomputed_tokens: u64,
    /// Total prompt tokens, and those found in a cache.
    pub prompt_tokens: (u64, u64),
    /// Duration of each tick, in nanoseconds.
    pub tick_times: Vec<u32>,
    /// Whether the durations of ticks are recorded.
    pub records_ticks: bool,
}

impl Checker {
    /// Creates the checks for `deployment`.
    pub fn new(deployment: &deployment::Deployment) -> Self {
        const SERVICE_PRICE: u64 = 10;
        Checker {
            service_price: SERVICE_PRICE,
            budget: deployment.budget,
            repeatable: deployment.services.iter().cloned().collect(),
            ..Checker::default()
        }
    }

    /// Records the duration of a tick.
    pub fn record_tick(&mut self, duration: std_time::Duration) {
        if self.records_ticks {
            self.tick_times.push(u32::try_from(duration.as_nanos()).unwrap_or(u32::MAX));
        }
    }

    /// Records how many tokens of a conversation's context were computed again although an engine
    /// had computed them before.
    pub fn record_recomputed_tokens(
        &mut self,
        conversation: &ids::ConversationId,
        usage: &work::Usage,
    ) {
        self.prompt_tokens.0 += u64::from(usage.prompt_tokens);
        self.prompt_tokens.1 += u64::from(usage.cached_tokens);
        let context_tokens = usage.prompt_tokens.saturating_add(usage.completion_tokens);
        let previous =
            self.context_tokens.insert(conversation.clone(), context_tokens).unwrap_or(0);
        let block = u32::try_from(crate::prefix_cache::BLOCK_TOKENS).unwrap_or(0);
        // Caches hold only complete blocks, so the incomplete last block does not count.
        let previous = (previous / block * block).min(usage.prompt_tokens);
        self.recomputed_tokens += u64::from(previous.saturating_sub(usage.cached_tokens));
    }
}

/// Returns the kind of an output, as named by scenarios that pause a node before such an output.
pub fn output_kind(output: &output::Output) -> &'static str {
    match output {
        output::Output::Send { envelope, .. } => envelope.message.kind(),
        output::Output::Append { .. } => "append",
        output::Output::Execute { .. } => "execute",
        output::Output::Respond(_) => "respond",
        _ => "other",
    }
}

impl simulation::Simulation {
    /// Returns the root program of a program.
    pub(super) fn root_of(&self, program: &ids::ProgramId) -> ids::ProgramId {
        self.checker.roots.get(program).unwrap_or(program).clone()
    }

    /// Adds to the amount spent by a root program and checks that it stays within the budget.
    pub(super) fn charge(&mut self, root: &ids::ProgramId, cost: u64) {
        let spent = self.checker.spent.entry(root.clone()).or_default();
        *spent += cost;
        let (spent, budget) = (*spent, self.checker.budget);
        if spent > budget {
            self.add_violation(format!("{root} spent {spent}, more than its budget of {budget}"));
        }
    }

    /// Returns whether calls of a service may be repeated.
    pub(super) fn is_repeatable(&self, service: &ids::ServiceName) -> bool {
        self.checker.repeatable.get(service.as_str()).copied().unwrap_or(false)
    }

    /// Checks that a call that may not be repeated was executed at most once.
    pub(super) fn check_single_execution(
        &mut self,
        service: &ids::ServiceName,
        operation: &str,
        body: &str,
    ) {
        if self.is_repeatable(service) {
            return;
        }
        let key = (operation.to_owned(), body.to_owned());
        let count = self.service.executions.get(&key).copied().unwrap_or(0);
        if count > 1 {
            self.add_violation(format!("{service}/{operation} {body} was executed {count} times"));
        }
    }

    /// Records a call that arrived at an endpoint and checks it: a caller issued it, the prompt
    /// matches the caller's history, and the calls of a conversation start in order.
    pub(super) fn observe_call_start(
        &mut self,
        attempt: &ids::AttemptId,
        program: &ids::ProgramId,
        endpoint: &str,
        prompt: Option<&str>,
        is_repeatable: bool,
    ) {
        let key = &attempt.call;
        self.add_trace(|| format!("{endpoint} starts {attempt}"));
        *self.checker.call_starts.entry(key.clone()).or_default() += 1;
        let digest = prompt.map(prompt_digest);
        match self.checker.expected_calls.get(key) {
            None => {
                self.add_violation(format!("{endpoint} received {attempt}, which no caller issued"))
            }
            Some(expected) if expected.prompt != digest => {
                self.add_violation(format!(
                    "{endpoint} received {attempt} with a history that differs from the caller's"
                ));
            }
            Some(_) => {}
        }
        self.check_order(attempt, is_repeatable);
        let program = self.root_of(program);
        self.observe(Observation::CallStarted { program, turn: key.turn });
    }

    /// Checks that the calls of a conversation start in order. Two kinds of attempts are exempt
    /// because their responses are discarded: those sent by a former owner, and those of a
    /// repeatable call that were replaced by a later attempt while their node was unresponsive and
    /// that start when the node resumes.
    fn check_order(&mut self, attempt: &ids::AttemptId, is_repeatable: bool) {
        let key = &attempt.call;
        let newest = self.checker.attempts.entry(key.clone()).or_default();
        let is_superseded = is_repeatable && *newest > (attempt.epoch, attempt.number);
        *newest = (*newest).max((attempt.epoch, attempt.number));
        if is_superseded {
            self.checker.superseded_starts += 1;
            return;
        }
        let last = self.checker.last_started.get(&key.conversation).copied();
        let current = (attempt.epoch, key.turn);
        if let Some((epoch, turn)) = last {
            if attempt.epoch < epoch {
                // Sent by a former owner; the response is discarded.
                self.checker.superseded_starts += 1;
                return;
            }
            if attempt.epoch == epoch && key.turn < turn {
                self.add_violation(format!("{attempt} started after turn {turn}"));
            }
        }
        self.checker.last_started.insert(key.conversation.clone(), current);
    }

    /// Checks that a leaving endpoint receives no new work after [`LEAVING_GRACE`].
    pub(super) fn check_not_leaving(&mut self, name: &str) {
        let since = self.nodes.get(name).and_then(|node| node.draining_since);
        if since.is_some_and(|since| self.now.since(since) > LEAVING_GRACE) {
            self.add_violation(format!("{name} received new work while leaving"));
        }
    }

    /// Checks an invariant of the quiescent state: no engine holds cache for a program.
    pub fn check_quiescent(&mut self) {
        let holds: Vec<(String, usize)> = self
            .engines
            .iter()
            .map(|(name, engine)| (name.clone(), engine.cache().holds().len()))
            .filter(|(_, count)| *count > 0)
            .collect();
        for (name, count) in holds {
            self.add_violation(format!("{name} still has {count} cache holds"));
        }
    }
}

/// Returns the digest of a prompt.
pub fn prompt_digest(prompt: &str) -> flamingotrail_core::digest::Digest {
    flamingotrail_core::digest::Hasher::new("prompt").with_bytes(prompt.as_bytes()).finish()
}
