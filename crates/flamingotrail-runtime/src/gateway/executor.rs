//! Executes the control thread's outputs on the traffic thread.

use std::rc;
use std::time;

use flamingotrail_adapter::store;
use flamingotrail_gateway::ids;
use flamingotrail_gateway::input;
use flamingotrail_gateway::journal;
use flamingotrail_gateway::output;
use tokio::sync::mpsc;
use tokio::sync::watch;

use crate::connections;
use crate::gateway::attempts;
use crate::gateway::callers;
use crate::gateway::control;
use crate::gateway::event_lines;
use crate::gateway::health_checks;
use crate::gateway::metrics;
use crate::gateway::peers;
use crate::gateway::peers::registration;
use crate::gateway::pending_calls;
use crate::gateway::saved_crashes;

/// Interval between two checks for due events of paced streams: small compared to the time between
/// two events.
const PACING_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Interval between two checks whether all requests have an answer.
const ANSWER_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// The control thread has ended before the shutdown was complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the control thread has failed; the process ends and has to be started again")]
pub struct ControlThreadEnded;

/// Executes the outputs of the control thread.
pub struct Executor {
    /// Runs attempts on endpoints.
    pub attempts: attempts::AttemptRunner,
    /// Links to other gateways.
    pub peers: peers::PeerLinks,
    /// Connections of callers.
    pub connections: connections::Connections,
    /// Name of this gateway.
    pub instance: ids::InstanceName,
    /// Client of the platform's store.
    pub store: rc::Rc<store::StoreClient>,
    /// Metrics of the gateway.
    pub metrics: rc::Rc<metrics::Metrics>,
    /// Limits the log lines of events that callers cause.
    pub event_lines: event_lines::EventLines,
    /// Sends inputs to the control thread.
    pub inputs: control::InputSender,
    /// Reports whether this process accepts new calls.
    pub ready: watch::Sender<bool>,
    /// Reports the progress of a graceful shutdown.
    pub stage: watch::Sender<callers::ShutdownStage>,
}

impl Executor {
    /// Executes outputs until the control thread reports that the shutdown is complete, and all requests
    /// that were received have an answer.
    ///
    /// # Errors
    ///
    /// Fails if the control thread has ended before.
    pub async fn run(
        self,
        mut outputs: mpsc::UnboundedReceiver<Vec<output::Output>>,
    ) -> Result<(), ControlThreadEnded> {
        let mut exit_at: Option<time::Instant> = None;
        loop {
            let batch = match exit_at {
                None => outputs.recv().await,
                Some(exit_at) => {
                    if self.has_answered_all() || time::Instant::now() >= exit_at {
                        return Ok(());
                    }
                    match tokio::time::timeout(ANSWER_CHECK_INTERVAL, outputs.recv()).await {
                        Ok(batch) => batch,
                        Err(_) => continue,
                    }
                }
            };
            let Some(batch) = batch else { return Err(ControlThreadEnded) };
            for output in batch {
                if let output::Output::Stopped { time_left } = output {
                    callers::advance_shutdown(&self.stage, callers::ShutdownStage::Stopped);
                    exit_at = Some(time::Instant::now() + time_left);
                } else {
                    self.execute(output);
                }
            }
        }
    }

    fn has_answered_all(&self) -> bool {
        self.calls().is_empty() && !self.connections.is_receiving_from_callers()
    }

    fn calls(&self) -> &pending_calls::PendingCalls {
        &self.attempts.calls
    }

    fn execute(&self, output: output::Output) {
        match output {
            output::Output::Send(dispatch) => self.start_attempt(*dispatch),
            output::Output::Cancel(call) => self.calls().cancel_attempt(call),
            output::Output::ReleaseEvents(call) => self.calls().release_events(call),
            output::Output::SetEventInterval(interval) => self.set_event_interval(interval),
            output::Output::Finish(call) => self.calls().finish(call),
            output::Output::Refuse(call, refusal) => self.calls().refuse(call, refusal),
            output::Output::Abort(call) => self.calls().abort(call),
            output::Output::Append { partition, records } => self.append(partition, records),
            output::Output::Read { partition, from } => self.read(partition, from),
            output::Output::RelayRecord { peer, address, record } => {
                self.peers.relay_record(peer, address, *record);
            }
            output::Output::CheckEndpoint { endpoint, address, path } => {
                self.check_endpoint(endpoint, address, path);
            }
            output::Output::TellNotices { peer, address, notices } => {
                self.peers.tell_notices(peer, address, &notices);
            }
            output::Output::AskNotices { peer, address } => {
                self.peers.ask_notices(peer, address);
            }
            output::Output::RespondToNotices(ticket, notices) => {
                self.peers.respond_to_notices(ticket, &notices);
            }
            output::Output::TellCrashes { peer, address, crashes } => {
                self.peers.tell_crashes(peer, address, &crashes);
            }
            output::Output::TellSurvivals { peer, address, survivals } => {
                self.peers.tell_survivals(peer, address, &survivals);
            }
            output::Output::SaveCrashes(record) => {
                let (store, inputs) = (self.store.clone(), self.inputs.clone());
                saved_crashes::save(store, inputs, self.instance.clone(), &record);
            }
            output::Output::AskCrashes { peer, address } => self.peers.ask_crashes(peer, address),
            output::Output::RespondToCrashes(ticket, crashes) => {
                self.peers.respond_to_crashes(ticket, &crashes);
            }
            output::Output::AskAllowances { peer, address, request } => {
                self.peers.ask_allowances(peer, address, &request);
            }
            output::Output::RespondToAllowances(ticket, answer) => {
                self.peers.respond_to_allowances(ticket, &answer);
            }
            output::Output::AskHoldings { peer, address, owner, question } => {
                self.peers.ask_holdings(peer, address, &owner, question);
            }
            output::Output::RespondToHoldings(ticket, holdings) => {
                self.peers.respond_to_holdings(ticket, &holdings);
            }
            output::Output::ProbePeer { peer, address } => self.peers.probe(peer, address),
            output::Output::RemovePeer(peer) => self.remove_peer(peer),
            output::Output::RespondToRelay(ticket, response) => {
                self.peers.respond_to_relay(ticket, response);
            }
            output::Output::LookUpTurn { call, peer, address, turn } => {
                self.peers.look_up_turn(call, peer, address, turn);
            }
            output::Output::RespondToLookup(ticket, response) => {
                self.peers.respond_to_lookup(ticket, response);
            }
            output::Output::Ready(ready) => {
                self.ready.send_replace(ready);
            }
            output::Output::Stopped { .. } => {}
            output::Output::CountCall(workspace, outcome) => {
                self.metrics.count_workspace_call(workspace.as_str(), outcome);
            }
            output::Output::Count(event) => self.metrics.count_event(event),
            output::Output::Event(event) => {
                self.metrics.count_event(event.name);
                self.event_lines.log(&event);
            }
        }
    }

    fn check_endpoint(&self, endpoint: ids::EndpointId, address: String, path: String) {
        let inputs = self.inputs.clone();
        actix_rt::spawn(async move {
            let notice = health_checks::check(&endpoint, &address, &path).await;
            inputs.send(input::Input::EndpointChecked { endpoint, notice });
        });
    }

    fn remove_peer(&self, peer: ids::InstanceName) {
        let store = self.store.clone();
        actix_rt::spawn(async move { registration::unregister(&store, &peer).await });
    }

    fn start_attempt(&self, dispatch: output::Dispatch) {
        let (call, attempt) = (dispatch.call, dispatch.attempt);
        let inputs = self.inputs.clone();
        let Some((request, cancel)) = self.calls().begin_attempt(&dispatch) else {
            let outcome = input::Outcome::NotSent(input::Failure::CallerLeft);
            inputs.send(input::Input::Outcome { call, attempt, outcome });
            return;
        };
        let runner = self.attempts.clone();
        let task = actix_rt::spawn(async move { runner.run(&dispatch, request, cancel).await });
        actix_rt::spawn(async move {
            let outcome = task.await.unwrap_or_else(|error| {
                log::error!("event=attempt_failed call={call} error={:?}", error.to_string());
                input::Outcome::Lost(input::Failure::Malformed)
            });
            inputs.send(input::Input::Outcome { call, attempt, outcome });
        });
    }

    fn set_event_interval(&self, interval: Option<time::Duration>) {
        let calls = self.calls().clone();
        let was_pacing = calls.is_pacing();
        calls.set_event_interval(interval);
        if was_pacing || interval.is_none() {
            return;
        }
        actix_rt::spawn(async move {
            while calls.is_pacing() {
                actix_rt::time::sleep(PACING_CHECK_INTERVAL).await;
                calls.send_due_events();
            }
        });
    }

    fn append(&self, partition: ids::Partition, records: Vec<journal::Record>) {
        let (store, inputs) = (self.store.clone(), self.inputs.clone());
        let metrics = self.metrics.clone();
        actix_rt::spawn(async move {
            let start = time::Instant::now();
            let result = store.append(partition, &records).await;
            metrics.record_log_call("append", result.is_ok(), start.elapsed());
            if let Err(error) = &result {
                log::debug!("event=append_failed error={:?}", error.to_string());
            }
            let result = result.map_err(|error| error.to_log_error());
            inputs.send(input::Input::Appended { partition, result });
        });
    }

    fn read(&self, partition: ids::Partition, from: ids::Offset) {
        let (store, inputs) = (self.store.clone(), self.inputs.clone());
        let metrics = self.metrics.clone();
        actix_rt::spawn(async move {
            let start = time::Instant::now();
            let result = store.read(partition, from).await;
            metrics.record_log_call("read", result.is_ok(), start.elapsed());
            if let Err(error) = &result {
                log::debug!("event=read_failed error={:?}", error.to_string());
            }
            let result = result.map_err(|error| error.to_log_error());
            inputs.send(input::Input::Read { partition, result });
        });
    }
}
