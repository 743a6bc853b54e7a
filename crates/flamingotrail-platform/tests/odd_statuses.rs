//! Status lines of services that are none.

use std::net;
use std::time;

use flamingotrail_core::digest;
use flamingotrail_core::ids;
use flamingotrail_core::messages;
use flamingotrail_core::work;
use flamingotrail_platform::endpoint::Endpoint as _;
use flamingotrail_platform::service;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;

/// Starts a service that responds to each request with `line` and an empty body.
async fn serve(line: &'static str) -> net::SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    actix_rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut buf = [0; 4_096];
            let read = stream.read(&mut buf).await;
            assert!(read.is_ok_and(|count| count > 0), "a request");
            let response = format!("{line}\r\nContent-Length: 0\r\n\r\n");
            stream.write_all(response.as_bytes()).await.expect("written");
        }
    });
    address
}

fn dispatch() -> messages::Dispatch {
    let partition = ids::Partition::new(&ids::RegionName::new("vestland"), 0);
    let conversation = ids::ConversationId::new(&partition, 1);
    let timeout = time::Duration::from_secs(2);
    messages::Dispatch {
        attempt: ids::AttemptId {
            call: ids::CallKey { conversation, turn: 1 },
            epoch: ids::Epoch(1),
            number: 1,
        },
        workspace: ids::WorkspaceName::new("desk"),
        program: ids::ProgramId::new(&partition, 1),
        attained: work::Cost::default(),
        time_left: timeout,
        fingerprint: digest::Digest::default(),
        expected_prefill: 0,
        job: messages::Job::Service {
            service: ids::ServiceName::new("ledger"),
            operation: "book".to_owned(),
            body: "{}".to_owned(),
            idempotency_key: "k".to_owned(),
            timeout,
        },
    }
}

// Guards against bytes of a service in trouble that a program gets as the answer to its call.
#[actix_rt::test]
async fn status_that_is_none_breaks_the_call() {
    for line in ["HTTP/1.1 000 OK", "HTTP/1.1 099 OK", "HTTP/1.1 600 Odd", "HTTP/1.1 999 Odd"] {
        let address = serve(line).await;
        let service = service::HttpService::new(&format!("http://{address}"));

        let outcome = service.run(&dispatch(), None, Box::new(|_| {})).await;

        assert!(matches!(outcome, work::AttemptOutcome::Broken { .. }), "{line}: {outcome:?}");
    }
}
