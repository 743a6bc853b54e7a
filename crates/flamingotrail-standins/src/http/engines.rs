//! Runs a fake engine in real time: a task that completes its steps and sends each call its events.

use std::collections;
use std::sync;
use std::sync::atomic;
use std::time;

use tokio::sync::mpsc;

use crate::engine;
use crate::http;

/// A fake engine and the subscribers to the events of its calls.
pub struct EngineHost {
    /// The engine.
    pub engine: sync::Mutex<engine::FakeEngine>,
    subscribers:
        sync::Mutex<collections::BTreeMap<u64, mpsc::UnboundedSender<engine::EngineEvent>>>,
    call_started: tokio::sync::Notify,
    next_id: atomic::AtomicU64,
}

impl EngineHost {
    /// Creates a host with an idle engine.
    pub fn new(config: engine::EngineConfig) -> Self {
        EngineHost {
            engine: sync::Mutex::new(engine::FakeEngine::new(config)),
            subscribers: sync::Mutex::default(),
            call_started: tokio::sync::Notify::new(),
            next_id: atomic::AtomicU64::new(1),
        }
    }

    /// Starts a call and returns its id and its events, or `None` if the engine is full or down.
    pub fn start(
        &self,
        fakes: &http::FakeSystems,
        mut call: engine::Call,
    ) -> Option<(u64, mpsc::UnboundedReceiver<engine::EngineEvent>)> {
        let id = self.next_id.fetch_add(1, atomic::Ordering::Relaxed);
        call.id = id;
        let (tx, rx) = mpsc::unbounded_channel();
        http::lock(&self.subscribers).insert(id, tx);
        if !http::lock(&self.engine).start(fakes.now(), call) {
            http::lock(&self.subscribers).remove(&id);
            return None;
        }
        self.call_started.notify_one();
        Some((id, rx))
    }

    /// Aborts a call and drops its subscriber.
    pub fn abort(&self, id: u64) {
        http::lock(&self.engine).abort(id);
        http::lock(&self.subscribers).remove(&id);
    }

    /// Crashes the engine and reports the end of its calls.
    pub fn crash(&self, fakes: &http::FakeSystems) {
        let events = http::lock(&self.engine).crash(fakes.now());
        self.publish_events(events);
    }

    fn publish_events(&self, events: Vec<engine::EngineEvent>) {
        let mut subscribers = http::lock(&self.subscribers);
        for event in events {
            let (id, is_final) = match &event {
                engine::EngineEvent::Text { id, .. } => (*id, false),
                engine::EngineEvent::Done { id, .. } | engine::EngineEvent::Broken { id } => {
                    (*id, true)
                }
            };
            if let Some(tx) = subscribers.get(&id) {
                // The send fails if the subscriber was dropped; it then aborts its call itself.
                let _ = tx.send(event);
            }
            if is_final {
                subscribers.remove(&id);
            }
        }
    }

    /// Completes the engine's steps when they are due; waits for a call while none is running.
    pub async fn run(&self, fakes: &http::FakeSystems) {
        loop {
            let next_event = http::lock(&self.engine).next_event();
            let Some(next_event) = next_event else {
                self.call_started.notified().await;
                continue;
            };
            let wait = next_event.since(fakes.now());
            if wait > time::Duration::ZERO {
                actix_rt::time::sleep(wait).await;
            }
            let events = http::lock(&self.engine).advance(fakes.now());
            self.publish_events(events);
        }
    }
}
