//! The signal to stop, from the first moment of a process on.

use std::io;
use std::sync;
use std::sync::atomic;

use signal_hook::consts;
use tokio::signal::unix;

/// Signals that have arrived since the process began, before anything else could handle them: they would
/// end it at once.
#[derive(Clone, Debug, Default)]
pub struct EarlySignals {
    has_terminate: sync::Arc<atomic::AtomicBool>,
}

impl EarlySignals {
    /// Begins to catch the signals that a started process handles. Call this first.
    ///
    /// # Errors
    ///
    /// Fails if the system does not let the process handle them.
    pub fn catch() -> io::Result<Self> {
        let early = EarlySignals::default();
        signal_hook::flag::register(consts::SIGTERM, early.has_terminate.clone())?;
        // Settings are read when the process starts in any case.
        signal_hook::flag::register(consts::SIGHUP, sync::Arc::default())?;
        Ok(early)
    }

    /// Returns the signal to stop, whether it has arrived already or not.
    ///
    /// # Errors
    ///
    /// Fails if the system does not let the process handle it.
    pub fn terminate(&self) -> io::Result<Terminate> {
        let signal = unix::signal(unix::SignalKind::terminate())?;
        let is_early = self.has_terminate.load(atomic::Ordering::SeqCst);
        Ok(Terminate { signal, is_early })
    }
}

/// The signal to stop.
#[derive(Debug)]
pub struct Terminate {
    signal: unix::Signal,
    is_early: bool,
}

impl Terminate {
    /// Waits for the signal; returns false if it can't arrive any more.
    pub async fn wait(&mut self) -> bool {
        self.is_early || self.signal.recv().await.is_some()
    }
}
