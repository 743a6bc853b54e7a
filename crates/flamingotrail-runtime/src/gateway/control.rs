//! The gateway's control thread: owns the world, sleeps on its inbox or until the next row is due,
//! ticks.

use std::sync::mpsc as std_mpsc;
use std::thread;
use std::time;

use flamingotrail_gateway::input;
use flamingotrail_gateway::output;
use flamingotrail_gateway::world;
use tokio::sync::mpsc;

use crate::clock;

/// Inputs of one tick at most.
const MAX_INPUTS: usize = 1024;
/// Inputs that wait for the control thread at most; callers beyond it are refused as not run.
const INBOX: usize = 16_384;
/// Longest sleep without an input.
const MAX_SLEEP: time::Duration = time::Duration::from_secs(3600);

/// The control thread takes nothing more, or has stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the process takes nothing more at the moment; retry shortly")]
pub struct InboxFull;

/// The way into the control thread: bounded, so that a full inbox is back-pressure.
#[derive(Clone)]
pub struct InputSender {
    tx: std_mpsc::SyncSender<input::Input>,
}

impl InputSender {
    /// Hands in an input unless the inbox is full.
    ///
    /// # Errors
    ///
    /// A full inbox.
    pub fn try_send(&self, input: input::Input) -> Result<(), InboxFull> {
        self.tx.try_send(input).map_err(|_| InboxFull)
    }

    /// Hands in an input that is told only once and may not get lost; waits in a task of the
    /// calling thread while the inbox is full.
    pub fn send(&self, input: input::Input) {
        let Err(std_mpsc::TrySendError::Full(input)) = self.tx.try_send(input) else { return };
        let tx = self.tx.clone();
        actix_rt::spawn(async move {
            const PAUSE: time::Duration = time::Duration::from_millis(5);
            let mut input = input;
            while let Err(std_mpsc::TrySendError::Full(back)) = tx.try_send(input) {
                input = back;
                actix_rt::time::sleep(PAUSE).await;
            }
        });
    }
}

/// Starts the control thread. Returns the way in and the outputs.
///
/// # Errors
///
/// A thread that can't be started.
pub fn start(
    world: world::World,
    clock: clock::Clock,
) -> std::io::Result<(InputSender, mpsc::UnboundedReceiver<Vec<output::Output>>)> {
    let (tx, rx) = std_mpsc::sync_channel(INBOX);
    // Outputs answer inputs, which are bounded.
    let (out_tx, out_rx) = mpsc::unbounded_channel();
    let control = Control { world, rx, out_tx, clock };
    thread::Builder::new().name("control".to_owned()).spawn(move || control.run())?;
    Ok((InputSender { tx }, out_rx))
}

struct Control {
    world: world::World,
    rx: std_mpsc::Receiver<input::Input>,
    out_tx: mpsc::UnboundedSender<Vec<output::Output>>,
    clock: clock::Clock,
}

impl Control {
    fn run(mut self) {
        loop {
            let first = match self.rx.recv_timeout(self.sleep()) {
                Ok(input) => Some(input),
                Err(std_mpsc::RecvTimeoutError::Timeout) => None,
                Err(std_mpsc::RecvTimeoutError::Disconnected) => return,
            };
            let inputs = first.into_iter().chain(self.rx.try_iter().take(MAX_INPUTS - 1)).collect();
            let outputs = self.world.tick(self.clock.now(), inputs);
            if !outputs.is_empty() && self.out_tx.send(outputs).is_err() {
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
}
