//! Watchers of the platform's store: the list of endpoints, and the configuration.

use std::cell;
use std::collections;
use std::rc;
use std::time;

use bytes::Bytes;
use flamingotrail_adapter::configuration;
use flamingotrail_adapter::idle;
use flamingotrail_adapter::records;
use flamingotrail_adapter::registry;
use flamingotrail_adapter::store;
use flamingotrail_gateway::ids;
use flamingotrail_gateway::input;

use crate::connections;
use crate::gateway::control;

/// The endpoint list is read this often within the time in which a leaving endpoint has to be noticed:
/// some reads may fail, and running requests have to end as well. Each read returns all changes since
/// the previous one.
const ENDPOINT_READS_PER_BOUND: u32 = 4;
/// A read of the configuration waits for a change for the time in which one has to be in force, divided
/// by this number. A call that takes longer than this and the response timeout together indicates a
/// dead connection, after which another one has to bring the change in time.
const CONFIGURATION_WAITS_PER_BOUND: u32 = 3;
/// Delay after a failed read.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(150);

/// Watches the list of endpoints until the process exits.
pub async fn endpoints(
    store: rc::Rc<store::StoreClient>,
    inputs: control::InputSender,
    leaving_bound: time::Duration,
) {
    let mut reader = TopicReader::new(store::ENDPOINT_TOPIC);
    let mut entries = collections::BTreeMap::new();
    loop {
        match reader.read(&store, time::Duration::ZERO).await {
            Ok(update) => {
                if update.is_snapshot {
                    entries.clear();
                }
                for (key, value) in update.records {
                    apply_entry(&mut entries, &key, &value);
                }
                let membership = input::Membership { endpoints: entries.clone() };
                inputs.send(input::Input::Endpoints(membership));
                actix_rt::time::sleep(leaving_bound / ENDPOINT_READS_PER_BOUND).await;
            }
            Err(error) => {
                log::debug!("event=endpoint_list_read_failed error={:?}", error.to_string());
                inputs.send(input::Input::ListUnreachable);
                actix_rt::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

fn apply_entry(
    entries: &mut collections::BTreeMap<ids::EndpointId, input::Endpoint>,
    key: &str,
    value: &Bytes,
) {
    let id = match registry::decode_id(key) {
        Ok(id) => id,
        Err(error) => {
            log::debug!("event=endpoint_entry_invalid error={:?}", error.to_string());
            return;
        }
    };
    if value.is_empty() {
        entries.remove(&id);
        return;
    }
    match registry::decode(value) {
        Ok(endpoint) => {
            entries.insert(id, endpoint);
        }
        Err(error) => {
            // The endpoint's previous entry is no longer valid.
            if entries.remove(&id).is_some() {
                log::warn!(
                    "event=endpoint_entry_invalid endpoint={id} error={:?}",
                    error.to_string()
                );
            }
        }
    }
}

/// Watches the configuration until the process exits.
pub async fn configuration(
    store: rc::Rc<store::StoreClient>,
    inputs: control::InputSender,
    limits: rc::Rc<cell::Cell<configuration::RequestLimits>>,
    connections: connections::Connections,
    configuration_bound: time::Duration,
) {
    let mut reader = TopicReader::new(store::CONFIGURATION_TOPIC);
    let wait = configuration_bound / CONFIGURATION_WAITS_PER_BOUND;
    loop {
        match reader.read(&store, wait).await {
            Ok(update) => {
                let newest = update.records.into_iter().rfind(|(key, _)| key == configuration::KEY);
                if let Some((_, value)) = newest {
                    apply_configuration(&inputs, &limits, &connections, &value);
                }
            }
            Err(error) => {
                log::debug!("event=configuration_read_failed error={:?}", error.to_string());
                actix_rt::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

fn apply_configuration(
    inputs: &control::InputSender,
    limits: &rc::Rc<cell::Cell<configuration::RequestLimits>>,
    connections: &connections::Connections,
    value: &Bytes,
) {
    match configuration::decode(value) {
        Ok((configuration, new_limits)) => {
            limits.set(new_limits);
            connections.admit_requests_of(new_limits.max_body_bytes);
            inputs.send(input::Input::Configuration(Box::new(configuration)));
        }
        Err(error) => {
            log::error!("event=configuration_invalid error={:?}", error.to_string());
        }
    }
}

/// Reads a keyed topic: first the newest record of each key, then new records as they arrive. After a
/// failed read, the next one uses a new connection, so that one read at most is lost to connections that
/// have gone silent.
pub struct TopicReader {
    topic: &'static str,
    next_offset: Option<u64>,
    reuse: idle::Reuse,
}

/// Result of one read of a keyed topic.
pub struct TopicUpdate {
    /// Whether the records are the newest of every key instead of the latest changes.
    pub is_snapshot: bool,
    /// Keys and values in the topic's order.
    pub records: Vec<(String, Bytes)>,
}

impl TopicReader {
    /// Creates a reader that starts with the newest record of each key.
    pub fn new(topic: &'static str) -> Self {
        TopicReader { topic, next_offset: None, reuse: idle::Reuse::Idle }
    }

    /// Reads new records, waiting up to `wait` for one.
    ///
    /// # Errors
    ///
    /// Fails if the store refuses the read or does not respond.
    pub async fn read(
        &mut self,
        store: &store::StoreClient,
        wait: time::Duration,
    ) -> Result<TopicUpdate, store::StoreError> {
        let result = self.try_read(store, wait).await;
        self.reuse = if result.is_ok() { idle::Reuse::Idle } else { idle::Reuse::Never };
        result
    }

    async fn try_read(
        &mut self,
        store: &store::StoreClient,
        wait: time::Duration,
    ) -> Result<TopicUpdate, store::StoreError> {
        let Some(next) = self.next_offset else { return self.read_newest(store).await };
        match store.read_raw(self.topic, 0, next, wait, self.reuse).await {
            Ok(page) => {
                self.next_offset = Some(next + page.records.len() as u64);
                Ok(TopicUpdate { is_snapshot: false, records: self.decode(&page.records) })
            }
            Err(store::StoreError::Expired { .. }) => self.read_newest(store).await,
            Err(error) => Err(error),
        }
    }

    async fn read_newest(
        &mut self,
        store: &store::StoreClient,
    ) -> Result<TopicUpdate, store::StoreError> {
        let page = store.read_newest(self.topic, self.reuse).await?;
        self.next_offset = Some(page.end);
        let records = page.records.into_iter().map(|item| (item.key, item.value)).collect();
        Ok(TopicUpdate { is_snapshot: true, records })
    }

    fn decode(&self, raw: &[Bytes]) -> Vec<(String, Bytes)> {
        let mut records = Vec::new();
        for record in raw {
            match records::decode_keyed(record) {
                Ok(record) => records.push(record),
                Err(error) => {
                    let topic = self.topic;
                    log::warn!("event=record_invalid topic={topic} error={:?}", error.to_string());
                }
            }
        }
        records
    }
}
