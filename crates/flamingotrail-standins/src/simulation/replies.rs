//! What callers make of replies: answers checked against their own view, refusals against what ran.

use flamingotrail_core::errors;
use flamingotrail_core::history;
use flamingotrail_core::ids;
use flamingotrail_core::messages;
use flamingotrail_core::work;

use crate::simulation;
use crate::simulation::callers;
use crate::simulation::checker;

impl simulation::Simulation {
    pub(super) fn caller_take_reply(&mut self, number: usize, reply: messages::Reply) {
        let caller = &mut self.callers.rows[number];
        let Some(current) =
            caller.current.as_mut().filter(|c| c.request == reply.request && c.open)
        else {
            return;
        };
        current.open = false;
        self.callers.by_request.remove(&reply.request);
        match reply.outcome.clone() {
            work::Outcome::Done(answer) => self.caller_done(number, &reply, answer),
            work::Outcome::NotRun(refusal) => self.caller_refused(number, &refusal),
            work::Outcome::Unknown(doubt) => self.caller_in_doubt(number, &reply, doubt.kind()),
        }
    }

    fn caller_done(&mut self, number: usize, reply: &messages::Reply, answer: work::Response) {
        let now = self.now;
        let caller = &mut self.callers.rows[number];
        let Some(current) = caller.current.take() else {
            return;
        };
        let Some(frame) = caller.frames.last_mut() else {
            return;
        };
        if current.work == work::Work::EndProgram {
            self.schedule(now, simulation::Event::Caller(callers::CallerEvent::NextStep(number)));
            return;
        }
        caller.answered += 1;
        let (name, answered) = (caller.name.clone(), caller.answered);
        frame.talk.turn += 1;
        callers::adopt_ids(&mut frame.talk, reply);
        let turn = frame.talk.turn;
        if let Some(expected) = &current.answer {
            let assistant = history::Message::new(history::Role::Assistant, expected.as_str());
            frame.talk.messages.push(assistant);
        }
        if current.is_effect {
            let micros = now.since(current.issued_at).as_micros() as u64;
            self.callers.effect_times.push(micros);
        }
        self.check_answer(&name, turn, &current, reply, &answer);
        self.observe(checker::Observation::CallAnswered { caller: name, calls: answered });
        self.schedule(now, simulation::Event::Caller(callers::CallerEvent::NextStep(number)));
    }

    fn check_answer(
        &mut self,
        name: &str,
        turn: ids::Turn,
        current: &callers::Current,
        reply: &messages::Reply,
        answer: &work::Response,
    ) {
        if reply.turn != turn {
            self.add_violation(format!("{name}: answer of turn {} for turn {turn}", reply.turn));
        }
        if let Some(expected) = &current.answer {
            if answer.text != *expected {
                let (got, want) = (answer.text.len(), expected.len());
                self.add_violation(format!(
                    "{name} turn {turn}: {got} bytes that differ from {want}"
                ));
            }
            if !answer.text.starts_with(&current.text) {
                self.add_violation(format!(
                    "{name} turn {turn}: streamed text is not in the answer"
                ));
            }
        } else if let work::Work::Service { operation, .. } = &current.work {
            if !answer.text.contains(operation.as_str()) {
                self.add_violation(format!("{name} turn {turn}: the answer of another call"));
            }
        }
        if current.is_effect && self.executions(&current.work) != 1 {
            let count = self.executions(&current.work);
            self.add_violation(format!("{name} turn {turn}: told done, ran {count} times"));
        }
    }

    fn executions(&self, work: &work::Work) -> u32 {
        let work::Work::Service { operation, body, .. } = work else {
            return 0;
        };
        let key = (operation.clone(), body.clone());
        self.tools.executions.get(&key).copied().unwrap_or(0)
    }

    fn caller_refused(&mut self, number: usize, refusal: &errors::Refusal) {
        let now = self.now;
        self.check_not_run(number, refusal);
        let caller = &mut self.callers.rows[number];
        *caller.refusals.entry(refusal.kind()).or_default() += 1;
        let Some(current) = &mut caller.current else {
            return;
        };
        let micros = now.since(current.sent_at).as_micros() as u64;
        self.callers.refusal_times.push(micros);
        if matches!(refusal, errors::Refusal::HistoryIncomplete(_)) {
            current.full = true;
        }
        let first = caller.answered == 0;
        let overloaded = matches!(refusal, errors::Refusal::Overloaded { .. });
        let gives_up = caller.manner.abandons_if_overloaded && first && overloaded;
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
        if is_final || gives_up {
            let end = match current.only_refused {
                true => callers::ProgramOutcome::NotRun(refusal.kind().to_owned()),
                false => callers::ProgramOutcome::Unknown(refusal.kind().to_owned()),
            };
            self.caller_end(number, end);
            return;
        }
        let wait = refusal.retry_after().unwrap_or(callers::RETRY);
        self.caller_again(number, wait, refusal.kind());
    }

    /// When a call is refused and said to be not run, it truly was not run.
    fn check_not_run(&mut self, number: usize, refusal: &errors::Refusal) {
        let caller = &self.callers.rows[number];
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
            self.add_violation(format!("{name}: told not run ({}), yet it ran", refusal.kind()));
            return;
        }
        let conversation = frame.talk.conversation.clone();
        let turn = frame.talk.turn + 1;
        let started = conversation.is_some_and(|conversation| {
            let key = ids::CallKey { conversation, turn };
            self.checker.call_starts.contains_key(&key)
        });
        if started {
            self.add_violation(format!(
                "{name}: told not run ({}), yet it started",
                refusal.kind()
            ));
        }
    }

    fn caller_in_doubt(&mut self, number: usize, reply: &messages::Reply, doubt: &str) {
        let caller = &mut self.callers.rows[number];
        let Some(current) = &mut caller.current else {
            return;
        };
        current.only_refused = false;
        if !current.is_effect {
            self.caller_again(number, callers::RETRY, doubt);
            return;
        }
        // The outcome of a call that may not be repeated stays unknown; its turn is used up.
        caller.unknown += 1;
        caller.answered += 1;
        caller.current = None;
        let (name, answered) = (caller.name.clone(), caller.answered);
        if let Some(frame) = caller.frames.last_mut() {
            frame.talk.turn += 1;
            callers::adopt_ids(&mut frame.talk, reply);
        }
        self.observe(checker::Observation::CallAnswered { caller: name, calls: answered });
        self.schedule(self.now, simulation::Event::Caller(callers::CallerEvent::NextStep(number)));
    }
}
