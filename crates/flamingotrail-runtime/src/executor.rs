//! Carries out what the world asks for, on the traffic thread that runs it.

use std::cell;
use std::collections;
use std::rc;

use flamingotrail_core::ids;
use flamingotrail_core::input;
use flamingotrail_core::messages;
use flamingotrail_core::output;
use flamingotrail_platform::endpoint;
use flamingotrail_platform::instance_list;
use flamingotrail_platform::log_service;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::address;
use crate::control;
use crate::links;
use crate::metrics;
use crate::relay;

/// The outside systems of this process.
pub struct Outside {
    /// The platform's log.
    pub log: Box<dyn log_service::LogService>,
    /// The platform's list.
    pub list: Box<dyn instance_list::InstanceList>,
    /// The own endpoint.
    pub endpoint: Option<Box<dyn endpoint::Endpoint>>,
}

/// Attempts on the own endpoint, each with the sender that aborts it.
type Aborts = collections::BTreeMap<ids::AttemptId, oneshot::Sender<()>>;

/// Carries out outputs; used on one thread.
#[derive(Clone)]
pub struct Executor {
    outside: rc::Rc<Outside>,
    links: links::Links,
    relay: relay::Relay,
    book: address::AddressBook,
    inlet: control::Inlet,
    metrics: metrics::Metrics,
    aborts: rc::Rc<cell::RefCell<Aborts>>,
}

impl Executor {
    /// An executor over the process's parts.
    pub fn new(
        outside: Outside,
        links: links::Links,
        relay: relay::Relay,
        book: address::AddressBook,
        inlet: control::Inlet,
        metrics: metrics::Metrics,
    ) -> Self {
        let outside = rc::Rc::new(outside);
        Executor { outside, links, relay, book, inlet, metrics, aborts: rc::Rc::default() }
    }

    /// Carries out outputs until the world has stopped.
    pub async fn run(self, mut rx: mpsc::Receiver<output::Output>) {
        while let Some(output) = rx.recv().await {
            if output == output::Output::Stopped {
                return;
            }
            self.carry_out(output);
        }
    }

    fn carry_out(&self, output: output::Output) {
        match output {
            output::Output::Send { to, envelope } => self.links.send(&to, envelope),
            output::Output::Append { .. } | output::Output::Read { .. } => self.ask_log(output),
            output::Output::FetchInstanceList => self.fetch_list(),
            output::Output::Execute { owner, dispatch, fencing_token } => {
                self.execute(owner, *dispatch, fencing_token);
            }
            output::Output::Abort(attempt) => {
                // Dropping the sender ends the run.
                self.aborts.borrow_mut().remove(&attempt);
            }
            output::Output::FetchEndpointReport => self.fetch_report(),
            output::Output::ReleaseHold { hold, fencing_token } => {
                self.release(hold, fencing_token)
            }
            output::Output::RouteText { attempt, entry, request, prefix } => {
                let so_far =
                    self.relay.attempts(|texts| texts.route(&attempt, entry, request, prefix));
                if let Some(forward) = so_far {
                    self.links.forward(forward);
                }
            }
            output::Output::UnrouteText(attempt) => {
                self.relay.attempts(|texts| texts.remove(&attempt));
            }
            output::Output::FetchPartialText(attempt) => {
                let text = self.relay.attempts(|texts| texts.partial(&attempt));
                self.inlet.deliver(input::Input::PartialText { attempt, text });
            }
            output::Output::FetchDeliveredText(request) => {
                let text = self.relay.delivered(request);
                self.inlet.deliver(input::Input::DeliveredText { request, text });
            }
            output::Output::Admitted { request, program, conversation } => {
                let event = relay::CallerEvent::Admitted { program, conversation };
                self.relay.tell(request, event);
            }
            output::Output::Respond(reply) => {
                self.relay.tell(reply.request, relay::CallerEvent::Reply(reply));
            }
            output::Output::Event(event) => self.event(&event),
            output::Output::Metric(measure) => self.measure(measure),
            output::Output::Stopped => {}
        }
    }

    fn event(&self, event: &output::Event) {
        self.metrics.events.with_label_values(&[event.name]).inc();
        log::info!("event={} about={:?} detail={:?}", event.name, event.about, event.detail);
    }

    fn measure(&self, measure: output::Metric) {
        match measure {
            output::Metric::ProgramSeconds(seconds) => {
                self.metrics.program_seconds.observe(seconds);
            }
            output::Metric::WastedCacheTokens(tokens) => {
                self.metrics.wasted_cache_tokens.inc_by(tokens);
            }
        }
    }

    fn ask_log(&self, output: output::Output) {
        let this = self.clone();
        actix_rt::spawn(async move {
            let input = match output {
                output::Output::Append { stream, entry } => {
                    let result = this.outside.log.append(&stream, &entry).await;
                    input::Input::AppendCompleted { stream, nonce: entry.nonce, result }
                }
                output::Output::Read { stream, from, wait } => {
                    let page = this.outside.log.read(&stream, from, wait).await;
                    input::Input::ReadCompleted { stream, page }
                }
                _ => return,
            };
            this.inlet.deliver(input);
        });
    }

    fn fetch_list(&self) {
        let this = self.clone();
        actix_rt::spawn(async move {
            let list = this.outside.list.fetch().await;
            let list: Option<Vec<input::ListedInstance>> =
                list.map(|rows| rows.into_iter().map(input::ListedInstance::from).collect());
            if let Some(list) = &list {
                this.book.take_list(list);
            }
            this.inlet.deliver(input::Input::InstanceList(list));
        });
    }

    fn fetch_report(&self) {
        let this = self.clone();
        actix_rt::spawn(async move {
            let report = match &this.outside.endpoint {
                Some(endpoint) => endpoint.report().await,
                None => None,
            };
            let report = report.map(input::EndpointReport::from);
            this.inlet.deliver(input::Input::EndpointReport(report));
        });
    }

    fn release(&self, hold: ids::HoldId, fence: Option<ids::FencingToken>) {
        let this = self.clone();
        actix_rt::spawn(async move {
            let confirmed = match &this.outside.endpoint {
                Some(endpoint) => endpoint.release(hold, fence).await,
                None => true,
            };
            this.inlet.deliver(input::Input::ReleaseCompleted { hold, confirmed });
        });
    }

    fn execute(
        &self,
        owner: ids::InstanceName,
        dispatch: messages::Dispatch,
        fence: Option<ids::FencingToken>,
    ) {
        let (tx, rx) = oneshot::channel();
        self.aborts.borrow_mut().insert(dispatch.attempt.clone(), tx);
        let this = self.clone();
        actix_rt::spawn(async move {
            let attempt = dispatch.attempt.clone();
            let end = this.run_attempt(&owner, &dispatch, fence, rx).await;
            this.aborts.borrow_mut().remove(&attempt);
            this.inlet.deliver(input::Input::AttemptEnded { attempt, outcome: end });
        });
    }

    async fn run_attempt(
        &self,
        owner: &ids::InstanceName,
        dispatch: &messages::Dispatch,
        fence: Option<ids::FencingToken>,
        aborted: oneshot::Receiver<()>,
    ) -> flamingotrail_core::work::AttemptOutcome {
        let broken = flamingotrail_core::work::AttemptOutcome::Broken {
            partial: String::new(),
            endpoint_crashed: false,
        };
        let Some(endpoint) = &self.outside.endpoint else {
            return broken;
        };
        let links = self.links.clone();
        let (to, attempt) = (owner.clone(), dispatch.attempt.clone());
        let mut at = 0;
        let sink: endpoint::TextSink = Box::new(move |text: &str| {
            links.send_attempt_text(&to, &attempt, at, text);
            at += text.len();
        });
        tokio::select! {
            end = endpoint.run(dispatch, fence, sink) => end,
            _ = aborted => broken,
        }
    }
}
