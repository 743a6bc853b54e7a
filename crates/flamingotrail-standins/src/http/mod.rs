//! The fakes of the external systems behind HTTP, in the published protocols, for real processes.

pub mod engines;
pub mod platform;
pub mod server;

use std::collections;
use std::sync;
use std::time as std_time;

use flamingotrail_core::time;
use flamingotrail_wire::platform as wire;

use crate::engine;
use crate::instance_list;
use crate::log;
use crate::service;

/// Locks a mutex, ignoring poisoning by a panic in another thread.
pub fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

/// The fakes of all external systems of one cluster.
pub struct FakeSystems {
    start: std_time::Instant,
    /// The log.
    pub log: sync::Mutex<log::FakeLog<String>>,
    /// Wakes readers that wait for entries.
    pub log_changed: tokio::sync::Notify,
    /// The list of instances.
    pub list: sync::Mutex<instance_list::FakeInstanceList<wire::ListedInstance>>,
    /// Engines by endpoint name.
    pub engines: collections::BTreeMap<String, engines::EngineHost>,
    /// Services by name; all endpoints that run a service share its state.
    pub services: collections::BTreeMap<String, sync::Mutex<service::FakeService>>,
}

impl FakeSystems {
    /// Creates the fakes, with an empty instance list and these engines and services.
    pub fn new(
        log: log::FakeLog<String>,
        list_lag: std_time::Duration,
        engines: collections::BTreeMap<String, engine::EngineConfig>,
        services: collections::BTreeMap<String, service::FakeService>,
    ) -> Self {
        let host = |(name, config)| (name, engines::EngineHost::new(config));
        FakeSystems {
            start: std_time::Instant::now(),
            log: sync::Mutex::new(log),
            log_changed: tokio::sync::Notify::new(),
            list: sync::Mutex::new(instance_list::FakeInstanceList::new(list_lag)),
            engines: engines.into_iter().map(host).collect(),
            services: services
                .into_iter()
                .map(|(name, service)| (name, sync::Mutex::new(service)))
                .collect(),
        }
    }

    /// Time since the fakes were created.
    pub fn now(&self) -> time::Timestamp {
        time::Timestamp::ZERO.after(self.start.elapsed())
    }

    /// Adds or replaces a row of the instance list.
    pub fn upsert_instance(&self, row: wire::ListedInstance) {
        let now = self.now();
        lock(&self.list).update(now, |rows| {
            rows.insert(row.instance.clone(), row);
        });
    }

    /// Removes a row of the instance list.
    pub fn remove_instance(&self, instance: &str) {
        let now = self.now();
        lock(&self.list).update(now, |rows| {
            rows.remove(instance);
        });
    }

    /// Starts or ends an outage of the log.
    pub fn set_log_unavailable(&self, unavailable: bool) {
        lock(&self.log).unavailable = unavailable;
        self.log_changed.notify_waiters();
    }

    /// Counts the request bodies of `operation` that services executed more than once.
    pub fn repeated_executions_of(&self, operation: &str) -> usize {
        let count = |service: &sync::Mutex<service::FakeService>| {
            let service = lock(service);
            service.repeated_executions().into_iter().filter(|((op, _), _)| op == operation).count()
        };
        self.services.values().map(count).sum()
    }
}
