//! The list of gateways: each process registers itself there, and watches the entries of all.

use std::collections;
use std::rc;
use std::time;

use bytes::Bytes;
use flamingotrail_adapter::store;
use flamingotrail_gateway::ids;
use flamingotrail_gateway::input;
use flamingotrail_gateway::tables::peers;
use flamingotrail_wire::gateway as wire;

use crate::gateway::control;
use crate::gateway::peers::ok_or_log;
use crate::gateway::watch;

/// Timeout for the removal of an entry, which a process that ends waits for.
const UNREGISTER_TIMEOUT: time::Duration = time::Duration::from_millis(200);
/// Long-poll wait of a read of the gateways' entries. With the response timeout and the retry delay, a
/// read on a silent connection has failed and the next one has begun within 4 s.
const CHANGE_WAIT: time::Duration = time::Duration::from_millis(2_500);
/// Delay after a failed read or write of entries.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(500);

/// Lists this process as a gateway, again if its entry is removed, and watches the entries of all
/// gateways until the process exits.
pub async fn register_and_watch(
    store: rc::Rc<store::StoreClient>,
    inputs: control::InputSender,
    name: ids::InstanceName,
    own_entry: peers::Peer,
) {
    register(&store, &name, &own_entry).await;
    let mut reader = watch::TopicReader::new(store::GATEWAY_TOPIC);
    let mut rows = collections::BTreeMap::new();
    loop {
        match reader.read(&store, CHANGE_WAIT).await {
            Ok(update) => {
                if update.is_snapshot {
                    rows.clear();
                }
                for (key, value) in update.records {
                    apply_entry(&mut rows, &key, &value);
                }
                let is_listed = rows.contains_key(&name);
                inputs.send(input::Input::Peers(rows.clone()));
                if !is_listed {
                    log::info!("event=own_entry_missing");
                    register(&store, &name, &own_entry).await;
                }
            }
            Err(error) => {
                log::debug!("event=peer_list_read_failed error={:?}", error.to_string());
                actix_rt::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

fn apply_entry(
    rows: &mut collections::BTreeMap<ids::InstanceName, peers::Peer>,
    key: &str,
    value: &Bytes,
) {
    let name = ids::InstanceName::new(key);
    if value.is_empty() {
        rows.remove(&name);
    } else if let Some(peer) = ok_or_log(wire::decode_peer(value)) {
        rows.insert(name, peer);
    }
}

async fn register(store: &store::StoreClient, name: &ids::InstanceName, own_entry: &peers::Peer) {
    let value = match wire::encode_peer(own_entry) {
        Ok(value) => value,
        Err(error) => {
            log::error!("event=peer_entry_encoding_failed error={:?}", error.to_string());
            return;
        }
    };
    while let Err(error) = store.put(store::GATEWAY_TOPIC, name.as_str(), &value).await {
        log::debug!("event=peer_entry_write_failed error={:?}", error.to_string());
        actix_rt::time::sleep(RETRY_DELAY).await;
    }
}

/// Removes a gateway from the list. Tries once: a gateway that is still listed is found by others.
pub async fn unregister(store: &store::StoreClient, name: &ids::InstanceName) {
    let removed = store.put(store::GATEWAY_TOPIC, name.as_str(), b"");
    match tokio::time::timeout(UNREGISTER_TIMEOUT, removed).await {
        Ok(Ok(_)) => log::info!("event=peer_entry_removed peer={name}"),
        Ok(Err(error)) => {
            log::warn!("event=peer_entry_removal_failed peer={name} error={:?}", error.to_string());
        }
        Err(_) => log::warn!("event=peer_entry_removal_timed_out peer={name}"),
    }
}
