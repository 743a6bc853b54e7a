//! The control thread. It owns the world, sleeps until a command arrives or a timer is due, and
//! then runs a tick.

use std::sync::mpsc as std_mpsc;
use std::thread;
use std::time;

use flamingotrail_core::input;
use flamingotrail_core::output;
use flamingotrail_core::systems::text_memory;
use flamingotrail_core::view;
use flamingotrail_core::world;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::clock;
use crate::metrics;

/// Maximum number of commands per tick.
const MAX_COMMANDS_PER_TICK: usize = 1024;
/// Maximum sleep while no command arrives.
const MAX_SLEEP: time::Duration = time::Duration::from_secs(3600);
/// Capacity of the output queue to the traffic threads.
const OUTPUT_CAPACITY: usize = 65_536;

/// A command to the control thread.
#[derive(Debug)]
pub enum Command {
    /// Pass an input to the world.
    Input(input::Input),
    /// Return a view of every table.
    Dump(oneshot::Sender<Vec<view::Table>>),
    /// Return the decisions whose subject contains the text.
    Explain(String, oneshot::Sender<view::Table>),
}

/// Sends commands to the control thread. Its inbox is bounded, so that a full inbox applies
/// backpressure.
#[derive(Clone)]
pub struct CommandSender {
    tx: std_mpsc::SyncSender<Command>,
}

/// The inbox of the control thread is full, or the thread has stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("this instance can't accept more requests at the moment; retry shortly")]
pub struct InboxFull;

impl CommandSender {
    /// Sends a command without waiting.
    ///
    /// # Errors
    ///
    /// Returns [`InboxFull`] if the inbox is full or the control thread has stopped.
    pub fn try_send(&self, command: Command) -> Result<(), InboxFull> {
        self.tx.try_send(command).map_err(|_| InboxFull)
    }

    /// Sends an input that is sent only once and must not be lost. While the inbox is full, a task
    /// on the calling thread retries. Inputs are discarded once the control thread has stopped.
    pub fn send_input(&self, input: input::Input) {
        let Err(std_mpsc::TrySendError::Full(command)) = self.tx.try_send(Command::Input(input))
        else {
            return;
        };
        let tx = self.tx.clone();
        actix_rt::spawn(async move {
            const RETRY_DELAY: time::Duration = time::Duration::from_millis(5);
            let mut command = command;
            while let Err(std_mpsc::TrySendError::Full(returned)) = tx.try_send(command) {
                command = returned;
                actix_rt::time::sleep(RETRY_DELAY).await;
            }
        });
    }
}

/// Starts the control thread with an inbox of capacity `inbox_capacity`. Returns the sender of its
/// commands, the receiver of its outputs and its join handle.
pub fn start(
    world: world::World,
    inbox_capacity: usize,
    clock: clock::Clock,
    metrics: metrics::Metrics,
) -> (CommandSender, mpsc::Receiver<output::Output>, thread::JoinHandle<()>) {
    let (tx, rx) = std_mpsc::sync_channel(inbox_capacity);
    let (output_tx, output_rx) = mpsc::channel(OUTPUT_CAPACITY);
    let control = ControlThread { world, rx, output_tx, clock, metrics };
    let handle = thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || control.run())
        .unwrap_or_else(|error| panic!("failed to start the control thread: {error}"));
    (CommandSender { tx }, output_rx, handle)
}

struct ControlThread {
    world: world::World,
    rx: std_mpsc::Receiver<Command>,
    output_tx: mpsc::Sender<output::Output>,
    clock: clock::Clock,
    metrics: metrics::Metrics,
}

impl ControlThread {
    fn run(mut self) {
        loop {
            let first = match self.rx.recv_timeout(self.time_to_next_timer()) {
                Ok(command) => Some(command),
                Err(std_mpsc::RecvTimeoutError::Timeout) => None,
                Err(std_mpsc::RecvTimeoutError::Disconnected) => return,
            };
            let inputs = self.take_inputs(first);
            if !self.run_tick(inputs) {
                return;
            }
        }
    }

    /// Returns the time until the next timer of the world is due, at most [`MAX_SLEEP`].
    fn time_to_next_timer(&self) -> time::Duration {
        match self.world.next_due() {
            Some(due) => due.since(self.clock.now()).min(MAX_SLEEP),
            None => MAX_SLEEP,
        }
    }

    /// Executes `first` and the queued commands, and returns the inputs among them.
    fn take_inputs(&mut self, first: Option<Command>) -> Vec<input::Input> {
        let mut inputs = Vec::new();
        let rest: Vec<Command> = self.rx.try_iter().take(MAX_COMMANDS_PER_TICK - 1).collect();
        for command in first.into_iter().chain(rest) {
            match command {
                Command::Input(input) => inputs.push(input),
                Command::Dump(tx) => {
                    let _ = tx.send(view::tables(&self.world, self.clock.now()));
                }
                Command::Explain(about, tx) => {
                    let _ = tx.send(view::decisions(&self.world, &about));
                }
            }
        }
        inputs
    }

    /// Runs one tick. Returns `false` if the receiver of the outputs was dropped.
    fn run_tick(&mut self, inputs: Vec<input::Input>) -> bool {
        let start = time::Instant::now();
        let outputs = self.world.tick(self.clock.now(), inputs);
        self.metrics.control_seconds.inc_by(start.elapsed().as_secs_f64());
        self.metrics.ticks.inc();
        update_gauges(&self.metrics, &self.world);
        for output in outputs {
            if let Err(error) = self.output_tx.try_send(output) {
                if matches!(error, mpsc::error::TrySendError::Closed(_)) {
                    return false;
                }
                // Messages are retransmitted until they are acknowledged; other outputs time out.
                log::error!("event=output_dropped reason=output_queue_full");
            }
        }
        true
    }
}

fn update_gauges(metrics: &metrics::Metrics, world: &world::World) {
    let tables = &world.tables;
    let to_i64 = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
    metrics.program_text_bytes.set(to_i64(text_memory::held_bytes(world)));
    metrics.program_text_limit.set(to_i64(world.settings.max_history_bytes));
    metrics.calls_in_progress.set(to_i64(tables.calls.rows.len()));
    metrics.queued_attempts.set(to_i64(tables.runs.queued.len()));
    let lag: usize = tables.partitions.rows.values().map(|row| row.pending_records.len()).sum();
    metrics.journal_lag_records.set(to_i64(lag));
    let version = i64::try_from(tables.configuration.version().0).unwrap_or(i64::MAX);
    metrics.config_version.set(version);
}
