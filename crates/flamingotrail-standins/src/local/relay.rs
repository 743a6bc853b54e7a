//! A UDP relay in front of a process's links, so that a test can cut them.

use std::collections;
use std::net;
use std::sync;
use std::sync::atomic;

use tokio::net::UdpSocket;

use crate::http;

/// Size of the receive buffers; covers the largest UDP datagram.
const MAX_DATAGRAM: usize = 65_536;

/// Addresses of the links that are cut; clones share their state.
#[derive(Clone, Default)]
pub struct CutLinks {
    cut_addresses: sync::Arc<sync::Mutex<collections::BTreeSet<net::SocketAddr>>>,
    dropped_datagrams: sync::Arc<atomic::AtomicU64>,
}

impl CutLinks {
    /// Creates the state in which no link is cut.
    pub fn new() -> Self {
        CutLinks::default()
    }

    /// Cuts or restores the links of a process.
    pub fn set(&self, link: net::SocketAddr, cut: bool) {
        let mut addresses = http::lock(&self.cut_addresses);
        if cut {
            addresses.insert(link);
        } else {
            addresses.remove(&link);
        }
    }

    /// Returns the number of datagrams dropped so far.
    pub fn dropped_datagrams(&self) -> u64 {
        self.dropped_datagrams.load(atomic::Ordering::Relaxed)
    }

    fn should_drop(&self, sender: net::SocketAddr, target: net::SocketAddr) -> bool {
        let addresses = http::lock(&self.cut_addresses);
        let is_cut = addresses.contains(&sender) || addresses.contains(&target);
        if is_cut {
            self.dropped_datagrams.fetch_add(1, atomic::Ordering::Relaxed);
        }
        is_cut
    }
}

/// Relays datagrams between the senders to `listen` and the process at `target`.
///
/// # Errors
///
/// Returns an error if `listen` can't be bound.
pub async fn start(
    listen: net::SocketAddr,
    target: net::SocketAddr,
    cut_links: CutLinks,
) -> std::io::Result<()> {
    let listener = sync::Arc::new(UdpSocket::bind(listen).await?);
    actix_rt::spawn(async move {
        let mut upstreams: collections::BTreeMap<net::SocketAddr, sync::Arc<UdpSocket>> =
            collections::BTreeMap::new();
        let mut buf = vec![0; MAX_DATAGRAM];
        loop {
            let Ok((size, sender)) = listener.recv_from(&mut buf).await else {
                continue;
            };
            if cut_links.should_drop(sender, target) {
                continue;
            }
            let upstream = match upstreams.get(&sender) {
                Some(upstream) => upstream.clone(),
                None => {
                    match open_upstream(listener.clone(), sender, target, cut_links.clone()).await {
                        Ok(upstream) => upstreams.entry(sender).or_insert(upstream).clone(),
                        Err(_) => continue,
                    }
                }
            };
            let _ = upstream.send(&buf[..size]).await;
        }
    });
    Ok(())
}

/// Opens a socket to the process for one sender and spawns a task that relays datagrams
/// back to it.
async fn open_upstream(
    listener: sync::Arc<UdpSocket>,
    sender: net::SocketAddr,
    target: net::SocketAddr,
    cut_links: CutLinks,
) -> std::io::Result<sync::Arc<UdpSocket>> {
    let upstream = sync::Arc::new(UdpSocket::bind((net::Ipv4Addr::LOCALHOST, 0)).await?);
    upstream.connect(target).await?;
    let reader = upstream.clone();
    actix_rt::spawn(async move {
        let mut buf = vec![0; MAX_DATAGRAM];
        let mut failures = 0;
        const MAX_FAILURES: u32 = 1000;
        while failures < MAX_FAILURES {
            match reader.recv(&mut buf).await {
                Ok(size) if !cut_links.should_drop(sender, target) => {
                    let _ = listener.send_to(&buf[..size], sender).await;
                }
                Ok(_) => {}
                // The process may not be running, for example if the connection is refused.
                Err(_) => failures += 1,
            }
        }
    });
    Ok(upstream)
}
