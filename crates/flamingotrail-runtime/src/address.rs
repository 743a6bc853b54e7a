//! Addresses of other processes, from the platform's list and from their own word.

use std::collections;
use std::net;
use std::sync;

use flamingotrail_core::ids;
use flamingotrail_core::input;

/// Addresses by instance, shared between threads.
#[derive(Clone, Default)]
pub struct AddressBook {
    rows: sync::Arc<sync::Mutex<collections::BTreeMap<ids::InstanceName, Addresses>>>,
}

/// What is known of one instance's address.
#[derive(Clone, Copy, Debug, Default)]
struct Addresses {
    listed: Option<net::SocketAddr>,
    told: Option<net::SocketAddr>,
}

impl AddressBook {
    /// An empty book.
    pub fn new() -> Self {
        AddressBook::default()
    }

    fn rows(&self) -> sync::MutexGuard<'_, collections::BTreeMap<ids::InstanceName, Addresses>> {
        self.rows.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Takes over the addresses of the list.
    pub fn update_from_list(&self, list: &[input::ListedInstance]) {
        let mut rows = self.rows();
        for listed in list {
            let Ok(address) = listed.address.parse() else {
                log::warn!(
                    "event=address_skipped peer={} address={:?}",
                    listed.instance,
                    listed.address
                );
                continue;
            };
            rows.entry(listed.instance.clone()).or_default().listed = Some(address);
        }
    }

    /// Notes the address that an instance told itself.
    pub fn set_advertised(&self, instance: &ids::InstanceName, address: net::SocketAddr) {
        self.rows().entry(instance.clone()).or_default().told = Some(address);
    }

    /// Address of `instance`: its own word goes before the list, which lags.
    pub fn lookup(&self, instance: &ids::InstanceName) -> Option<net::SocketAddr> {
        let rows = self.rows();
        let row = rows.get(instance)?;
        row.told.or(row.listed)
    }
}
