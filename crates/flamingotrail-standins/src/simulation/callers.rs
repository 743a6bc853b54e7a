//! Simulated callers: they run programs, retry calls that were not executed, and check every
//! response against their own copy of the conversation.

use std::collections;
use std::time as std_time;

use flamingotrail_core::digest;
use flamingotrail_core::history;
use flamingotrail_core::ids;
use flamingotrail_core::input;
use flamingotrail_core::messages;
use flamingotrail_core::time;
use flamingotrail_core::work;

use crate::engine;
use crate::simulation;
use crate::simulation::checker;
use crate::workload;

/// How a caller supplies the conversation's history.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HistoryMode {
    /// With the continuation of the previous response.
    #[default]
    Carry,
    /// With all messages in each request.
    Full,
    /// Not at all; the history is read from the journal.
    Journal,
}

/// Configuration of a caller.
#[derive(Clone, Debug)]
pub struct CallerConfig {
    /// How it supplies the history.
    pub history: HistoryMode,
    /// Maximum number of times that a call is sent.
    pub max_sends: u32,
    /// Deadline of a call.
    pub deadline: std_time::Duration,
    /// Whether it sends a call that ends each of its programs.
    pub ends_programs: bool,
    /// Whether it abandons a program whose first call is refused because of overload.
    pub abandons_if_overloaded: bool,
}

impl Default for CallerConfig {
    fn default() -> Self {
        CallerConfig {
            history: HistoryMode::Carry,
            max_sends: 30,
            deadline: std_time::Duration::from_secs(30),
            ends_programs: true,
            abandons_if_overloaded: false,
        }
    }
}

/// An event of a caller, with its index.
#[derive(Clone, Debug)]
pub enum CallerEvent {
    /// The next step of its program is due.
    NextStep(usize),
    /// Its current call is due to be sent, for the first time or as a retry.
    Send(usize),
    /// A reply arrives.
    Reply(usize, Box<messages::Reply>),
    /// A chunk of response text arrives.
    Text(usize, ids::RequestId, String),
    /// The connection broke, or no reply arrived in time.
    NoReply(usize, ids::RequestId),
}

/// Outcome of a program as its caller sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProgramOutcome {
    /// All steps were completed.
    Done,
    /// It was abandoned after a call whose sends were all refused, with the kind of refusal.
    NotRun(String),
    /// It was abandoned after a call that may have run, with the reason of the last failure.
    Unknown(String),
}

/// A caller's copy of the state of one conversation.
#[derive(Clone, Debug, Default)]
pub(super) struct ConversationState {
    pub(super) program: Option<ids::ProgramId>,
    pub(super) parent: Option<ids::ProgramId>,
    pub(super) conversation: Option<ids::ConversationId>,
    pub(super) continuation: Option<history::Continuation>,
    pub(super) turn: ids::Turn,
    pub(super) messages: Vec<history::Message>,
}

/// Stack frame of a caller: progress of the root program or of a sub-agent's program.
#[derive(Clone, Debug)]
pub(super) struct Frame {
    pub(super) steps: Vec<workload::Step>,
    pub(super) next: usize,
    pub(super) state: ConversationState,
    pub(super) is_ending: bool,
}

/// A call in progress.
#[derive(Clone, Debug)]
pub(super) struct CurrentCall {
    pub(super) request: ids::RequestId,
    pub(super) entry: String,
    pub(super) sends: u32,
    pub(super) work: work::Work,
    pub(super) expected_response: Option<String>,
    pub(super) is_effect: bool,
    pub(super) text: String,
    pub(super) issued_at: time::Timestamp,
    pub(super) sent_at: time::Timestamp,
    pub(super) last_text_at: Option<time::Timestamp>,
    /// Whether every send so far was refused, so that the call must not have run.
    pub(super) only_refused: bool,
    pub(super) sends_full_history: bool,
    pub(super) is_open: bool,
}

/// One caller with one program.
#[derive(Clone, Debug)]
pub struct Caller {
    /// Name that scenarios use.
    pub name: String,
    /// Kind of program.
    pub kind: String,
    /// Its workspace.
    pub workspace: String,
    /// When it started.
    pub started_at: time::Timestamp,
    /// When its last step ended.
    pub ended_at: Option<time::Timestamp>,
    /// Outcome of its program; `None` while it runs.
    pub outcome: Option<ProgramOutcome>,
    /// Total time of the pauses in its program.
    pub paused: std_time::Duration,
    /// Its root program, once admitted.
    pub program: Option<ids::ProgramId>,
    /// Number of calls that completed, including those with an unknown outcome.
    pub completed_calls: u32,
    /// Number of calls whose outcome stayed unknown.
    pub unknown: u32,
    /// Refusals by kind.
    pub refusals: collections::BTreeMap<&'static str, u32>,
    pub(super) region: String,
    pub(super) token: digest::Digest,
    pub(super) config: CallerConfig,
    pub(super) frames: Vec<Frame>,
    pub(super) current: Option<CurrentCall>,
}

/// All callers and their measurements.
#[derive(Debug, Default)]
pub struct Callers {
    /// One row per caller.
    pub rows: Vec<Caller>,
    pub(super) by_request: collections::BTreeMap<ids::RequestId, usize>,
    /// Time from a send to its first chunk of text, in microseconds.
    pub first_token_times: Vec<u64>,
    /// Times between chunks of text, in microseconds.
    pub inter_token_gaps: Vec<u32>,
    /// Time from each refused send to its refusal, in microseconds.
    pub refusal_times: Vec<u64>,
    /// Time to the response of each call that may not be repeated, in microseconds.
    pub effect_times: Vec<u64>,
    /// Whether the times of response text are recorded.
    pub records_token_times: bool,
}

/// Minimum delay before a call is retried.
pub(super) const RETRY_DELAY: std_time::Duration = std_time::Duration::from_millis(200);

impl simulation::Simulation {
    /// Adds a caller that starts `program` once `program.starts_at` has passed.
    pub fn add_caller(
        &mut self,
        name: &str,
        program: &workload::Program,
        token: &str,
        config: CallerConfig,
    ) {
        let at = self.now.after(program.starts_at);
        let root = Frame {
            steps: program.steps.clone(),
            next: 0,
            state: ConversationState::default(),
            is_ending: false,
        };
        let index = self.callers.rows.len();
        self.callers.rows.push(Caller {
            name: name.to_owned(),
            kind: program.kind.to_owned(),
            workspace: program.workspace.clone(),
            started_at: at,
            ended_at: None,
            outcome: None,
            paused: std_time::Duration::ZERO,
            program: None,
            completed_calls: 0,
            unknown: 0,
            refusals: collections::BTreeMap::new(),
            region: program.region.clone(),
            token: digest::hash_token(token),
            config,
            frames: vec![root],
            current: None,
        });
        self.schedule(at, simulation::Event::Caller(CallerEvent::NextStep(index)));
    }

    pub(super) fn handle_caller_event(&mut self, event: CallerEvent) {
        match event {
            CallerEvent::NextStep(index) => self.caller_next_step(index),
            CallerEvent::Send(index) => self.caller_send(index),
            CallerEvent::Reply(index, reply) => self.caller_handle_reply(index, *reply),
            CallerEvent::Text(index, request, text) => {
                self.caller_handle_text(index, request, &text);
            }
            CallerEvent::NoReply(index, request) => self.caller_handle_no_reply(index, request),
        }
    }

    /// Executes the next step of the caller's program.
    fn caller_next_step(&mut self, index: usize) {
        let caller = &mut self.callers.rows[index];
        let Some(frame) = caller.frames.last_mut() else {
            return;
        };
        let Some(step) = frame.steps.get(frame.next).cloned() else {
            self.caller_finish_frame(index);
            return;
        };
        frame.next += 1;
        match step {
            workload::Step::Pause(pause) => {
                caller.paused += pause;
                self.schedule_after(pause, simulation::Event::Caller(CallerEvent::NextStep(index)));
            }
            workload::Step::Model { text, tokens } => self.caller_issue_model(index, text, tokens),
            workload::Step::Service { service, operation, body, repeatable } => {
                let service = ids::ServiceName::new(service);
                let work = work::Work::Service { service, operation, body };
                self.caller_issue(index, work, None, !repeatable);
            }
            workload::Step::SubAgent(steps) => {
                let parent = frame.state.program.clone();
                let state = ConversationState { parent, ..ConversationState::default() };
                caller.frames.push(Frame { steps, next: 0, state, is_ending: false });
                self.schedule(self.now, simulation::Event::Caller(CallerEvent::NextStep(index)));
            }
        }
    }

    fn caller_issue_model(&mut self, index: usize, text: String, tokens: u32) {
        let model = ids::ModelName::new(self.config.deployment.model.as_str());
        let Some(frame) = self.callers.rows[index].frames.last_mut() else {
            return;
        };
        let message = history::Message::new(history::Role::User, text);
        frame.state.messages.push(message.clone());
        let pairs = frame.state.messages.iter().map(|m| (m.role.as_str(), m.content.as_str()));
        let prompt = engine::prompt_text(pairs);
        let expected_response =
            engine::expected_response(&prompt, usize::try_from(tokens).unwrap_or(0));
        let work = work::Work::Model { model, max_tokens: tokens + 8, messages: vec![message] };
        self.caller_issue(index, work, Some(expected_response), false);
    }

    fn caller_issue(
        &mut self,
        index: usize,
        work: work::Work,
        expected_response: Option<String>,
        is_effect: bool,
    ) {
        let now = self.now;
        let caller = &mut self.callers.rows[index];
        caller.current = Some(CurrentCall {
            request: ids::RequestId::default(),
            entry: String::new(),
            sends: 0,
            work,
            expected_response,
            is_effect,
            text: String::new(),
            issued_at: now,
            sent_at: now,
            last_text_at: None,
            only_refused: true,
            sends_full_history: false,
            is_open: false,
        });
        self.caller_send(index);
    }

    /// Returns the entry instance for the next send. Retries rotate through the entry instances,
    /// starting with those in the caller's region.
    fn caller_entry(&self, index: usize, sends: u32) -> Option<String> {
        let region = &self.callers.rows[index].region;
        let entries = self.nodes.iter().filter(|(_, node)| node.listed.endpoint.is_none());
        let (mut local, remote): (Vec<String>, Vec<String>) = entries
            .map(|(name, node)| (name.clone(), node.listed.region.as_str() == region))
            .fold((Vec::new(), Vec::new()), |(mut local, mut remote), (name, is_local)| {
                if is_local {
                    local.push(name);
                } else {
                    remote.push(name);
                }
                (local, remote)
            });
        local.extend(remote);
        let position = usize::try_from(sends).unwrap_or(0) % local.len().max(1);
        local.get(position).cloned()
    }

    fn caller_send(&mut self, index: usize) {
        let Some(sends) = self.callers.rows[index].current.as_ref().map(|c| c.sends) else {
            return;
        };
        let Some(entry) = self.caller_entry(index, sends) else {
            return;
        };
        let incarnation = self.nodes[&entry].incarnation;
        self.last_number += 1;
        let request = ids::RequestId { entry: incarnation, number: self.last_number };
        let now = self.now;
        let caller = &mut self.callers.rows[index];
        let Some(current) = &mut caller.current else {
            return;
        };
        current.sends += 1;
        current.request = request;
        current.entry = entry.clone();
        current.text.clear();
        current.sent_at = now;
        current.last_text_at = None;
        current.is_open = true;
        let message = caller_request(caller, request);
        let timeout = caller.config.deadline + std_time::Duration::from_secs(2);
        self.callers.by_request.insert(request, index);
        self.schedule_after(
            timeout,
            simulation::Event::Caller(CallerEvent::NoReply(index, request)),
        );
        let Some(node) = self.nodes.get_mut(&entry).filter(|node| node.is_up()) else {
            self.schedule_after(
                RETRY_DELAY,
                simulation::Event::Caller(CallerEvent::NoReply(index, request)),
            );
            return;
        };
        node.caller_texts.open(request);
        let delay = self.config.deployment.client_delay;
        let input = Box::new(input::Input::Request(Box::new(message)));
        self.schedule_after(delay, simulation::Event::Deliver { node: entry, incarnation, input });
    }

    pub(super) fn caller_admitted(
        &mut self,
        request: ids::RequestId,
        program: ids::ProgramId,
        conversation: ids::ConversationId,
    ) {
        let Some(index) = self.callers.by_request.get(&request).copied() else {
            return;
        };
        let caller = &mut self.callers.rows[index];
        let Some(current) = caller.current.as_ref().filter(|c| c.request == request) else {
            return;
        };
        let is_model = current.expected_response.is_some();
        let Some(frame) = caller.frames.last() else {
            return;
        };
        let parent = frame.state.parent.clone();
        let root = parent.map(|parent| self.checker.roots.get(&parent).cloned().unwrap_or(parent));
        let root = root.unwrap_or_else(|| program.clone());
        if root == program {
            caller.program = Some(program.clone());
        }
        self.checker.roots.insert(program, root);
        let prompt = is_model.then(|| {
            let messages = &frame.state.messages;
            let pairs = messages.iter().map(|m| (m.role.as_str(), m.content.as_str()));
            checker::prompt_digest(&engine::prompt_text(pairs))
        });
        let key = ids::CallKey { conversation, turn: frame.state.turn + 1 };
        self.checker.expected_calls.insert(key, checker::ExpectedCall { prompt });
    }

    pub(super) fn deliver_text_to_caller(&mut self, request: ids::RequestId, text: String) {
        let Some(index) = self.callers.by_request.get(&request).copied() else {
            return;
        };
        let delay = self.config.deployment.client_delay;
        self.schedule_after(
            delay,
            simulation::Event::Caller(CallerEvent::Text(index, request, text)),
        );
    }

    pub(super) fn deliver_reply_to_caller(&mut self, reply: messages::Reply) {
        let Some(index) = self.callers.by_request.get(&reply.request).copied() else {
            return;
        };
        let delay = self.config.deployment.client_delay;
        self.schedule_after(
            delay,
            simulation::Event::Caller(CallerEvent::Reply(index, Box::new(reply))),
        );
    }

    /// Breaks the connections of callers to an entry instance that went down.
    pub(super) fn disconnect_callers(&mut self, entry: &str) {
        let lost: Vec<(usize, ids::RequestId)> = self
            .callers
            .rows
            .iter()
            .enumerate()
            .filter_map(|(index, caller)| Some((index, caller.current.as_ref()?)))
            .filter(|(_, current)| current.is_open && current.entry == entry)
            .map(|(index, current)| (index, current.request))
            .collect();
        for (index, request) in lost {
            self.schedule_after(
                RETRY_DELAY,
                simulation::Event::Caller(CallerEvent::NoReply(index, request)),
            );
        }
    }

    fn caller_handle_text(&mut self, index: usize, request: ids::RequestId, text: &str) {
        let now = self.now;
        let records_token_times = self.callers.records_token_times;
        let caller = &mut self.callers.rows[index];
        let Some(current) = caller.current.as_mut().filter(|c| c.request == request && c.is_open)
        else {
            return;
        };
        current.text.push_str(text);
        let previous_text_at = current.last_text_at.replace(now);
        let sent_at = current.sent_at;
        if !records_token_times {
            return;
        }
        match previous_text_at {
            None => self.callers.first_token_times.push(now.since(sent_at).as_micros() as u64),
            Some(previous_text_at) => {
                let gap = now.since(previous_text_at).as_micros();
                self.callers.inter_token_gaps.push(u32::try_from(gap).unwrap_or(u32::MAX));
            }
        }
    }

    fn caller_handle_no_reply(&mut self, index: usize, request: ids::RequestId) {
        let caller = &mut self.callers.rows[index];
        let Some(current) = caller.current.as_mut().filter(|c| c.request == request && c.is_open)
        else {
            return;
        };
        current.is_open = false;
        current.only_refused = false;
        let entry = current.entry.clone();
        self.callers.by_request.remove(&request);
        let was_open =
            self.nodes.get_mut(&entry).is_some_and(|node| node.caller_texts.close(request));
        if was_open {
            let delay = self.config.deployment.client_delay;
            let incarnation = self.nodes[&entry].incarnation;
            let input = Box::new(input::Input::CallerDisconnected(request));
            self.schedule_after(
                delay,
                simulation::Event::Deliver { node: entry, incarnation, input },
            );
        }
        self.caller_retry(index, RETRY_DELAY, "no reply");
    }

    /// Retries the current call, or abandons the program after too many sends.
    pub(super) fn caller_retry(&mut self, index: usize, delay: std_time::Duration, reason: &str) {
        let caller = &mut self.callers.rows[index];
        let Some(current) = &caller.current else {
            return;
        };
        if current.sends < caller.config.max_sends {
            self.schedule_after(
                delay.max(RETRY_DELAY),
                simulation::Event::Caller(CallerEvent::Send(index)),
            );
            return;
        }
        let outcome = match current.only_refused {
            true => ProgramOutcome::NotRun(reason.to_owned()),
            false => ProgramOutcome::Unknown(reason.to_owned()),
        };
        self.caller_finish_program(index, outcome);
    }

    pub(super) fn caller_finish_program(&mut self, index: usize, outcome: ProgramOutcome) {
        let now = self.now;
        let caller = &mut self.callers.rows[index];
        if caller.outcome.is_none() {
            caller.outcome = Some(outcome);
            caller.ended_at = Some(now);
        }
        // The only step left is the call that ends the program; the outcome does not depend on it.
        caller.current = None;
        if let Some(root) = caller.frames.first_mut() {
            root.next = root.steps.len();
        }
        caller.frames.truncate(1);
        self.schedule(now, simulation::Event::Caller(CallerEvent::NextStep(index)));
    }

    fn caller_finish_frame(&mut self, index: usize) {
        let now = self.now;
        let caller = &mut self.callers.rows[index];
        let is_root = caller.frames.len() == 1;
        if is_root && caller.outcome.is_none() {
            caller.outcome = Some(ProgramOutcome::Done);
            caller.ended_at = Some(now);
        }
        let ends_programs = caller.config.ends_programs;
        let Some(frame) = caller.frames.last_mut() else {
            return;
        };
        if frame.is_ending || !ends_programs || frame.state.program.is_none() {
            caller.frames.pop();
            if !is_root {
                self.schedule(now, simulation::Event::Caller(CallerEvent::NextStep(index)));
            }
            return;
        }
        frame.is_ending = true;
        self.caller_issue(index, work::Work::EndProgram, None, false);
    }
}

/// Copies the ids and the continuation of a reply to the state of the conversation.
pub(super) fn adopt_continuation(state: &mut ConversationState, reply: &messages::Reply) {
    if let Some(continuation) = &reply.continuation {
        state.program = Some(continuation.program.clone());
        state.conversation = Some(continuation.conversation.clone());
        state.continuation = Some(continuation.clone());
    }
}

/// Returns the request for a caller's current call.
fn caller_request(caller: &Caller, request: ids::RequestId) -> input::CallerRequest {
    let end_request = input::CallerRequest {
        request,
        token_digest: Some(caller.token),
        program: None,
        parent: None,
        conversation: None,
        turn: None,
        work: work::Work::EndProgram,
        history: history::HistorySource::Full,
        time_left: Some(caller.config.deadline),
        cost_bound: None,
        idempotency_key: None,
    };
    let (Some(current), Some(frame)) = (&caller.current, caller.frames.last()) else {
        return end_request;
    };
    let state = &frame.state;
    let is_end = current.work == work::Work::EndProgram;
    let mode = if current.sends_full_history { HistoryMode::Full } else { caller.config.history };
    let history = match (mode, &state.continuation) {
        _ if is_end => history::HistorySource::Full,
        // A service call has no messages; in `Full` mode it carries the continuation instead.
        (HistoryMode::Full, Some(continuation))
            if current.expected_response.is_none() && !current.sends_full_history =>
        {
            history::HistorySource::Continuation(Box::new(continuation.clone()))
        }
        (HistoryMode::Carry, Some(continuation)) => {
            history::HistorySource::Continuation(Box::new(continuation.clone()))
        }
        (HistoryMode::Journal, _) => history::HistorySource::Journal,
        _ => history::HistorySource::Full,
    };
    let mut work = current.work.clone();
    if let (history::HistorySource::Full, work::Work::Model { messages, .. }) =
        (&history, &mut work)
    {
        *messages = state.messages.clone();
    }
    let scope = state.program.as_ref().or(state.parent.as_ref()).map(ids::ProgramId::to_string);
    let key = format!("{}-{}-{}", caller.name, scope.unwrap_or_default(), state.turn + 1);
    input::CallerRequest {
        program: state.program.clone(),
        parent: state.parent.clone().filter(|_| state.program.is_none()),
        conversation: state.conversation.clone().filter(|_| !is_end),
        turn: (!is_end).then_some(state.turn + 1),
        work,
        history,
        idempotency_key: current.is_effect.then_some(key),
        ..end_request
    }
}

impl Caller {
    /// Returns the entry instance to which its current call was sent.
    pub fn entry(&self) -> Option<String> {
        self.current.as_ref().map(|current| current.entry.clone())
    }
}

impl simulation::Simulation {
    /// Returns the node that runs the current call of a caller.
    pub fn runner_of(&self, caller: &Caller) -> Option<String> {
        let root = caller.program.as_ref()?;
        self.nodes_running(root).into_iter().next()
    }
}
