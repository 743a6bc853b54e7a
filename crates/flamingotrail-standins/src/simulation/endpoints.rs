//! Execution of attempts on the local endpoints of nodes.

use std::time as std_time;

use flamingotrail_core::errors;
use flamingotrail_core::ids;
use flamingotrail_core::input;
use flamingotrail_core::messages;
use flamingotrail_core::work;

use crate::engine;
use crate::simulation;
use crate::simulation::checker;

/// One-way delay between a node and its local endpoint.
const ENDPOINT_DELAY: std_time::Duration = std_time::Duration::from_micros(100);

/// Number of recent service calls kept for scenario steps that name the node that ran one.
const MAX_RECENT_SERVICE_CALLS: usize = 64;

/// A running model call.
#[derive(Clone, Debug)]
pub struct EngineCall {
    node: String,
    incarnation: ids::Incarnation,
    owner: String,
    endpoint: String,
    attempt: ids::AttemptId,
    text: String,
    root: ids::ProgramId,
    prompt_tokens: u64,
}

/// A service call on its way to its service.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    node: String,
    incarnation: ids::Incarnation,
    attempt: ids::AttemptId,
    dispatch: Box<messages::Dispatch>,
}

impl simulation::Simulation {
    /// Starts an attempt on the local endpoint of the node `name`.
    pub(super) fn execute(
        &mut self,
        name: &str,
        owner: &ids::InstanceName,
        dispatch: Box<messages::Dispatch>,
    ) {
        let Some(node) = self.nodes.get(name) else {
            return;
        };
        let incarnation = node.incarnation;
        let endpoint = node.listed.endpoint.clone().map(|e| e.to_string()).unwrap_or_default();
        self.check_not_leaving(name);
        if let messages::Job::Service { .. } = &dispatch.job {
            let attempt = dispatch.attempt.clone();
            let call = ServiceCall { node: name.to_owned(), incarnation, attempt, dispatch };
            self.schedule_after(ENDPOINT_DELAY, simulation::Event::ServiceCall(call));
            return;
        }
        self.start_engine_call(name, incarnation, &endpoint, owner, &dispatch);
    }

    fn start_engine_call(
        &mut self,
        name: &str,
        incarnation: ids::Incarnation,
        endpoint: &str,
        owner: &ids::InstanceName,
        dispatch: &messages::Dispatch,
    ) {
        let messages::Job::Model { messages, prefix, max_tokens, hold, .. } = &dispatch.job else {
            return;
        };
        let pairs = messages.iter().map(|m| (m.role.as_str(), m.content.as_str()));
        let prompt = engine::prompt_text(pairs);
        self.last_number += 1;
        let id = self.last_number;
        let root = self.root_of(&dispatch.program);
        let tag = root.key;
        let call = engine::Call {
            id,
            prompt: prompt.clone(),
            prefix: prefix.clone(),
            max_tokens: *max_tokens,
            hold: hold.map(|terms| terms.id.0),
            tag,
        };
        let prompt_tokens = (prompt.len() + prefix.len()).div_ceil(4) as u64;
        let now = self.now;
        let Some(engine) = self.engines.get_mut(endpoint) else {
            return;
        };
        let is_up = engine.is_up(now);
        if !engine.start(now, call) {
            let refusal = match is_up {
                true => errors::Refusal::Overloaded { retry_after: std_time::Duration::ZERO },
                false => errors::Refusal::NoEndpoint(endpoint.to_owned()),
            };
            let outcome = work::AttemptOutcome::NotRun(refusal);
            self.end_attempt(name, incarnation, dispatch.attempt.clone(), outcome);
            return;
        }
        self.observe_call_start(
            &dispatch.attempt,
            &dispatch.program,
            endpoint,
            Some(&prompt),
            true,
        );
        let engine_call = EngineCall {
            node: name.to_owned(),
            incarnation,
            owner: owner.to_string(),
            endpoint: endpoint.to_owned(),
            attempt: dispatch.attempt.clone(),
            text: String::new(),
            root,
            prompt_tokens,
        };
        self.engine_calls.insert(id, engine_call);
        self.schedule_engine(endpoint);
    }

    fn schedule_engine(&mut self, endpoint: &str) {
        let Some(next) = self.engines.get(endpoint).and_then(engine::FakeEngine::next_event) else {
            return;
        };
        if self.engine_due.get(endpoint).is_some_and(|due| *due == next) {
            return;
        }
        self.engine_due.insert(endpoint.to_owned(), next);
        self.schedule(next, simulation::Event::AdvanceEngine { endpoint: endpoint.to_owned() });
    }

    pub(super) fn advance_engine(&mut self, endpoint: &str) {
        let now = self.now;
        let Some(engine) = self.engines.get_mut(endpoint) else {
            return;
        };
        let crashes = engine.crashes;
        let events = engine.advance(now);
        if engine.crashes > crashes {
            self.observe(checker::Observation::EngineCrashed { endpoint: endpoint.to_owned() });
        }
        self.handle_engine_events(events);
        self.schedule_engine(endpoint);
    }

    /// Returns the nodes that run model calls of a root program, then those of its recent service
    /// calls, newest first.
    pub(super) fn nodes_running(&self, root: &ids::ProgramId) -> Vec<String> {
        let calls = self.engine_calls.values().filter(|call| call.root == *root);
        let mut nodes: Vec<String> = calls.map(|call| call.node.clone()).collect();
        nodes.extend(
            self.recent_service_calls
                .iter()
                .rev()
                .filter(|(program, _)| program == root)
                .map(|(_, node)| node.clone()),
        );
        nodes
    }

    /// Crashes an engine.
    pub fn crash_engine(&mut self, endpoint: &str) {
        self.add_trace(|| format!("crash engine {endpoint}"));
        let now = self.now;
        let Some(engine) = self.engines.get_mut(endpoint) else {
            return;
        };
        let events = engine.crash(now);
        self.handle_engine_events(events);
    }

    fn handle_engine_events(&mut self, events: Vec<engine::EngineEvent>) {
        for event in events {
            match event {
                engine::EngineEvent::Text { id, text } => self.handle_engine_text(id, text),
                engine::EngineEvent::Done {
                    id,
                    prompt_tokens,
                    cached_tokens,
                    completion_tokens,
                    hit_token_limit,
                } => {
                    let usage = work::Usage { prompt_tokens, cached_tokens, completion_tokens };
                    self.finish_engine_call(id, usage, hit_token_limit);
                }
                engine::EngineEvent::Broken { id } => self.fail_engine_call(id, true),
            }
        }
    }

    fn handle_engine_text(&mut self, id: u64, text: String) {
        let Some(call) = self.engine_calls.get_mut(&id) else {
            return;
        };
        let at = call.text.len();
        call.text.push_str(&text);
        let (node, owner, attempt) = (call.node.clone(), call.owner.clone(), call.attempt.clone());
        if self.is_unresponsive(&node) || self.network.is_cut(&node, &owner) {
            return;
        }
        let delay = match node == owner {
            true => std_time::Duration::ZERO,
            false => self.network.delay(&node, &owner),
        };
        if node != owner && self.network.is_cross_region(&node, &owner) {
            self.network.cross_region_bytes += text.len() as u64;
        }
        self.schedule_after(
            delay,
            simulation::Event::AttemptText { node: owner, attempt, at, text },
        );
    }

    fn finish_engine_call(&mut self, id: u64, usage: work::Usage, hit_token_limit: bool) {
        let Some(call) = self.engine_calls.remove(&id) else {
            return;
        };
        self.checker.record_recomputed_tokens(&call.attempt.call.conversation, &usage);
        let tokens = u64::from(usage.prompt_tokens) + u64::from(usage.completion_tokens);
        self.charge(&call.root, tokens);
        let finish =
            if hit_token_limit { work::FinishReason::Length } else { work::FinishReason::Stop };
        let response = work::Response { text: call.text, status: 200, usage, finish };
        let outcome = work::AttemptOutcome::Answered(response);
        self.end_attempt(&call.node, call.incarnation, call.attempt, outcome);
    }

    fn fail_engine_call(&mut self, id: u64, endpoint_crashed: bool) {
        let Some(call) = self.engine_calls.remove(&id) else {
            return;
        };
        let generated = (call.text.len() / crate::prefix_cache::TOKEN_BYTES) as u64;
        self.charge(&call.root, call.prompt_tokens + generated);
        let outcome = work::AttemptOutcome::Broken { partial: call.text, endpoint_crashed };
        self.end_attempt(&call.node, call.incarnation, call.attempt, outcome);
    }

    fn end_attempt(
        &mut self,
        node: &str,
        incarnation: ids::Incarnation,
        attempt: ids::AttemptId,
        outcome: work::AttemptOutcome,
    ) {
        let input = Box::new(input::Input::AttemptEnded { attempt, outcome });
        self.schedule_after(
            ENDPOINT_DELAY,
            simulation::Event::Deliver { node: node.to_owned(), incarnation, input },
        );
    }

    /// Aborts a running attempt.
    pub(super) fn abort(&mut self, name: &str, attempt: &ids::AttemptId) {
        let found = self
            .engine_calls
            .iter()
            .find(|(_, call)| call.node == name && call.attempt == *attempt);
        let Some((id, endpoint)) = found.map(|(id, call)| (*id, call.endpoint.clone())) else {
            // A service call can't be aborted; it is reported as broken because it may have run.
            let incarnation = self.nodes.get(name).map(|node| node.incarnation);
            let outcome =
                work::AttemptOutcome::Broken { partial: String::new(), endpoint_crashed: false };
            self.end_attempt(name, incarnation.unwrap_or_default(), attempt.clone(), outcome);
            return;
        };
        if let Some(engine) = self.engines.get_mut(&endpoint) {
            engine.abort(id);
        }
        self.fail_engine_call(id, false);
    }

    /// Ends the engine calls of a killed node: its connections break, so the engine aborts them.
    pub(super) fn drop_calls_of(&mut self, name: &str) {
        let calls: Vec<(u64, String)> = self
            .engine_calls
            .iter()
            .filter(|(_, call)| call.node == name)
            .map(|(id, call)| (*id, call.endpoint.clone()))
            .collect();
        for (id, endpoint) in calls {
            if let Some(engine) = self.engines.get_mut(&endpoint) {
                engine.abort(id);
            }
            if let Some(call) = self.engine_calls.remove(&id) {
                let generated = (call.text.len() / crate::prefix_cache::TOKEN_BYTES) as u64;
                self.charge(&call.root, call.prompt_tokens + generated);
            }
        }
    }

    pub(super) fn run_service_call(&mut self, call: ServiceCall) {
        let messages::Job::Service { service, operation, body, timeout, .. } = &call.dispatch.job
        else {
            return;
        };
        let endpoint = call.node.clone();
        let repeatable = self.is_repeatable(service);
        self.observe_call_start(&call.attempt, &call.dispatch.program, &endpoint, None, repeatable);
        let root = self.root_of(&call.dispatch.program);
        let price = self.checker.service_price;
        self.charge(&root, price);
        self.recent_service_calls.push_back((root, call.node.clone()));
        if self.recent_service_calls.len() > MAX_RECENT_SERVICE_CALLS {
            self.recent_service_calls.pop_front();
        }
        let response_text = self.service.execute(operation, body);
        self.check_single_execution(service, operation, body);
        let time_limit = (*timeout).min(call.dispatch.time_left);
        let (delay, outcome) = match response_text {
            Some(text) => {
                let usage = work::Usage::default();
                let response =
                    work::Response { text, status: 200, usage, finish: work::FinishReason::Stop };
                (self.service.latency, work::AttemptOutcome::Answered(response))
            }
            None => {
                let partial = String::new();
                (time_limit, work::AttemptOutcome::Broken { partial, endpoint_crashed: false })
            }
        };
        let input = Box::new(input::Input::AttemptEnded { attempt: call.attempt, outcome });
        let incarnation = call.incarnation;
        self.schedule_after(
            delay,
            simulation::Event::Deliver { node: call.node, incarnation, input },
        );
    }

    /// Returns whether a node is down or paused, so that it relays nothing.
    pub(super) fn is_unresponsive(&self, name: &str) -> bool {
        self.nodes.get(name).is_none_or(|node| !node.is_up() || node.held_inputs.is_some())
    }

    pub(super) fn handle_attempt_text(
        &mut self,
        name: &str,
        attempt: &ids::AttemptId,
        at: usize,
        text: &str,
    ) {
        if self.is_unresponsive(name) {
            return;
        }
        let Some(node) = self.nodes.get_mut(name) else {
            return;
        };
        if let Some(forward) = node.attempt_texts.append(attempt, at, text) {
            self.forward_text(name, forward);
        }
    }

    /// Sends a chunk of text to an entry instance.
    pub(super) fn forward_text(
        &mut self,
        from: &str,
        forward: flamingotrail_core::relay::ForwardedText,
    ) {
        let to = forward.entry.to_string();
        if self.network.is_cut(from, &to) {
            return;
        }
        let delay = self.network.delay(from, &to);
        if self.network.is_cross_region(from, &to) {
            self.network.cross_region_bytes += forward.text.len() as u64;
        }
        let (request, at, text) = (forward.request, forward.at, forward.text);
        self.schedule_after(delay, simulation::Event::EntryText { node: to, request, at, text });
    }

    pub(super) fn handle_entry_text(
        &mut self,
        name: &str,
        request: ids::RequestId,
        at: usize,
        text: &str,
    ) {
        if self.is_unresponsive(name) {
            return;
        }
        let Some(node) = self.nodes.get_mut(name) else {
            return;
        };
        if let Some(new_text) = node.caller_texts.append(request, at, text) {
            self.deliver_text_to_caller(request, new_text);
        }
    }
}

impl EngineCall {
    /// Returns whether the node `name` runs the call.
    pub(super) fn runs_on(&self, name: &str) -> bool {
        self.node == name
    }
}
