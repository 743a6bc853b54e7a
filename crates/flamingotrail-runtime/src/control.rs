//! The control thread: owns the world, sleeps on its inbox or until the next row is due, ticks.

use std::sync::mpsc as std_mpsc;
use std::thread;
use std::time;

use flamingotrail_core::input;
use flamingotrail_core::output;
use flamingotrail_core::tables;
use flamingotrail_core::view;
use flamingotrail_core::world;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::clock;
use crate::metrics;

/// Inputs of one tick at most.
const MAX_INPUTS: usize = 1024;
/// Longest sleep without an input.
const MAX_SLEEP: time::Duration = time::Duration::from_secs(3600);
/// Outputs that wait for the traffic threads at most.
const OUTLET: usize = 65_536;

/// What reaches the control thread.
#[derive(Debug)]
pub enum Command {
    /// An input of the world.
    Input(input::Input),
    /// A question for every table.
    Dump(oneshot::Sender<Vec<view::Table>>),
    /// A question for the decisions on what the text names.
    Explain(String, oneshot::Sender<view::Table>),
}

/// The way into the control thread: bounded, so that a full inbox is back-pressure.
#[derive(Clone)]
pub struct CommandSender {
    tx: std_mpsc::SyncSender<Command>,
}

/// The control thread's inbox is full, or it has stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the process takes nothing more at the moment; retry shortly")]
pub struct InboxFull;

impl CommandSender {
    /// Hands in an item unless the inbox is full.
    ///
    /// # Errors
    ///
    /// A full inbox.
    pub fn try_send(&self, item: Command) -> Result<(), InboxFull> {
        self.tx.try_send(item).map_err(|_| InboxFull)
    }

    /// Hands in an input that is told only once and may not get lost; waits in a task of the
    /// calling thread while the inbox is full.
    pub fn send_input(&self, input: input::Input) {
        let Err(std_mpsc::TrySendError::Full(item)) = self.tx.try_send(Command::Input(input))
        else {
            return;
        };
        let tx = self.tx.clone();
        actix_rt::spawn(async move {
            const PAUSE: time::Duration = time::Duration::from_millis(5);
            let mut item = item;
            while let Err(std_mpsc::TrySendError::Full(back)) = tx.try_send(item) {
                item = back;
                actix_rt::time::sleep(PAUSE).await;
            }
        });
    }
}

/// Starts the control thread. Returns the way in and the outputs.
pub fn start(
    world: world::World,
    inbox: usize,
    clock: clock::Clock,
    metrics: metrics::Metrics,
) -> (CommandSender, mpsc::Receiver<output::Output>, thread::JoinHandle<()>) {
    let (tx, rx) = std_mpsc::sync_channel(inbox);
    let (out_tx, out_rx) = mpsc::channel(OUTLET);
    let control = Control { world, rx, out_tx, clock, metrics };
    let handle = thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || control.run())
        .unwrap_or_else(|error| panic!("the control thread can't be started: {error}"));
    (CommandSender { tx }, out_rx, handle)
}

struct Control {
    world: world::World,
    rx: std_mpsc::Receiver<Command>,
    out_tx: mpsc::Sender<output::Output>,
    clock: clock::Clock,
    metrics: metrics::Metrics,
}

impl Control {
    fn run(mut self) {
        loop {
            let first = match self.rx.recv_timeout(self.sleep()) {
                Ok(item) => Some(item),
                Err(std_mpsc::RecvTimeoutError::Timeout) => None,
                Err(std_mpsc::RecvTimeoutError::Disconnected) => return,
            };
            let inputs = self.collect(first);
            if !self.tick(inputs) {
                return;
            }
        }
    }

    fn sleep(&self) -> time::Duration {
        match self.world.next_due() {
            Some(due) => due.since(self.clock.now()).min(MAX_SLEEP),
            None => MAX_SLEEP,
        }
    }

    fn collect(&mut self, first: Option<Command>) -> Vec<input::Input> {
        let mut inputs = Vec::new();
        let rest: Vec<Command> = self.rx.try_iter().take(MAX_INPUTS - 1).collect();
        for item in first.into_iter().chain(rest) {
            match item {
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

    /// Ticks once: whether to go on.
    fn tick(&mut self, inputs: Vec<input::Input>) -> bool {
        let start = time::Instant::now();
        let outputs = self.world.tick(self.clock.now(), inputs);
        self.metrics.control_seconds.inc_by(start.elapsed().as_secs_f64());
        self.metrics.ticks.inc();
        gauge(&self.metrics, &self.world.tables);
        for output in outputs {
            if let Err(error) = self.out_tx.try_send(output) {
                if matches!(error, mpsc::error::TrySendError::Closed(_)) {
                    return false;
                }
                // Messages are sent again until they are confirmed; the rest times out.
                log::error!("event=output_dropped reason=outlet_full");
            }
        }
        true
    }
}

fn gauge(metrics: &metrics::Metrics, tables: &tables::Tables) {
    let number = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
    metrics.calls_under_way.set(number(tables.calls.rows.len()));
    metrics.queue.set(number(tables.runs.queued.len()));
    let lag: usize = tables.partitions.rows.values().map(|row| row.pending_records.len()).sum();
    metrics.journal_lag_records.set(number(lag));
    let version = i64::try_from(tables.configuration.version().0).unwrap_or(i64::MAX);
    metrics.config_version.set(version);
}
