//! Handling of replies by callers: responses are checked against the caller's copy of the
//! conversation, refusals against what was executed.

use flamingotrail_core::errors;
use flamingotrail_core::history;
use flamingotrail_core::ids;
use flamingotrail_core::messages;
use flamingotrail_core::work;

use crate::simulation;
use crate::simulation::callers;
use crate::simulation::checker;

impl simulation::Simulation {
    pub(super) fn caller_handle_reply(&mut self, index: usize, reply: messages::Reply) {
        let caller = &mut self.callers.rows[index];
        let Some(current) =
            caller.current.as_mut().filter(|c| c.request == reply.request && c.is_open)
        else {
            return;
        };
        current.is_open = false;
        self.callers.by_request.remove(&reply.request);
        match reply.outcome.clone() {
            work::Outcome::Done(response) => self.caller_completed(index, &reply, response),
            work::Outcome::NotRun(refusal) => self.caller_refused(index, &refusal),
            work::Outcome::Unknown(reason) => {
                self.caller_outcome_unknown(index, &reply, reason.kind())
            }
        }
    }

    fn caller_completed(
        &mut self,
        index: usize,
        reply: &messages::Reply,
        response: work::Response,
    ) {
        let now = self.now;
        let caller = &mut self.callers.rows[index];
        let Some(current) = caller.current.take() else {
            return;
        };
        let Some(frame) = caller.frames.last_mut() else {
            return;
        };
        if current.work == work::Work::EndProgram {
            self.schedule(now, simulation::Event::Caller(callers::CallerEvent::NextStep(index)));
            return;
        }
        caller.completed_calls += 1;
        let (name, completed_calls) = (caller.name.clone(), caller.completed_calls);
        frame.state.turn += 1;
        callers::adopt_continuation(&mut frame.state, reply);
        let turn = frame.state.turn;
        if let Some(expected) = &current.expected_response {
            let assistant = history::Message::new(history::Role::Assistant, expected.as_str());
            frame.state.messages.push(assistant);
        }
        if current.is_effect {
            let micros = now.since(current.issued_at).as_micros() as u64;
            self.callers.effect_times.push(micros);
        }
        self.check_response(&name, turn, &current, reply, &response);
        self.observe(checker::Observation::CallCompleted { caller: name, calls: completed_calls });
        self.schedule(now, simulation::Event::Caller(callers::CallerEvent::NextStep(index)));
    }

    fn check_response(
        &mut self,
        name: &str,
        turn: ids::Turn,
        current: &callers::CurrentCall,
        reply: &messages::Reply,
        response: &work::Response,
    ) {
        if reply.turn != turn {
            self.add_violation(format!("{name}: reply to turn {turn} carries turn {}", reply.turn));
        }
        if let Some(expected) = &current.expected_response {
            if response.text != *expected {
                let (actual, expected) = (response.text.len(), expected.len());
                self.add_violation(format!(
                    "{name} turn {turn}: response of {actual} bytes differs from the {expected} bytes \
                     expected"
                ));
            }
            if !response.text.starts_with(&current.text) {
                self.add_violation(format!(
                    "{name} turn {turn}: streamed text is not a prefix of the response"
                ));
            }
        } else if let work::Work::Service { operation, .. } = &current.work {
            if !response.text.contains(operation.as_str()) {
                self.add_violation(format!("{name} turn {turn}: response belongs to another call"));
            }
        }
        if current.is_effect && self.executions(&current.work) != 1 {
            let count = self.executions(&current.work);
            self.add_violation(format!(
                "{name} turn {turn}: reported as done but executed {count} times"
            ));
        }
    }

    fn executions(&self, work: &work::Work) -> u32 {
        let work::Work::Service { operation, body, .. } = work else {
            return 0;
        };
        let key = (operation.clone(), body.clone());
        self.service.executions.get(&key).copied().unwrap_or(0)
    }

    fn caller_refused(&mut self, index: usize, refusal: &errors::Refusal) {
        let now = self.now;
        self.check_not_run(index, refusal);
        let caller = &mut self.callers.rows[index];
        *caller.refusals.entry(refusal.kind()).or_default() += 1;
        let Some(current) = &mut caller.current else {
            return;
        };
        let micros = now.since(current.sent_at).as_micros() as u64;
        self.callers.refusal_times.push(micros);
        if matches!(refusal, errors::Refusal::HistoryIncomplete(_)) {
            current.sends_full_history = true;
        }
        let is_first_call = caller.completed_calls == 0;
        let is_overloaded = matches!(refusal, errors::Refusal::Overloaded { .. });
        let must_abandon = caller.config.abandons_if_overloaded && is_first_call && is_overloaded;
        let is_final = matches!(
            refusal,
            errors::Refusal::BudgetSpent { .. }
                | errors::Refusal::TurnLimit { .. }
                | errors::Refusal::Quarantined
                | errors::Refusal::ProgramEnded(_)
                | errors::Refusal::UnknownProgram(_)
                | errors::Refusal::BadContinuation(_)
                | errors::Refusal::HistoryContradicts(_)
                | errors::Refusal::KeyReused { .. }
        );
        if is_final || must_abandon {
            let outcome = match current.only_refused {
                true => callers::ProgramOutcome::NotRun(refusal.kind().to_owned()),
                false => callers::ProgramOutcome::Unknown(refusal.kind().to_owned()),
            };
            self.caller_finish_program(index, outcome);
            return;
        }
        let delay = refusal.retry_after().unwrap_or(callers::RETRY_DELAY);
        self.caller_retry(index, delay, refusal.kind());
    }

    /// Checks that a call whose sends were all refused was never executed.
    fn check_not_run(&mut self, index: usize, refusal: &errors::Refusal) {
        let caller = &self.callers.rows[index];
        let Some(current) = caller.current.as_ref().filter(|c| c.only_refused) else {
            return;
        };
        if current.work == work::Work::EndProgram {
            return;
        }
        let name = caller.name.clone();
        let Some(frame) = caller.frames.last() else {
            return;
        };
        if current.is_effect && self.executions(&current.work) > 0 {
            self.add_violation(format!(
                "{name}: reported as not run ({}) but executed",
                refusal.kind()
            ));
            return;
        }
        let conversation = frame.state.conversation.clone();
        let turn = frame.state.turn + 1;
        let has_started = conversation.is_some_and(|conversation| {
            let key = ids::CallKey { conversation, turn };
            self.checker.call_starts.contains_key(&key)
        });
        if has_started {
            self.add_violation(format!(
                "{name}: reported as not run ({}) but started",
                refusal.kind()
            ));
        }
    }

    fn caller_outcome_unknown(&mut self, index: usize, reply: &messages::Reply, reason: &str) {
        let caller = &mut self.callers.rows[index];
        let Some(current) = &mut caller.current else {
            return;
        };
        current.only_refused = false;
        if !current.is_effect {
            self.caller_retry(index, callers::RETRY_DELAY, reason);
            return;
        }
        // The call may not be repeated, so its outcome stays unknown. Its turn is consumed.
        caller.unknown += 1;
        caller.completed_calls += 1;
        caller.current = None;
        let (name, completed_calls) = (caller.name.clone(), caller.completed_calls);
        if let Some(frame) = caller.frames.last_mut() {
            frame.state.turn += 1;
            callers::adopt_continuation(&mut frame.state, reply);
        }
        self.observe(checker::Observation::CallCompleted { caller: name, calls: completed_calls });
        self.schedule(self.now, simulation::Event::Caller(callers::CallerEvent::NextStep(index)));
    }
}
