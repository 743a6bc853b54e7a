//! Link addresses of other instances, as listed by the platform and as advertised by the instances
//! themselves.

use std::collections;
use std::net;
use std::sync;

use flamingotrail_core::ids;
use flamingotrail_core::input;

/// Addresses by instance name, shared between threads.
#[derive(Clone, Default)]
pub struct AddressBook {
    rows: sync::Arc<sync::Mutex<collections::BTreeMap<ids::InstanceName, Addresses>>>,
}

/// The known addresses of one instance.
#[derive(Clone, Copy, Debug, Default)]
struct Addresses {
    listed: Option<net::SocketAddr>,
    advertised: Option<net::SocketAddr>,
}

impl AddressBook {
    /// Creates an empty address book.
    pub fn new() -> Self {
        AddressBook::default()
    }

    fn lock_rows(
        &self,
    ) -> sync::MutexGuard<'_, collections::BTreeMap<ids::InstanceName, Addresses>> {
        self.rows.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Stores the addresses in the instance list. Skips addresses that can't be parsed.
    pub fn update_from_list(&self, list: &[input::ListedInstance]) {
        let mut rows = self.lock_rows();
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

    /// Stores the address that an instance advertised for itself.
    pub fn set_advertised(&self, instance: &ids::InstanceName, address: net::SocketAddr) {
        self.lock_rows().entry(instance.clone()).or_default().advertised = Some(address);
    }

    /// Returns the address of `instance`. The advertised address takes precedence over the listed
    /// one, because the list lags.
    pub fn lookup(&self, instance: &ids::InstanceName) -> Option<net::SocketAddr> {
        let rows = self.lock_rows();
        let row = rows.get(instance)?;
        row.advertised.or(row.listed)
    }
}
