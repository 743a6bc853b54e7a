//! What must always hold, checked from what stand-ins and callers saw.

use std::collections;
use std::time as std_time;

use flamingotrail_core::ids;
use flamingotrail_core::output;
use flamingotrail_core::work;

use crate::deployment;
use crate::simulation;

/// How long a leaving endpoint may still get new work: what the list's lag and its fetches allow.
pub const LEAVING_GRACE: std_time::Duration = std_time::Duration::from_secs(5);

/// Something that was seen, for triggers of scenarios.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Observation {
    /// A call reached an endpoint.
    CallStarted {
        /// The root program.
        program: ids::ProgramId,
        /// The turn.
        turn: ids::Turn,
    },
    /// An intent stands in the log.
    IntentAppended {
        /// The root program.
        program: ids::ProgramId,
    },
    /// A caller got an answer.
    CallAnswered {
        /// The caller.
        caller: String,
        /// Calls that it has had answered.
        calls: u32,
    },
    /// A claim stands in the log.
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

/// What an endpoint is to be given for one turn.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExpectedCall {
    /// Digest of the prompt; none for a service call.
    pub prompt: Option<flamingotrail_core::digest::Digest>,
}

/// Checks and figures of a run.
#[derive(Default)]
pub struct Checker {
    /// What did not hold.
    pub violations: Vec<String>,
    /// Price of a service call.
    pub service_price: u64,
    budget: u64,
    repeatable: collections::BTreeMap<String, bool>,
    /// Root of each program.
    pub roots: collections::BTreeMap<ids::ProgramId, ids::ProgramId>,
    /// Cost units spent by root program, as endpoints counted.
    pub spent: collections::BTreeMap<ids::ProgramId, u64>,
    /// What is expected by call.
    pub expected_calls: collections::BTreeMap<ids::CallKey, ExpectedCall>,
    /// Calls that reached an endpoint, with how often.
    pub call_starts: collections::BTreeMap<ids::CallKey, u32>,
    attempts: collections::BTreeMap<ids::CallKey, (ids::Epoch, u32)>,
    last_started: collections::BTreeMap<ids::ConversationId, (ids::Epoch, ids::Turn)>,
    /// Starts of an older turn by a process that had been an owner before.
    pub stale_starts: u32,
    contexts: collections::BTreeMap<ids::ConversationId, u32>,
    /// Prompt tokens computed again.
    pub recomputed_tokens: u64,
    /// Prompt tokens, and those found in a cache.
    pub prompt_tokens: (u64, u64),
    /// Length of ticks, in nanoseconds.
    pub tick_times: Vec<u32>,
    /// Whether lengths of ticks are kept.
    pub records_ticks: bool,
}

impl Checker {
    /// Checks for `deployment`.
    pub fn new(deployment: &deployment::Deployment) -> Self {
        const SERVICE_PRICE: u64 = 10;
        Checker {
            service_price: SERVICE_PRICE,
            budget: deployment.budget,
            repeatable: deployment.services.iter().cloned().collect(),
            ..Checker::default()
        }
    }

    /// Notes the length of a tick.
    pub fn record_tick(&mut self, length: std_time::Duration) {
        if self.records_ticks {
            self.tick_times.push(u32::try_from(length.as_nanos()).unwrap_or(u32::MAX));
        }
    }

    /// Notes how much of a context that some engine had held was computed again.
    pub fn record_recomputed_tokens(
        &mut self,
        conversation: &ids::ConversationId,
        usage: &work::Usage,
    ) {
        self.prompt_tokens.0 += u64::from(usage.prompt_tokens);
        self.prompt_tokens.1 += u64::from(usage.cached_tokens);
        let whole = usage.prompt_tokens.saturating_add(usage.completion_tokens);
        let had = self.contexts.insert(conversation.clone(), whole).unwrap_or(0);
        let block = u32::try_from(crate::prefix_cache::BLOCK_TOKENS).unwrap_or(0);
        // The last block of a context is never whole in a cache.
        let had = (had / block * block).min(usage.prompt_tokens);
        self.recomputed_tokens += u64::from(had.saturating_sub(usage.cached_tokens));
    }
}

/// Stable name of what an output does, for pausing a node before it acts.
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
    /// Root of a program's tree.
    pub(super) fn root_of(&self, program: &ids::ProgramId) -> ids::ProgramId {
        self.checker.roots.get(program).unwrap_or(program).clone()
    }

    /// A program spends; it may never spend beyond its budget.
    pub(super) fn charge(&mut self, root: &ids::ProgramId, cost: u64) {
        let spent = self.checker.spent.entry(root.clone()).or_default();
        *spent += cost;
        let (spent, budget) = (*spent, self.checker.budget);
        if spent > budget {
            self.add_violation(format!("{root} spent {spent} of {budget}"));
        }
    }

    /// Whether calls of a service may be repeated.
    pub(super) fn is_repeatable(&self, service: &ids::ServiceName) -> bool {
        self.checker.repeatable.get(service.as_str()).copied().unwrap_or(false)
    }

    /// A call that may not be repeated runs at most once.
    pub(super) fn check_effect(&mut self, service: &ids::ServiceName, operation: &str, body: &str) {
        if self.is_repeatable(service) {
            return;
        }
        let key = (operation.to_owned(), body.to_owned());
        let count = self.tools.executions.get(&key).copied().unwrap_or(0);
        if count > 1 {
            self.add_violation(format!("{service}/{operation} {body} ran {count} times"));
        }
    }

    /// A call reached an endpoint: it is the one that the program issued, with the program's own
    /// view of the history, and in order.
    pub(super) fn see_started(
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
        let seen = prompt.map(prompt_digest);
        match self.checker.expected_calls.get(key) {
            None => self.add_violation(format!("{endpoint} got {attempt}, which nobody issued")),
            Some(expected) if expected.prompt != seen => {
                self.add_violation(format!("{endpoint} got {attempt} with another history"));
            }
            Some(_) => {}
        }
        self.check_order(attempt, is_repeatable);
        let program = self.root_of(program);
        self.observe(Observation::CallStarted { program, turn: key.turn });
    }

    /// The calls of a conversation start in order. Two starts are not counted as calls, since their
    /// answers go nowhere: one that a former owner sent, and one of a call that may be repeated and
    /// was given up for a later attempt, when the process that had it was silent and woke.
    fn check_order(&mut self, attempt: &ids::AttemptId, is_repeatable: bool) {
        let key = &attempt.call;
        let newest = self.checker.attempts.entry(key.clone()).or_default();
        let given_up = is_repeatable && *newest > (attempt.epoch, attempt.number);
        *newest = (*newest).max((attempt.epoch, attempt.number));
        if given_up {
            self.checker.stale_starts += 1;
            return;
        }
        let last = self.checker.last_started.get(&key.conversation).copied();
        let this = (attempt.epoch, key.turn);
        if let Some((epoch, turn)) = last {
            if attempt.epoch < epoch {
                // A process that had been the owner before: its answer goes nowhere.
                self.checker.stale_starts += 1;
                return;
            }
            if attempt.epoch == epoch && key.turn < turn {
                self.add_violation(format!("{attempt} started after turn {turn}"));
            }
        }
        self.checker.last_started.insert(key.conversation.clone(), this);
    }

    /// A leaving endpoint receives no new work after a few seconds.
    pub(super) fn check_leaving(&mut self, name: &str) {
        let since = self.nodes.get(name).and_then(|node| node.draining_since);
        if since.is_some_and(|since| self.now.since(since) > LEAVING_GRACE) {
            self.add_violation(format!("{name} got new work while it is leaving"));
        }
    }

    /// What must hold once everything is quiet: no engine holds memory for a program.
    pub fn check_quiescent(&mut self) {
        let holding: Vec<(String, usize)> = self
            .engines
            .iter()
            .map(|(name, engine)| (name.clone(), engine.cache().holds().len()))
            .filter(|(_, count)| *count > 0)
            .collect();
        for (name, count) in holding {
            self.add_violation(format!("{name} still has {count} holds"));
        }
    }
}

/// Digest of a prompt.
pub fn prompt_digest(prompt: &str) -> flamingotrail_core::digest::Digest {
    flamingotrail_core::digest::Hasher::new("prompt").with_bytes(prompt.as_bytes()).finish()
}
