//! What gateways save in the store of requests that crash endpoints: each has a record of its own, and reads
//! those of all when it starts.

use std::rc;
use std::time;

use flamingotrail_adapter::idle;
use flamingotrail_adapter::store;
use flamingotrail_gateway::ids;
use flamingotrail_gateway::input;
use flamingotrail_gateway::tables::crashes;
use flamingotrail_wire::gateway as wire;

use crate::gateway::control;
use crate::gateway::peers::ok_or_log;

/// Status (404) of a topic to which nothing was written.
const NOT_FOUND: u16 = 404;
/// Delay after a failed read.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(500);

/// Loads the records of all gateways, as soon as the store can be read.
pub async fn load(store: rc::Rc<store::StoreClient>, inputs: control::InputSender) {
    loop {
        match store.read_newest(store::CRASH_TOPIC, idle::Reuse::Never).await {
            Ok(page) => {
                let (old, records): (Vec<_>, Vec<_>) = decode(page.records)
                    .into_iter()
                    .partition(|(_, record)| crashes::is_expired(record));
                let records = records.into_iter().map(|(_, record)| record).collect();
                inputs.send(input::Input::SavedCrashes(records));
                remove(&store, old.into_iter().map(|(key, _)| key)).await;
                return;
            }
            Err(store::StoreError::Refused { status: NOT_FOUND, .. }) => {
                inputs.send(input::Input::SavedCrashes(Vec::new()));
                return;
            }
            Err(error) => {
                log::debug!("event=saved_crashes_read_failed error={:?}", error.to_string());
                actix_rt::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

fn decode(records: Vec<store::NewestRecord>) -> Vec<(String, input::CrashRecord)> {
    let now = wire::UnixTime::now();
    let decoded = records.into_iter().filter_map(|record| {
        let value = ok_or_log(wire::decode_crash_record(&record.value, now))?;
        Some((record.key, value))
    });
    decoded.collect()
}

/// Removes records, such as those of gateways that were replaced. Tries once: the next gateway that starts
/// finds what is left.
async fn remove(store: &store::StoreClient, keys: impl Iterator<Item = String>) {
    for key in keys {
        if let Err(error) = store.put(store::CRASH_TOPIC, &key, b"").await {
            log::debug!("event=saved_crashes_not_removed error={:?}", error.to_string());
        }
    }
}

/// Saves the record of gateway `name`; removes it if there is nothing to save.
pub fn save(
    store: rc::Rc<store::StoreClient>,
    inputs: control::InputSender,
    name: ids::InstanceName,
    record: &input::CrashRecord,
) {
    let is_empty = record.crashes.is_empty() && record.losses.is_empty();
    let value = if is_empty {
        Some(Vec::new())
    } else {
        ok_or_log(wire::encode_crash_record(record, wire::UnixTime::now()))
    };
    let Some(value) = value else { return };
    actix_rt::spawn(async move {
        let result = store.put(store::CRASH_TOPIC, name.as_str(), &value).await;
        if let Err(error) = &result {
            log::debug!("event=crashes_not_saved error={:?}", error.to_string());
        }
        inputs.send(input::Input::CrashesSaved(result.is_ok()));
    });
}
