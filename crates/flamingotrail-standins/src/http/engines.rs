//! Hosts an engine: a task that ends its steps, and calls that hear what it says.

use std::collections;
use std::sync;
use std::sync::atomic;
use std::time;

use tokio::sync::mpsc;

use crate::engine;
use crate::http;

/// One engine with those who listen to its calls.
pub struct EngineHost {
    /// The engine.
    pub engine: sync::Mutex<engine::FakeEngine>,
    listeners: sync::Mutex<collections::BTreeMap<u64, mpsc::UnboundedSender<engine::Said>>>,
    changed: tokio::sync::Notify,
    next: atomic::AtomicU64,
}

impl EngineHost {
    /// A host of a new engine.
    pub fn new(config: engine::EngineConfig) -> Self {
        EngineHost {
            engine: sync::Mutex::new(engine::FakeEngine::new(config)),
            listeners: sync::Mutex::default(),
            changed: tokio::sync::Notify::new(),
            next: atomic::AtomicU64::new(1),
        }
    }

    /// Starts a call: its number and what it says. None where the engine is full or down.
    pub fn start(
        &self,
        fakes: &http::FakeSystems,
        mut call: engine::Call,
    ) -> Option<(u64, mpsc::UnboundedReceiver<engine::Said>)> {
        let id = self.next.fetch_add(1, atomic::Ordering::Relaxed);
        call.id = id;
        let (tx, rx) = mpsc::unbounded_channel();
        http::lock(&self.listeners).insert(id, tx);
        if !http::lock(&self.engine).start(fakes.now(), call) {
            http::lock(&self.listeners).remove(&id);
            return None;
        }
        self.changed.notify_one();
        Some((id, rx))
    }

    /// Stops a call.
    pub fn abort(&self, id: u64) {
        http::lock(&self.engine).abort(id);
        http::lock(&self.listeners).remove(&id);
    }

    /// Crashes the engine.
    pub fn crash(&self, fakes: &http::FakeSystems) {
        let said = http::lock(&self.engine).crash(fakes.now());
        self.tell(said);
    }

    fn tell(&self, said: Vec<engine::Said>) {
        let mut listeners = http::lock(&self.listeners);
        for said in said {
            let (id, is_end) = match &said {
                engine::Said::Text { id, .. } => (*id, false),
                engine::Said::Done { id, .. } | engine::Said::Broken { id } => (*id, true),
            };
            if let Some(tx) = listeners.get(&id) {
                // A listener that went away aborts its call itself.
                let _ = tx.send(said);
            }
            if is_end {
                listeners.remove(&id);
            }
        }
    }

    /// Ends the engine's steps as they are due; sleeps while nothing runs.
    pub async fn run(&self, fakes: &http::FakeSystems) {
        loop {
            let next = http::lock(&self.engine).next_event();
            let Some(next) = next else {
                self.changed.notified().await;
                continue;
            };
            let wait = next.since(fakes.now());
            if wait > time::Duration::ZERO {
                actix_rt::time::sleep(wait).await;
            }
            let said = http::lock(&self.engine).advance(fakes.now());
            self.tell(said);
        }
    }
}
