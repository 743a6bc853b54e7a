//! Engines that send bytes without end.

use std::io::Read as _;
use std::io::Write as _;
use std::net;
use std::thread;
use std::time;

use flamingotrail_core::digest;
use flamingotrail_core::ids;
use flamingotrail_core::messages;
use flamingotrail_core::work;
use flamingotrail_platform::endpoint;
use flamingotrail_platform::engine;

/// Deadline of the calls.
const TIME_LEFT: time::Duration = time::Duration::from_secs(20);
/// Number of bytes after which the engine ends all the same, so that a test ends.
const MAX_SENT_BYTES: usize = 256 << 20;

/// Starts an engine that responds with `start`, and then with `repeated` until the connection ends.
fn start_engine(start: &'static str, repeated: &'static str) -> net::SocketAddr {
    let listener = net::TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut buf = [0; 4096];
        let read = stream.read(&mut buf).expect("a request");
        assert!(read > 0, "the connection ended without a request");
        let block = repeated.repeat(64 * 1024 / repeated.len());
        let mut written = stream.write_all(start.as_bytes());
        for _ in 0..MAX_SENT_BYTES / block.len() {
            if written.is_err() {
                return;
            }
            written = stream.write_all(block.as_bytes());
        }
    });
    address
}

fn dispatch() -> messages::Dispatch {
    let partition = ids::Partition::new(&ids::RegionName::new("vestland"), 0);
    let conversation = ids::ConversationId::new(&partition, 1);
    messages::Dispatch {
        attempt: ids::AttemptId {
            call: ids::CallKey { conversation, turn: 1 },
            epoch: ids::Epoch(1),
            number: 1,
        },
        workspace: ids::WorkspaceName::new("desk"),
        program: ids::ProgramId::new(&partition, 1),
        attained: work::Cost::default(),
        time_left: TIME_LEFT,
        fingerprint: digest::Digest::default(),
        expected_prefill: 0,
        job: messages::Job::Model {
            model: ids::ModelName::new("m"),
            messages: Vec::new(),
            prefix: String::new(),
            max_tokens: 8,
            budget_bound: false,
            hold: None,
            replaces: None,
        },
    }
}

// Guards against an engine whose stream does not end, or not within an event, and so fills the
// memory of the process beside it until the deadline of the call.
#[test]
fn endless_stream_is_cut_off() {
    // One chunk of a gigabyte.
    const HEAD: &str = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\
                        Transfer-Encoding: chunked\r\n\r\n40000000\r\n";
    const EVENT: &str = "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"w\"}}]}\n\n";
    for repeated in [EVENT, "data: x\n"] {
        let address = start_engine(HEAD, repeated);
        let client = engine::HttpEngine::new(&format!("http://{address}"));
        let start = time::Instant::now();

        let outcome = actix_rt::System::new().block_on(async {
            endpoint::Endpoint::run(&client, &dispatch(), None, Box::new(|_| {})).await
        });

        assert!(matches!(outcome, work::AttemptOutcome::Broken { .. }), "{repeated:?}");
        assert!(start.elapsed() < TIME_LEFT / 2, "{repeated:?}: {:?}", start.elapsed());
    }
}
