//! A small UDP relay in front of a process's links, so that a test can cut them.

use std::collections;
use std::net;
use std::sync;
use std::sync::atomic;

use tokio::net::UdpSocket;

use crate::http;

/// Largest datagram, in bytes.
const MAX_DATAGRAM: usize = 65_536;

/// Which processes are cut off, by the address of their links.
#[derive(Clone, Default)]
pub struct CutLinks {
    cut: sync::Arc<sync::Mutex<collections::BTreeSet<net::SocketAddr>>>,
    dropped: sync::Arc<atomic::AtomicU64>,
}

impl CutLinks {
    /// Nothing is cut.
    pub fn new() -> Self {
        CutLinks::default()
    }

    /// CutLinks a process off, or joins it again.
    pub fn set(&self, link: net::SocketAddr, cut: bool) {
        let mut set = http::lock(&self.cut);
        if cut {
            set.insert(link);
        } else {
            set.remove(&link);
        }
    }

    /// Datagrams dropped so far.
    pub fn dropped_datagrams(&self) -> u64 {
        self.dropped.load(atomic::Ordering::Relaxed)
    }

    fn is_cut(&self, a: net::SocketAddr, b: net::SocketAddr) -> bool {
        let set = http::lock(&self.cut);
        let cut = set.contains(&a) || set.contains(&b);
        if cut {
            self.dropped.fetch_add(1, atomic::Ordering::Relaxed);
        }
        cut
    }
}

/// Relays datagrams between whoever sends to `listen` and the process at `to`.
///
/// # Errors
///
/// An address that can't be used.
pub async fn start(
    listen: net::SocketAddr,
    to: net::SocketAddr,
    cuts: CutLinks,
) -> std::io::Result<()> {
    let front = sync::Arc::new(UdpSocket::bind(listen).await?);
    actix_rt::spawn(async move {
        let mut backs: collections::BTreeMap<net::SocketAddr, sync::Arc<UdpSocket>> =
            collections::BTreeMap::new();
        let mut buf = vec![0; MAX_DATAGRAM];
        loop {
            let Ok((size, from)) = front.recv_from(&mut buf).await else {
                continue;
            };
            if cuts.is_cut(from, to) {
                continue;
            }
            let back = match backs.get(&from) {
                Some(back) => back.clone(),
                None => match open_back(front.clone(), from, to, cuts.clone()).await {
                    Ok(back) => backs.entry(from).or_insert(back).clone(),
                    Err(_) => continue,
                },
            };
            let _ = back.send(&buf[..size]).await;
        }
    });
    Ok(())
}

/// A socket towards the process for one sender, and a task that carries answers back.
async fn open_back(
    front: sync::Arc<UdpSocket>,
    from: net::SocketAddr,
    to: net::SocketAddr,
    cuts: CutLinks,
) -> std::io::Result<sync::Arc<UdpSocket>> {
    let back = sync::Arc::new(UdpSocket::bind((net::Ipv4Addr::LOCALHOST, 0)).await?);
    back.connect(to).await?;
    let reader = back.clone();
    actix_rt::spawn(async move {
        let mut buf = vec![0; MAX_DATAGRAM];
        let mut failures = 0;
        const MAX_FAILURES: u32 = 1000;
        while failures < MAX_FAILURES {
            match reader.recv(&mut buf).await {
                Ok(size) if !cuts.is_cut(from, to) => {
                    let _ = front.send_to(&buf[..size], from).await;
                }
                Ok(_) => {}
                // The process is not there at the moment.
                Err(_) => failures += 1,
            }
        }
    });
    Ok(back)
}
