//! The gateway's control thread: owns the world, sleeps until an input arrives or a timer is due,
//! and then runs a tick.

use std::sync::mpsc as std_mpsc;
use std::thread;
use std::time;

use flamingotrail_gateway::input;
use flamingotrail_gateway::output;
use flamingotrail_gateway::world;
use tokio::sync::mpsc;

use crate::clock;

/// Maximum number of inputs in one tick.
const MAX_INPUTS_PER_TICK: usize = 1024;
/// Maximum number of inputs waiting for the control thread. Requests beyond it are refused as not
/// run.
const INBOX_CAPACITY: usize = 16_384;
/// Longest sleep if no input arrives.
const MAX_SLEEP: time::Duration = time::Duration::from_secs(3600);

/// The control thread's inbox is full, or the thread has stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the control thread's inbox is full or the thread has stopped; retry shortly")]
pub struct InboxFull;

/// Sends inputs to the control thread. Its inbox is bounded, so that a full inbox applies
/// back-pressure.
#[derive(Clone)]
pub struct InputSender {
    tx: std_mpsc::SyncSender<input::Input>,
}

impl InputSender {
    /// Sends an input without waiting.
    ///
    /// # Errors
    ///
    /// Fails if the inbox is full or the control thread has stopped.
    pub fn try_send(&self, input: input::Input) -> Result<(), InboxFull> {
        self.tx.try_send(input).map_err(|_| InboxFull)
    }

    /// Sends an input that occurs only once and must not be lost. While the inbox is full, a task
    /// on the calling thread retries.
    pub fn send(&self, input: input::Input) {
        let Err(std_mpsc::TrySendError::Full(input)) = self.tx.try_send(input) else { return };
        let tx = self.tx.clone();
        actix_rt::spawn(async move {
            const RETRY_DELAY: time::Duration = time::Duration::from_millis(5);
            let mut input = input;
            while let Err(std_mpsc::TrySendError::Full(returned)) = tx.try_send(input) {
                input = returned;
                actix_rt::time::sleep(RETRY_DELAY).await;
            }
        });
    }
}

/// Starts the control thread. Returns the sender for its inputs and the receiver of its outputs.
///
/// # Errors
///
/// Fails if the thread can't be spawned.
pub fn start(
    world: world::World,
    clock: clock::Clock,
) -> std::io::Result<(InputSender, mpsc::UnboundedReceiver<Vec<output::Output>>)> {
    let (tx, rx) = std_mpsc::sync_channel(INBOX_CAPACITY);
    // Unbounded, since outputs respond to inputs, whose number is bounded.
    let (out_tx, out_rx) = mpsc::unbounded_channel();
    let control_loop = ControlLoop { world, rx, out_tx, clock };
    thread::Builder::new().name("control".to_owned()).spawn(move || control_loop.run())?;
    Ok((InputSender { tx }, out_rx))
}

struct ControlLoop {
    world: world::World,
    rx: std_mpsc::Receiver<input::Input>,
    out_tx: mpsc::UnboundedSender<Vec<output::Output>>,
    clock: clock::Clock,
}

impl ControlLoop {
    fn run(mut self) {
        loop {
            let first = match self.rx.recv_timeout(self.sleep_duration()) {
                Ok(input) => Some(input),
                Err(std_mpsc::RecvTimeoutError::Timeout) => None,
                Err(std_mpsc::RecvTimeoutError::Disconnected) => return,
            };
            let inputs =
                first.into_iter().chain(self.rx.try_iter().take(MAX_INPUTS_PER_TICK - 1)).collect();
            let outputs = self.world.tick(self.clock.now(), inputs);
            if !outputs.is_empty() && self.out_tx.send(outputs).is_err() {
                return;
            }
        }
    }

    fn sleep_duration(&self) -> time::Duration {
        match self.world.next_due() {
            Some(due) => due.since(self.clock.now()).min(MAX_SLEEP),
            None => MAX_SLEEP,
        }
    }
}
