//! Callers on the virtual clock: they run programs, repeat what was not run, and check every
//! answer against their own view of the conversation.

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

/// Where a caller takes its history from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HistoryMode {
    /// It carries continuations.
    #[default]
    Carry,
    /// It sends all messages each time.
    Full,
    /// It relies on the journal.
    Journal,
}

/// How a caller behaves.
#[derive(Clone, Debug)]
pub struct CallerConfig {
    /// Where its history comes from.
    pub history: HistoryMode,
    /// Sendings of one call at most.
    pub max_sends: u32,
    /// Deadline of a call.
    pub deadline: std_time::Duration,
    /// Whether it ends its programs.
    pub ends_programs: bool,
    /// Whether a refused first call gives the program up.
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

/// Something that a caller does or hears.
#[derive(Clone, Debug)]
pub enum CallerEvent {
    /// It goes on with its program.
    NextStep(usize),
    /// It sends its call, again or for the first time.
    Send(usize),
    /// A reply arrives.
    Reply(usize, Box<messages::Reply>),
    /// Text arrives.
    Text(usize, ids::RequestId, String),
    /// Its connection broke, or it waited long enough.
    NoReply(usize, ids::RequestId),
}

/// How a program ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProgramOutcome {
    /// All steps were done.
    Done,
    /// A call was refused for good.
    NotRun(String),
    /// A call's outcome stayed unknown.
    Unknown(String),
}

/// One conversation as its caller sees it.
#[derive(Clone, Debug, Default)]
pub(super) struct Talk {
    pub(super) program: Option<ids::ProgramId>,
    pub(super) parent: Option<ids::ProgramId>,
    pub(super) conversation: Option<ids::ConversationId>,
    pub(super) continuation: Option<history::Continuation>,
    pub(super) turn: ids::Turn,
    pub(super) messages: Vec<history::Message>,
}

/// Steps under way: the root's, or a sub-agent's.
#[derive(Clone, Debug)]
pub(super) struct Frame {
    pub(super) steps: Vec<workload::Step>,
    pub(super) next: usize,
    pub(super) talk: Talk,
    pub(super) ending: bool,
}

/// A call under way.
#[derive(Clone, Debug)]
pub(super) struct Current {
    pub(super) request: ids::RequestId,
    pub(super) entry: String,
    pub(super) sendings: u32,
    pub(super) work: work::Work,
    pub(super) answer: Option<String>,
    pub(super) is_effect: bool,
    pub(super) text: String,
    pub(super) issued_at: time::Timestamp,
    pub(super) sent_at: time::Timestamp,
    pub(super) last_text_at: Option<time::Timestamp>,
    /// Whether every sending so far was refused.
    pub(super) only_refused: bool,
    pub(super) full: bool,
    pub(super) open: bool,
}

/// One caller with one program.
#[derive(Clone, Debug)]
pub struct Caller {
    /// Name, for scenarios.
    pub name: String,
    /// Kind of program.
    pub kind: String,
    /// Its workspace.
    pub workspace: String,
    /// When it began.
    pub started_at: time::Timestamp,
    /// When its last step ended.
    pub ended_at: Option<time::Timestamp>,
    /// How its program ended.
    pub outcome: Option<ProgramOutcome>,
    /// Time that it paused by itself.
    pub paused: std_time::Duration,
    /// Its root program.
    pub program: Option<ids::ProgramId>,
    /// Calls answered.
    pub answered: u32,
    /// Outcomes that stayed unknown.
    pub unknown: u32,
    /// Refusals by kind.
    pub refusals: collections::BTreeMap<&'static str, u32>,
    pub(super) region: String,
    pub(super) token: digest::Digest,
    pub(super) manner: CallerConfig,
    pub(super) frames: Vec<Frame>,
    pub(super) current: Option<Current>,
}

/// All callers.
#[derive(Debug, Default)]
pub struct Callers {
    /// Callers.
    pub rows: Vec<Caller>,
    pub(super) by_request: collections::BTreeMap<ids::RequestId, usize>,
    /// Time to first token of each call, in microseconds.
    pub first_token_times: Vec<u64>,
    /// Gaps between tokens, in microseconds.
    pub inter_token_gaps: Vec<u32>,
    /// Time from sending to a refusal, in microseconds.
    pub refusal_times: Vec<u64>,
    /// Time of each call that may not be repeated, in microseconds.
    pub effect_times: Vec<u64>,
    /// Whether gaps are kept.
    pub records_token_times: bool,
}

/// Least delay before a call is sent again.
pub(super) const RETRY: std_time::Duration = std_time::Duration::from_millis(200);

impl simulation::Simulation {
    /// Adds a caller that starts its program after `starts`.
    pub fn add_caller(
        &mut self,
        name: &str,
        program: &workload::Program,
        token: &str,
        manner: CallerConfig,
    ) {
        let at = self.now.after(program.starts);
        let root =
            Frame { steps: program.steps.clone(), next: 0, talk: Talk::default(), ending: false };
        let number = self.callers.rows.len();
        self.callers.rows.push(Caller {
            name: name.to_owned(),
            kind: program.kind.to_owned(),
            workspace: program.workspace.clone(),
            started_at: at,
            ended_at: None,
            outcome: None,
            paused: std_time::Duration::ZERO,
            program: None,
            answered: 0,
            unknown: 0,
            refusals: collections::BTreeMap::new(),
            region: program.region.clone(),
            token: digest::hash_token(token),
            manner,
            frames: vec![root],
            current: None,
        });
        self.schedule(at, simulation::Event::Caller(CallerEvent::NextStep(number)));
    }

    pub(super) fn take_caller_event(&mut self, event: CallerEvent) {
        match event {
            CallerEvent::NextStep(number) => self.caller_go(number),
            CallerEvent::Send(number) => self.caller_send(number),
            CallerEvent::Reply(number, reply) => self.caller_take_reply(number, *reply),
            CallerEvent::Text(number, request, text) => {
                self.caller_take_text(number, request, &text);
            }
            CallerEvent::NoReply(number, request) => self.caller_take_lost(number, request),
        }
    }

    /// Takes the caller's next step.
    fn caller_go(&mut self, number: usize) {
        let caller = &mut self.callers.rows[number];
        let Some(frame) = caller.frames.last_mut() else {
            return;
        };
        let Some(step) = frame.steps.get(frame.next).cloned() else {
            self.caller_end_frame(number);
            return;
        };
        frame.next += 1;
        match step {
            workload::Step::Pause(pause) => {
                caller.paused += pause;
                self.schedule_after(
                    pause,
                    simulation::Event::Caller(CallerEvent::NextStep(number)),
                );
            }
            workload::Step::Model { text, tokens } => self.caller_issue_model(number, text, tokens),
            workload::Step::Service { service, operation, body, repeatable } => {
                let service = ids::ServiceName::new(service);
                let work = work::Work::Service { service, operation, body };
                self.caller_issue(number, work, None, !repeatable);
            }
            workload::Step::SubAgent(steps) => {
                let parent = frame.talk.program.clone();
                let talk = Talk { parent, ..Talk::default() };
                caller.frames.push(Frame { steps, next: 0, talk, ending: false });
                self.schedule(self.now, simulation::Event::Caller(CallerEvent::NextStep(number)));
            }
        }
    }

    fn caller_issue_model(&mut self, number: usize, text: String, tokens: u32) {
        let model = ids::ModelName::new(self.config.deployment.model.as_str());
        let Some(frame) = self.callers.rows[number].frames.last_mut() else {
            return;
        };
        let message = history::Message::new(history::Role::User, text);
        frame.talk.messages.push(message.clone());
        let pairs = frame.talk.messages.iter().map(|m| (m.role.as_str(), m.content.as_str()));
        let prompt = engine::prompt_text(pairs);
        let answer = engine::answer_to(&prompt, usize::try_from(tokens).unwrap_or(0));
        let work = work::Work::Model { model, max_tokens: tokens + 8, messages: vec![message] };
        self.caller_issue(number, work, Some(answer), false);
    }

    fn caller_issue(
        &mut self,
        number: usize,
        work: work::Work,
        answer: Option<String>,
        is_effect: bool,
    ) {
        let now = self.now;
        let caller = &mut self.callers.rows[number];
        caller.current = Some(Current {
            request: ids::RequestId::default(),
            entry: String::new(),
            sendings: 0,
            work,
            answer,
            is_effect,
            text: String::new(),
            issued_at: now,
            sent_at: now,
            last_text_at: None,
            only_refused: true,
            full: false,
            open: false,
        });
        self.caller_send(number);
    }

    /// Entries in the caller's order: its own region's first.
    fn caller_entry(&self, number: usize, sending: u32) -> Option<String> {
        let region = &self.callers.rows[number].region;
        let entries = self.nodes.iter().filter(|(_, node)| node.listed.endpoint.is_none());
        let (mut near, far): (Vec<String>, Vec<String>) = entries
            .map(|(name, node)| (name.clone(), node.listed.region.as_str() == region))
            .fold((Vec::new(), Vec::new()), |(mut near, mut far), (name, is_near)| {
                if is_near {
                    near.push(name);
                } else {
                    far.push(name);
                }
                (near, far)
            });
        near.extend(far);
        let index = usize::try_from(sending).unwrap_or(0) % near.len().max(1);
        near.get(index).cloned()
    }

    fn caller_send(&mut self, number: usize) {
        let Some(sendings) = self.callers.rows[number].current.as_ref().map(|c| c.sendings) else {
            return;
        };
        let Some(entry) = self.caller_entry(number, sendings) else {
            return;
        };
        let incarnation = self.nodes[&entry].incarnation;
        self.numbers += 1;
        let request = ids::RequestId { entry: incarnation, number: self.numbers };
        let now = self.now;
        let caller = &mut self.callers.rows[number];
        let Some(current) = &mut caller.current else {
            return;
        };
        current.sendings += 1;
        current.request = request;
        current.entry = entry.clone();
        current.text.clear();
        current.sent_at = now;
        current.last_text_at = None;
        current.open = true;
        let message = caller_request(caller, request);
        let give_up = caller.manner.deadline + std_time::Duration::from_secs(2);
        self.callers.by_request.insert(request, number);
        self.schedule_after(
            give_up,
            simulation::Event::Caller(CallerEvent::NoReply(number, request)),
        );
        let Some(node) = self.nodes.get_mut(&entry).filter(|node| node.is_up()) else {
            self.schedule_after(
                RETRY,
                simulation::Event::Caller(CallerEvent::NoReply(number, request)),
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
        let Some(number) = self.callers.by_request.get(&request).copied() else {
            return;
        };
        let caller = &mut self.callers.rows[number];
        let Some(current) = caller.current.as_ref().filter(|c| c.request == request) else {
            return;
        };
        let is_model = current.answer.is_some();
        let Some(frame) = caller.frames.last() else {
            return;
        };
        let parent = frame.talk.parent.clone();
        let root = parent.map(|parent| self.checker.roots.get(&parent).cloned().unwrap_or(parent));
        let root = root.unwrap_or_else(|| program.clone());
        if root == program {
            caller.program = Some(program.clone());
        }
        self.checker.roots.insert(program, root);
        let prompt = is_model.then(|| {
            let messages = &frame.talk.messages;
            let pairs = messages.iter().map(|m| (m.role.as_str(), m.content.as_str()));
            checker::prompt_digest(&engine::prompt_text(pairs))
        });
        let key = ids::CallKey { conversation, turn: frame.talk.turn + 1 };
        self.checker.expected_calls.insert(key, checker::ExpectedCall { prompt });
    }

    pub(super) fn caller_text(&mut self, request: ids::RequestId, text: String) {
        let Some(number) = self.callers.by_request.get(&request).copied() else {
            return;
        };
        let delay = self.config.deployment.client_delay;
        self.schedule_after(
            delay,
            simulation::Event::Caller(CallerEvent::Text(number, request, text)),
        );
    }

    pub(super) fn caller_reply(&mut self, reply: messages::Reply) {
        let Some(number) = self.callers.by_request.get(&reply.request).copied() else {
            return;
        };
        let delay = self.config.deployment.client_delay;
        self.schedule_after(
            delay,
            simulation::Event::Caller(CallerEvent::Reply(number, Box::new(reply))),
        );
    }

    /// Connections to an entry that went down break.
    pub(super) fn callers_lost(&mut self, entry: &str) {
        let lost: Vec<(usize, ids::RequestId)> = self
            .callers
            .rows
            .iter()
            .enumerate()
            .filter_map(|(number, caller)| Some((number, caller.current.as_ref()?)))
            .filter(|(_, current)| current.open && current.entry == entry)
            .map(|(number, current)| (number, current.request))
            .collect();
        for (number, request) in lost {
            self.schedule_after(
                RETRY,
                simulation::Event::Caller(CallerEvent::NoReply(number, request)),
            );
        }
    }

    fn caller_take_text(&mut self, number: usize, request: ids::RequestId, text: &str) {
        let now = self.now;
        let measures = self.callers.records_token_times;
        let caller = &mut self.callers.rows[number];
        let Some(current) = caller.current.as_mut().filter(|c| c.request == request && c.open)
        else {
            return;
        };
        current.text.push_str(text);
        let before = current.last_text_at.replace(now);
        let sent_at = current.sent_at;
        if !measures {
            return;
        }
        match before {
            None => self.callers.first_token_times.push(now.since(sent_at).as_micros() as u64),
            Some(before) => {
                let gap = now.since(before).as_micros();
                self.callers.inter_token_gaps.push(u32::try_from(gap).unwrap_or(u32::MAX));
            }
        }
    }

    fn caller_take_lost(&mut self, number: usize, request: ids::RequestId) {
        let caller = &mut self.callers.rows[number];
        let Some(current) = caller.current.as_mut().filter(|c| c.request == request && c.open)
        else {
            return;
        };
        current.open = false;
        current.only_refused = false;
        let entry = current.entry.clone();
        self.callers.by_request.remove(&request);
        let closed =
            self.nodes.get_mut(&entry).is_some_and(|node| node.caller_texts.close(request));
        if closed {
            let delay = self.config.deployment.client_delay;
            let incarnation = self.nodes[&entry].incarnation;
            let input = Box::new(input::Input::CallerDisconnected(request));
            self.schedule_after(
                delay,
                simulation::Event::Deliver { node: entry, incarnation, input },
            );
        }
        self.caller_again(number, RETRY, "no answer");
    }

    /// Sends the call again, or gives the program up.
    pub(super) fn caller_again(&mut self, number: usize, wait: std_time::Duration, reason: &str) {
        let caller = &mut self.callers.rows[number];
        let Some(current) = &caller.current else {
            return;
        };
        if current.sendings < caller.manner.max_sends {
            self.schedule_after(
                wait.max(RETRY),
                simulation::Event::Caller(CallerEvent::Send(number)),
            );
            return;
        }
        let end = match current.only_refused {
            true => ProgramOutcome::NotRun(reason.to_owned()),
            false => ProgramOutcome::Unknown(reason.to_owned()),
        };
        self.caller_end(number, end);
    }

    pub(super) fn caller_end(&mut self, number: usize, end: ProgramOutcome) {
        let now = self.now;
        let caller = &mut self.callers.rows[number];
        if caller.outcome.is_none() {
            caller.outcome = Some(end);
            caller.ended_at = Some(now);
        }
        // What is left is to end the program, without waiting for it.
        caller.current = None;
        if let Some(root) = caller.frames.first_mut() {
            root.next = root.steps.len();
        }
        caller.frames.truncate(1);
        self.schedule(now, simulation::Event::Caller(CallerEvent::NextStep(number)));
    }

    fn caller_end_frame(&mut self, number: usize) {
        let now = self.now;
        let caller = &mut self.callers.rows[number];
        let is_root = caller.frames.len() == 1;
        if is_root && caller.outcome.is_none() {
            caller.outcome = Some(ProgramOutcome::Done);
            caller.ended_at = Some(now);
        }
        let ends = caller.manner.ends_programs;
        let Some(frame) = caller.frames.last_mut() else {
            return;
        };
        if frame.ending || !ends || frame.talk.program.is_none() {
            caller.frames.pop();
            if !is_root {
                self.schedule(now, simulation::Event::Caller(CallerEvent::NextStep(number)));
            }
            return;
        }
        frame.ending = true;
        self.caller_issue(number, work::Work::EndProgram, None, false);
    }
}

/// Takes over the ids and the continuation of an answer.
pub(super) fn adopt_ids(talk: &mut Talk, reply: &messages::Reply) {
    if let Some(continuation) = &reply.continuation {
        talk.program = Some(continuation.program.clone());
        talk.conversation = Some(continuation.conversation.clone());
        talk.continuation = Some(continuation.clone());
    }
}

/// The request of a caller's current call.
fn caller_request(caller: &Caller, request: ids::RequestId) -> input::CallerRequest {
    let blank = input::CallerRequest {
        request,
        token_digest: Some(caller.token),
        program: None,
        parent: None,
        conversation: None,
        turn: None,
        work: work::Work::EndProgram,
        history: history::HistorySource::Full,
        time_left: Some(caller.manner.deadline),
        cost_bound: None,
        idempotency_key: None,
    };
    let (Some(current), Some(frame)) = (&caller.current, caller.frames.last()) else {
        return blank;
    };
    let talk = &frame.talk;
    let ended = current.work == work::Work::EndProgram;
    let mode = if current.full { HistoryMode::Full } else { caller.manner.history };
    let history = match (mode, &talk.continuation) {
        _ if ended => history::HistorySource::Full,
        // A service call has no messages: who sends all of them carries the continuation instead.
        (HistoryMode::Full, Some(carried)) if current.answer.is_none() && !current.full => {
            history::HistorySource::Continuation(Box::new(carried.clone()))
        }
        (HistoryMode::Carry, Some(carried)) => {
            history::HistorySource::Continuation(Box::new(carried.clone()))
        }
        (HistoryMode::Journal, _) => history::HistorySource::Journal,
        _ => history::HistorySource::Full,
    };
    let mut work = current.work.clone();
    if let (history::HistorySource::Full, work::Work::Model { messages, .. }) =
        (&history, &mut work)
    {
        *messages = talk.messages.clone();
    }
    let scope = talk.program.as_ref().or(talk.parent.as_ref()).map(ids::ProgramId::to_string);
    let key = format!("{}-{}-{}", caller.name, scope.unwrap_or_default(), talk.turn + 1);
    input::CallerRequest {
        program: talk.program.clone(),
        parent: talk.parent.clone().filter(|_| talk.program.is_none()),
        conversation: talk.conversation.clone().filter(|_| !ended),
        turn: (!ended).then_some(talk.turn + 1),
        work,
        history,
        idempotency_key: current.is_effect.then_some(key),
        ..blank
    }
}

impl Caller {
    /// The entry that has its current call.
    pub fn entry(&self) -> Option<String> {
        self.current.as_ref().map(|current| current.entry.clone())
    }
}

impl simulation::Simulation {
    /// The node that runs the current call of a caller.
    pub fn runner_of(&self, caller: &Caller) -> Option<String> {
        let root = caller.program.as_ref()?;
        self.runs_of(root).into_iter().next()
    }
}
