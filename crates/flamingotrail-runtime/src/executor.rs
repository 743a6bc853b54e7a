//! Performs the outputs of the world on a single traffic thread.

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

/// Clients of the external systems.
pub struct ExternalSystems {
    /// The platform's log.
    pub log: Box<dyn log_service::LogService>,
    /// The platform's instance list.
    pub list: Box<dyn instance_list::InstanceList>,
    /// The local endpoint; `None` on an entry instance.
    pub endpoint: Option<Box<dyn endpoint::Endpoint>>,
}

/// Abort handles of the attempts that run on the local endpoint. Dropping a sender aborts its
/// attempt.
type AbortHandles = collections::BTreeMap<ids::AttemptId, oneshot::Sender<()>>;

/// Performs the outputs of the world. It is used on one thread, so its shared state needs no lock.
#[derive(Clone)]
pub struct Executor {
    external: rc::Rc<ExternalSystems>,
    links: links::Links,
    relay: relay::TextRelay,
    addresses: address::AddressBook,
    commands: control::CommandSender,
    metrics: metrics::Metrics,
    abort_handles: rc::Rc<cell::RefCell<AbortHandles>>,
}

impl Executor {
    /// Creates an executor that has no running attempts.
    pub fn new(
        external: ExternalSystems,
        links: links::Links,
        relay: relay::TextRelay,
        addresses: address::AddressBook,
        commands: control::CommandSender,
        metrics: metrics::Metrics,
    ) -> Self {
        let external = rc::Rc::new(external);
        Executor {
            external,
            links,
            relay,
            addresses,
            commands,
            metrics,
            abort_handles: rc::Rc::default(),
        }
    }

    /// Performs outputs until the world has stopped or the control thread has ended.
    pub async fn run(self, mut rx: mpsc::Receiver<output::Output>) {
        while let Some(output) = rx.recv().await {
            if output == output::Output::Stopped {
                return;
            }
            self.perform(output);
        }
    }

    fn perform(&self, output: output::Output) {
        match output {
            output::Output::Send { to, envelope } => self.links.send(&to, envelope),
            output::Output::Append { .. } | output::Output::Read { .. } => {
                self.spawn_log_operation(output)
            }
            output::Output::FetchInstanceList => self.fetch_instance_list(),
            output::Output::Execute { owner, dispatch, fencing_token } => {
                self.execute(owner, *dispatch, fencing_token);
            }
            output::Output::Abort(attempt) => {
                // Dropping the sender aborts the attempt.
                self.abort_handles.borrow_mut().remove(&attempt);
            }
            output::Output::FetchEndpointReport => self.fetch_endpoint_report(),
            output::Output::ReleaseHold { hold, fencing_token } => {
                self.release_hold(hold, fencing_token)
            }
            output::Output::RouteText { attempt, entry, request, prefix } => {
                let buffered = self
                    .relay
                    .with_attempt_texts(|texts| texts.route(&attempt, entry, request, prefix));
                if let Some(text) = buffered {
                    self.links.forward_text(text);
                }
            }
            output::Output::UnrouteText(attempt) => {
                self.relay.with_attempt_texts(|texts| texts.remove(&attempt));
            }
            output::Output::FetchPartialText(attempt) => {
                let text = self.relay.with_attempt_texts(|texts| texts.partial(&attempt));
                self.commands.send_input(input::Input::PartialText { attempt, text });
            }
            output::Output::FetchDeliveredText(request) => {
                let text = self.relay.delivered_text(request);
                self.commands.send_input(input::Input::DeliveredText { request, text });
            }
            output::Output::Admitted { request, program, conversation } => {
                let event = relay::CallerEvent::Admitted { program, conversation };
                self.relay.notify_caller(request, event);
            }
            output::Output::Respond(reply) => {
                self.relay.notify_caller(reply.request, relay::CallerEvent::Reply(reply));
            }
            output::Output::Event(event) => self.record_event(&event),
            output::Output::Metric(metric) => self.record_metric(metric),
            output::Output::Stopped => {}
        }
    }

    fn record_event(&self, event: &output::Event) {
        self.metrics.events.with_label_values(&[event.name]).inc();
        log::info!("event={} about={:?} detail={:?}", event.name, event.about, event.detail);
    }

    fn record_metric(&self, metric: output::Metric) {
        match metric {
            output::Metric::ProgramSeconds(seconds) => {
                self.metrics.program_seconds.observe(seconds);
            }
            output::Metric::WastedCacheTokens(tokens) => {
                self.metrics.wasted_cache_tokens.inc_by(tokens);
            }
        }
    }

    fn spawn_log_operation(&self, output: output::Output) {
        let this = self.clone();
        actix_rt::spawn(async move {
            let input = match output {
                output::Output::Append { stream, entry } => {
                    let result = this.external.log.append(&stream, &entry).await;
                    input::Input::AppendCompleted { stream, nonce: entry.nonce, result }
                }
                output::Output::Read { stream, from, wait } => {
                    let page = this.external.log.read(&stream, from, wait).await;
                    input::Input::ReadCompleted { stream, page }
                }
                _ => return,
            };
            this.commands.send_input(input);
        });
    }

    fn fetch_instance_list(&self) {
        let this = self.clone();
        actix_rt::spawn(async move {
            let list = this.external.list.fetch().await;
            let list: Option<Vec<input::ListedInstance>> =
                list.map(|rows| rows.into_iter().map(input::ListedInstance::from).collect());
            if let Some(list) = &list {
                this.addresses.update_from_list(list);
            }
            this.commands.send_input(input::Input::InstanceList(list));
        });
    }

    fn fetch_endpoint_report(&self) {
        let this = self.clone();
        actix_rt::spawn(async move {
            let report = match &this.external.endpoint {
                Some(endpoint) => endpoint.report().await,
                None => None,
            };
            let report = report.map(input::EndpointReport::from);
            this.commands.send_input(input::Input::EndpointReport(report));
        });
    }

    fn release_hold(&self, hold: ids::HoldId, fencing_token: Option<ids::FencingToken>) {
        let this = self.clone();
        actix_rt::spawn(async move {
            let confirmed = match &this.external.endpoint {
                Some(endpoint) => endpoint.release(hold, fencing_token).await,
                None => true,
            };
            this.commands.send_input(input::Input::ReleaseCompleted { hold, confirmed });
        });
    }

    fn execute(
        &self,
        owner: ids::InstanceName,
        dispatch: messages::Dispatch,
        fencing_token: Option<ids::FencingToken>,
    ) {
        let (tx, rx) = oneshot::channel();
        self.abort_handles.borrow_mut().insert(dispatch.attempt.clone(), tx);
        let this = self.clone();
        actix_rt::spawn(async move {
            let attempt = dispatch.attempt.clone();
            let outcome = this.run_attempt(&owner, &dispatch, fencing_token, rx).await;
            this.abort_handles.borrow_mut().remove(&attempt);
            this.commands.send_input(input::Input::AttemptEnded { attempt, outcome });
        });
    }

    async fn run_attempt(
        &self,
        owner: &ids::InstanceName,
        dispatch: &messages::Dispatch,
        fencing_token: Option<ids::FencingToken>,
        abort: oneshot::Receiver<()>,
    ) -> flamingotrail_core::work::AttemptOutcome {
        let broken = flamingotrail_core::work::AttemptOutcome::Broken {
            partial: String::new(),
            endpoint_crashed: false,
        };
        let Some(endpoint) = &self.external.endpoint else {
            return broken;
        };
        let links = self.links.clone();
        let (owner, attempt) = (owner.clone(), dispatch.attempt.clone());
        let mut offset = 0;
        let text_sink: endpoint::TextSink = Box::new(move |text: &str| {
            links.send_attempt_text(&owner, &attempt, offset, text);
            offset += text.len();
        });
        tokio::select! {
            outcome = endpoint.run(dispatch, fencing_token, text_sink) => outcome,
            _ = abort => broken,
        }
    }
}
