//! Connections to the log that go silent without being closed.

use std::cell;
use std::net;
use std::rc;
use std::time;

use flamingotrail_core::ids;
use flamingotrail_platform::log_service;
use flamingotrail_platform::log_service::LogService as _;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;

const PAGE: &str = "{\"start\":0,\"next\":0,\"end\":0,\"entries\":[]}";
/// Number of reads at once, each of which needs a connection.
const READS: usize = 8;

/// A log whose open connections go silent when `silences` grows.
#[derive(Clone, Default)]
struct Log {
    silences: rc::Rc<cell::Cell<usize>>,
}

impl Log {
    async fn serve(&self) -> net::SocketAddr {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let log = self.clone();
        actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                actix_rt::spawn(log.clone().serve_connection(stream));
            }
        });
        address
    }

    async fn serve_connection(self, mut stream: tokio::net::TcpStream) {
        let opened_at = self.silences.get();
        let mut buf = [0; 4_096];
        while stream.read(&mut buf).await.is_ok_and(|count| count > 0) {
            tokio::time::sleep(time::Duration::from_millis(50)).await;
            if self.silences.get() != opened_at {
                continue;
            }
            let length = PAGE.len();
            let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{PAGE}");
            stream.write_all(response.as_bytes()).await.expect("written");
        }
    }
}

async fn read(service: &log_service::HttpLogService) -> bool {
    let stream = ids::StreamName::new("s");
    service.read(&stream, ids::Offset(0), time::Duration::ZERO).await.is_some()
}

// Guards against reads and appends that wait for one silent connection after the other.
#[actix_rt::test]
async fn one_request_is_lost_to_connections_that_went_silent() {
    let log = Log::default();
    let address = log.serve().await;
    let service = rc::Rc::new(log_service::HttpLogService::new(&format!("http://{address}")));
    let reads: Vec<_> = (0..READS)
        .map(|_| {
            let service = service.clone();
            actix_rt::spawn(async move { read(&service).await })
        })
        .collect();
    for done in reads {
        assert!(done.await.expect("no panic"));
    }

    log.silences.set(1);
    let results = [read(&service).await, read(&service).await, read(&service).await];

    assert_eq!(results, [false, true, true]);
}
