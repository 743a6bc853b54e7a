//! Readers of what the platform's store tells: endpoints and configuration.

use std::cell;
use std::collections;
use std::rc;
use std::time;

use bytes::Bytes;
use flamingotrail_adapter::configuration;
use flamingotrail_adapter::records;
use flamingotrail_adapter::registry;
use flamingotrail_adapter::store;
use flamingotrail_gateway::ids;
use flamingotrail_gateway::input;

use crate::gateway::control;

/// Pause between two readings of the list: each reading takes all that came since the last one, and
/// a leaving endpoint has to be known well within the time for which it still serves.
const LIST_PAUSE: time::Duration = time::Duration::from_millis(700);
/// How long a reading of the configuration waits at the store for a newer one: silence for longer
/// than this and the answer's timeout shows a dead connection.
const CONFIGURATION_WAIT: time::Duration = time::Duration::from_millis(1_000);
/// Pause after a failed reading.
const RETRY_PAUSE: time::Duration = time::Duration::from_millis(150);

/// Reads the list of endpoints for as long as the process lives.
pub async fn endpoints(store: rc::Rc<store::StoreClient>, inputs: control::InputSender) {
    let mut follower = TopicReader::new(store::ENDPOINT_TOPIC);
    let mut entries = collections::BTreeMap::new();
    loop {
        match follower.read(&store, time::Duration::ZERO).await {
            Ok(changes) => {
                if changes.is_snapshot {
                    entries.clear();
                }
                for (key, value) in changes.records {
                    update(&mut entries, &key, &value);
                }
                let membership = input::Membership { endpoints: entries.clone() };
                inputs.send(input::Input::Endpoints(membership));
                actix_rt::time::sleep(LIST_PAUSE).await;
            }
            Err(error) => {
                log::debug!("event=list_unread error={:?}", error.to_string());
                inputs.send(input::Input::ListUnreachable);
                actix_rt::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

fn update(
    entries: &mut collections::BTreeMap<ids::EndpointId, input::Endpoint>,
    key: &str,
    value: &Bytes,
) {
    let id = ids::EndpointId::new(key);
    if value.is_empty() {
        entries.remove(&id);
        return;
    }
    match registry::decode(value) {
        Ok(endpoint) => {
            entries.insert(id, endpoint);
        }
        Err(error) => {
            // What the entry said before no longer holds.
            if entries.remove(&id).is_some() {
                log::warn!("event=entry_unreadable endpoint={id} error={:?}", error.to_string());
            }
        }
    }
}

/// Reads the configuration for as long as the process lives.
pub async fn configuration(
    store: rc::Rc<store::StoreClient>,
    inputs: control::InputSender,
    limits: rc::Rc<cell::Cell<configuration::RequestLimits>>,
) {
    let mut follower = TopicReader::new(store::CONFIGURATION_TOPIC);
    loop {
        match follower.read(&store, CONFIGURATION_WAIT).await {
            Ok(changes) => {
                let newest =
                    changes.records.into_iter().rfind(|(key, _)| key == configuration::KEY);
                if let Some((_, value)) = newest {
                    publish(&inputs, &limits, &value);
                }
            }
            Err(error) => {
                log::debug!("event=configuration_unread error={:?}", error.to_string());
                actix_rt::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

fn publish(
    inputs: &control::InputSender,
    limits: &rc::Rc<cell::Cell<configuration::RequestLimits>>,
    value: &Bytes,
) {
    match configuration::decode(value) {
        Ok((configuration, new_limits)) => {
            limits.set(new_limits);
            inputs.send(input::Input::Configuration(Box::new(configuration)));
        }
        Err(error) => {
            log::error!("event=configuration_unreadable error={:?}", error.to_string());
        }
    }
}

/// Follows a keyed topic: first the newest record of each key, then the records as they come.
pub struct TopicReader {
    topic: &'static str,
    next: Option<u64>,
}

/// What one reading of a keyed topic has brought.
pub struct TopicUpdate {
    /// Whether the records are all keys' newest ones.
    pub is_snapshot: bool,
    /// Keys and values in order.
    pub records: Vec<(String, Bytes)>,
}

impl TopicReader {
    /// A follower that has read nothing.
    pub fn new(topic: &'static str) -> Self {
        TopicReader { topic, next: None }
    }

    /// Reads what is new; waits up to `wait` for it.
    ///
    /// # Errors
    ///
    /// A store that refuses or does not answer.
    pub async fn read(
        &mut self,
        store: &store::StoreClient,
        wait: time::Duration,
    ) -> Result<TopicUpdate, store::StoreError> {
        let Some(next) = self.next else { return self.read_newest(store).await };
        match store.read_raw(self.topic, 0, next, wait).await {
            Ok(page) => {
                self.next = Some(next + page.records.len() as u64);
                Ok(TopicUpdate { is_snapshot: false, records: self.split(&page.records) })
            }
            Err(store::StoreError::Expired { .. }) => self.read_newest(store).await,
            Err(error) => Err(error),
        }
    }

    async fn read_newest(
        &mut self,
        store: &store::StoreClient,
    ) -> Result<TopicUpdate, store::StoreError> {
        let page = store.read_newest(self.topic).await?;
        self.next = Some(page.end);
        let records = page.records.into_iter().map(|item| (item.key, item.value)).collect();
        Ok(TopicUpdate { is_snapshot: true, records })
    }

    fn split(&self, raw: &[Bytes]) -> Vec<(String, Bytes)> {
        let mut records = Vec::new();
        for record in raw {
            match records::decode_keyed(record) {
                Ok(record) => records.push(record),
                Err(error) => {
                    let topic = self.topic;
                    log::warn!(
                        "event=record_unreadable topic={topic} error={:?}",
                        error.to_string()
                    );
                }
            }
        }
        records
    }
}
