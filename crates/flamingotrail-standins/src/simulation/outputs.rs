//! Processing of the outputs of a node's world.

use std::time as std_time;

use flamingotrail_core::input;
use flamingotrail_core::messages;
use flamingotrail_core::output;

use crate::simulation;
use crate::simulation::log_ops;

/// Time after which a sender learns that a peer is unreachable.
const DISCONNECT_DELAY: std_time::Duration = std_time::Duration::from_millis(800);
/// One-way delay between a node and the platform's instance list.
const LIST_DELAY: std_time::Duration = std_time::Duration::from_millis(2);
/// Delay of a request to the local endpoint of a node.
const ENDPOINT_DELAY: std_time::Duration = std_time::Duration::from_micros(200);

impl simulation::Simulation {
    pub(super) fn process_outputs(&mut self, name: &str, outputs: Vec<output::Output>) {
        for output in outputs {
            self.process_output(name, output);
        }
    }

    fn process_output(&mut self, name: &str, output: output::Output) {
        let Some(incarnation) = self.nodes.get(name).map(|node| node.incarnation) else {
            return;
        };
        let delivery = |input: input::Input| simulation::Event::Deliver {
            node: name.to_owned(),
            incarnation,
            input: Box::new(input),
        };
        match output {
            output::Output::Send { to, envelope } => self.send(name, to.as_str(), envelope),
            output::Output::Append { stream, entry } => {
                let event = simulation::Event::Append {
                    node: name.to_owned(),
                    incarnation,
                    stream,
                    entry: Box::new(entry),
                    late: false,
                };
                self.schedule_after(self.config.log_delay, event);
            }
            output::Output::Read { stream, from, wait } => {
                let until = self.now.after(wait);
                let node = name.to_owned();
                let read = log_ops::Read { node, incarnation, stream, from, until };
                self.schedule_after(self.config.log_delay, simulation::Event::Read(read));
            }
            output::Output::FetchInstanceList => {
                let list = self.list.fetch(self.now);
                self.schedule_after(LIST_DELAY, delivery(input::Input::InstanceList(list)));
            }
            output::Output::Execute { owner, dispatch, .. } => {
                self.execute(name, &owner, dispatch);
            }
            output::Output::Abort(attempt) => self.abort(name, &attempt),
            output::Output::FetchEndpointReport => {
                let report = self.endpoint_report(name);
                self.schedule_after(ENDPOINT_DELAY, delivery(input::Input::EndpointReport(report)));
            }
            output::Output::ReleaseHold { hold, fencing_token } => {
                let confirmed = self.release_hold(name, hold.0, fencing_token.map(|token| token.0));
                self.schedule_after(
                    ENDPOINT_DELAY,
                    delivery(input::Input::ReleaseCompleted { hold, confirmed }),
                );
            }
            output::Output::RouteText { attempt, entry, request, prefix } => {
                let Some(node) = self.nodes.get_mut(name) else {
                    return;
                };
                if let Some(forward) = node.attempt_texts.route(&attempt, entry, request, prefix) {
                    self.forward_text(name, forward);
                }
            }
            output::Output::UnrouteText(attempt) => {
                if let Some(node) = self.nodes.get_mut(name) {
                    node.attempt_texts.remove(&attempt);
                }
            }
            output::Output::FetchPartialText(attempt) => {
                let text = self.nodes.get(name).map(|node| node.attempt_texts.partial(&attempt));
                let text = text.unwrap_or_default();
                self.schedule(self.now, delivery(input::Input::PartialText { attempt, text }));
            }
            output::Output::FetchDeliveredText(request) => {
                let text = self.nodes.get(name).map(|node| node.caller_texts.delivered(request));
                let text = text.unwrap_or_default();
                self.schedule(self.now, delivery(input::Input::DeliveredText { request, text }));
            }
            output::Output::Admitted { request, program, conversation } => {
                self.caller_admitted(request, program, conversation);
            }
            output::Output::Respond(reply) => {
                if let Some(node) = self.nodes.get_mut(name) {
                    node.caller_texts.close(reply.request);
                }
                self.deliver_reply_to_caller(*reply);
            }
            output::Output::Event(event) => {
                self.add_trace(|| {
                    format!("{name}: {} {} {}", event.name, event.about, event.detail)
                });
            }
            output::Output::Metric(_) => {}
            output::Output::Stopped => {
                self.add_trace(|| format!("{name} stopped"));
                self.handle_stopped(name);
            }
        }
    }

    /// Handles a node that stopped by itself after a drain.
    fn handle_stopped(&mut self, name: &str) {
        let running = self.running_engine_calls(name);
        if running > 0 {
            self.add_violation(format!("{name} stopped with {running} calls in progress"));
        }
        if let Some(node) = self.nodes.get_mut(name) {
            node.world = None;
        }
        self.list.update(self.now, |rows| {
            rows.remove(name);
        });
        self.disconnect_callers(name);
    }

    fn running_engine_calls(&self, name: &str) -> usize {
        self.engine_calls.values().filter(|call| call.runs_on(name)).count()
    }

    fn send(&mut self, from: &str, to: &str, envelope: messages::Envelope) {
        self.add_trace(|| format!("{from} -> {to}: {}", envelope.message.kind()));
        let is_cut = self.network.is_cut(from, to);
        let is_down = self.nodes.get(to).is_none_or(|node| !node.is_up());
        let sender = flamingotrail_core::ids::InstanceName::new(from);
        if is_cut || is_down {
            let unreachable = flamingotrail_core::ids::InstanceName::new(to);
            let incarnation = self.nodes.get(from).map(|node| node.incarnation);
            let event = simulation::Event::Deliver {
                node: from.to_owned(),
                incarnation: incarnation.unwrap_or_default(),
                input: Box::new(input::Input::PeerDisconnected(unreachable)),
            };
            self.schedule_after(DISCONNECT_DELAY, event);
            return;
        }
        let delays = self.network.delivery_delays(&mut self.rng, from, to);
        let Some(incarnation) = self.nodes.get(to).map(|node| node.incarnation) else {
            return;
        };
        for delay in delays {
            let envelope = envelope.clone();
            let input = Box::new(input::Input::PeerMessage { from: sender.clone(), envelope });
            self.schedule_after(
                delay,
                simulation::Event::Deliver { node: to.to_owned(), incarnation, input },
            );
        }
    }

    fn endpoint_report(&mut self, name: &str) -> Option<input::EndpointReport> {
        let now = self.now;
        let endpoint = self.nodes.get(name)?.listed.endpoint.clone()?;
        let Some(engine) = self.engines.get_mut(endpoint.as_str()) else {
            let report = input::EndpointReport {
                running: 0,
                prefill_rate: 1.0,
                pressure: 0.0,
                holds: Vec::new(),
            };
            return Some(report);
        };
        let report = engine.report(now)?;
        Some(input::EndpointReport {
            running: report.running,
            prefill_rate: report.prefill_rate,
            pressure: report.pressure,
            holds: report.holds.into_iter().map(flamingotrail_core::ids::HoldId).collect(),
        })
    }

    fn release_hold(&mut self, name: &str, hold: u64, fencing_token: Option<u64>) -> bool {
        let endpoint = self.nodes.get(name).and_then(|node| node.listed.endpoint.clone());
        let Some(endpoint) = endpoint else {
            return true;
        };
        let now = self.now;
        match self.engines.get_mut(endpoint.as_str()) {
            Some(engine) if engine.is_up(now) => engine.release(hold, fencing_token),
            Some(_) => false,
            None => true,
        }
    }
}
