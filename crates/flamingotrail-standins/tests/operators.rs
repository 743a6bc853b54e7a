//! Failures that operators of similar systems have met, caused to gateway processes on loopback.
//! `docs/incidents/operators.md` says for each whether it can happen here.

use std::io::Read as _;
use std::io::Write as _;
use std::net;
use std::thread;
use std::time;

use flamingotrail_standins::fleet::caller;
use flamingotrail_standins::fleet::gateways;
use flamingotrail_standins::fleet::platform;
use flamingotrail_standins::fleet::runner;
use flamingotrail_standins::fleet::small;

/// A fleet with one gateway.
struct Fleet {
    small: small::Fleet,
    gateway: gateways::Gateway,
}

fn start_fleet(name: &str) -> Fleet {
    let small = small::start(name).expect("no free port");
    let gateway = small.start_gateway("one");
    Fleet { small, gateway }
}

impl Fleet {
    fn call(&self, method: &str, path: &str, id: &str, deadline_ms: &str) -> caller::Response {
        let headers = [
            ("Request-Id", id),
            ("Program-Id", id),
            ("Token-Usage", "100,24"),
            ("Deadline-Ms", deadline_ms),
        ];
        caller::call(self.gateway.caller_address, method, path, &headers, "").expect("no response")
    }

    /// Checks that the gateway still serves calls and turns.
    fn assert_serves(&self) {
        let tool = self.call("GET", "/look/1", "after", "3000");
        let turn = self.call("POST", "/chat/1", "after-turn", "3000");
        assert_eq!((tool.status, turn.status), (200, 200), "{} {}", tool.text, turn.text);
    }
}

/// Sends `bytes` to `address` and reads until the connection ends or nothing comes for 300 ms.
fn send_raw(address: net::SocketAddr, bytes: &[u8]) {
    let mut stream = net::TcpStream::connect(address).expect("connected");
    stream.set_read_timeout(Some(time::Duration::from_millis(300))).expect("set");
    let mut response = Vec::new();
    // The gateway may close the connection at any byte.
    if stream.write_all(bytes).is_err() || stream.read_to_end(&mut response).is_err() {
        println!("the connection has ended early");
    }
}

// Guards against the late copy of a response on a connection that is in use again: the next caller
// gets the response of the one before.
#[test]
fn late_copy_of_a_response_reaches_nobody() {
    for omits_ids in [false, true] {
        let fleet = start_fleet(&format!("late-copy-{omits_ids}"));
        fleet.small.plain.send_late_copies(omits_ids);

        for number in 0..4 {
            let id = format!("r{number}");
            let response = fleet.call("GET", "/look/1", &id, "3000");

            let is_own = response.text.ends_with(&format!("done {id}"));
            assert!(response.status != 200 || is_own, "{id}: {}", response.text);
        }
    }
}

// Guards against a stream that is cut because it is slow, though each of its events comes.
#[test]
fn slow_sound_stream_is_not_cut() {
    let fleet = start_fleet("slow-stream");
    fleet.small.model.set_delay(time::Duration::from_millis(800));

    let response = fleet.call("POST", "/chat/1", "a", "5900");

    assert!(response.is_complete(), "{}", response.text);
    assert_eq!(response.text.matches("data: w").count(), small::EVENTS_PER_RESPONSE);
}

// Guards against a stream that sends a byte now and then and never ends.
#[test]
fn dripping_stream_ends_at_the_deadline() {
    let fleet = start_fleet("dripping-stream");
    fleet.small.model.set_delay(time::Duration::from_millis(700));

    let start = time::Instant::now();
    let response = fleet.call("POST", "/chat/1", "a", "1500");

    assert!(!response.is_complete(), "{}", response.text);
    assert!(start.elapsed() < time::Duration::from_millis(2_500), "{:?}", start.elapsed());
}

// Guards against a request whose body never ends: each byte comes in time.
#[test]
fn dripping_request_ends_at_its_deadline() {
    let fleet = start_fleet("dripping-request");
    let mut stream = net::TcpStream::connect(fleet.gateway.caller_address).expect("connected");
    let head = "POST /book/1 HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: a\r\n\
                Deadline-Ms: 1000\r\nContent-Length: 1000\r\n\r\n";
    stream.write_all(head.as_bytes()).expect("sent");
    let mut reader = stream.try_clone().expect("cloned");
    let response = thread::spawn(move || {
        let mut text = String::new();
        let ended = reader.read_to_string(&mut text);
        (text, ended.is_ok())
    });

    let start = time::Instant::now();
    let mut is_open = true;
    while is_open && start.elapsed() < time::Duration::from_secs(4) {
        thread::sleep(time::Duration::from_millis(100));
        is_open = !response.is_finished() && stream.write_all(b"x").is_ok();
    }

    assert!(!is_open, "the gateway still reads");
    let (text, _) = response.join().expect("no panic");
    assert!(text.starts_with("HTTP/1.1 408"), "{text}");
    assert!(fleet.small.plain.requests().is_empty());
}

// Guards against a value of a response that overflows: a runner's `Keep-Alive` ended the process.
#[test]
fn extreme_values_of_a_runner_do_not_end_the_process() {
    let fleet = start_fleet("extreme-runner");
    for value in ["timeout=18446744073709551615", "timeout=-1", "timeout=1e400", "max=0"] {
        fleet.small.plain.set_keep_alive(value);
        for number in 0..3 {
            let response = fleet.call("GET", "/look/1", &format!("{value}-{number}"), "3000");
            assert_eq!(response.status, 200, "{value}: {}", response.text);
        }
    }
    fleet.small.plain.set_limit(Some(f64::MAX));
    fleet.assert_serves();
}

#[test]
fn extreme_values_of_a_caller_do_not_end_the_process() {
    let fleet = start_fleet("extreme-caller");
    let max = u64::MAX.to_string();
    let usage = format!("{max},{max}");
    let prompt = format!("ffffffffffffffff:{max},1:{max},2:{max}");
    for path in ["/chat/1", "/ask/1", "/resume/1"] {
        let headers = [
            ("Request-Id", "a"),
            ("Program-Id", "p"),
            ("Token-Budget", &*max),
            ("Token-Usage", &*usage),
            ("Prompt-Prefix", &*prompt),
            ("Deadline-Ms", &*max),
            ("Last-Event-Id", &*max),
        ];
        let response = caller::call(fleet.gateway.caller_address, "POST", path, &headers, "x");
        assert!(response.expect("a response").status != 0, "{path}");
    }
    fleet.assert_serves();
}

#[test]
fn malformed_messages_do_not_end_the_process() {
    let fleet = start_fleet("malformed");
    let post = |path: &str, body: &[u8]| {
        let head =
            format!("POST {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\n\r\n", body.len());
        [head.as_bytes(), body].concat()
    };
    let bodies: [&[u8]; 4] = [b"", b"\xff\xff\xff\xff", b"\x95\xc0\xc0", &[0xdf; 64]];
    for address in [fleet.gateway.link_address, fleet.gateway.caller_address] {
        send_raw(address, b"\0\0\0\0\0");
        send_raw(address, b"GET / HTTP/9.9\r\n\r\n");
        send_raw(address, &[b'x'; 100_000]);
        for body in bodies {
            for path in ["/v1/alive", "/v1/records", "/v1/notices", "/v1/turns/%ff"] {
                send_raw(address, &post(path, body));
            }
        }
    }
    for value in ["", "{", "[]", "{\"version\":1e400}", "{\"version\":-1,\"routes\":{}}"] {
        fleet.small.store.set("keyed.op", "config", value);
        fleet.small.store.set("keyed.servers", "bad", value);
        fleet.small.store.set("keyed.gateways", "bad", value);
    }
    thread::sleep(time::Duration::from_millis(1_500));

    fleet.assert_serves();
}

/// Values of list entries by another writer, none of which names an endpoint to use.
fn odd_entries(address: net::SocketAddr) -> Vec<String> {
    let nested = "[".repeat(100_000);
    let closed = format!("{nested}{}", "]".repeat(100_000));
    let entry = |slots: &str, address: &str, extra: &str| {
        format!(
            "{{\"service\":\"plain\",\"address\":\"{address}\",\"zone\":\"north-a\",\"slots\":{slots},\
             \"state\":\"ready\",\"sequence\":1{extra}}}"
        )
    };
    let address = address.to_string();
    vec![
        nested.clone(),
        closed.clone(),
        "{\"a\":".repeat(100_000),
        entry("8", &address, &format!(",\"a\":{nested}")),
        entry(&closed, &address, ""),
        entry("1e400", &address, ""),
        entry("99999999999999999999999", &address, ""),
        entry("-1", &address, ""),
        entry("8", &address, ",\"born\":99999999999999999999999"),
        entry("8", &address, ",\"cold_remaining_ms\":1e400"),
        entry("8", "127.0.0.1:99999", ""),
        entry("8", "127.0.0.1:-1", ""),
        entry("8", "127.0.0.1", ""),
        entry("8", "", ""),
        "\u{0}".to_owned(),
        "null".to_owned(),
    ]
}

/// Checks that a running gateway and one that starts now serve, follow the list when it changes, and
/// send nothing to `foreign`, which only odd entries name.
fn assert_follows_list(fleet: &Fleet, foreign: &runner::Runner) {
    let started_later = fleet.small.start_gateway("two");
    thread::sleep(time::Duration::from_millis(1_500));
    fleet.assert_serves();
    let later = runner::Runner::new();
    let address = later.serve_plain().expect("no free port");
    fleet.small.store.set("keyed.servers", "p-2", &platform::runner_entry("plain", address));
    fleet.small.store.set("keyed.servers", "p-1", "");
    thread::sleep(time::Duration::from_millis(1_500));

    for gateway in [&fleet.gateway, &started_later] {
        let headers = [("Request-Id", "last"), ("Deadline-Ms", "3000")];
        let response = caller::call(gateway.caller_address, "GET", "/look/1", &headers, "");
        assert_eq!(response.expect("a response").status, 200);
    }

    assert_eq!(later.requests().len(), 2, "both gateways follow the list");
    assert!(foreign.requests().is_empty(), "an odd entry names no endpoint");
}

// Guards against one odd entry of another writer that ends the processes that read the list, or keeps
// them from following it.
#[test]
fn odd_entries_of_the_list_name_no_endpoint() {
    let fleet = start_fleet("odd-entries");
    let foreign = runner::Runner::new();
    let address = foreign.serve_plain().expect("no free port");
    for (number, entry) in odd_entries(address).iter().enumerate() {
        fleet.small.store.set("keyed.servers", &format!("odd-{number}"), entry);
    }

    assert_follows_list(&fleet, &foreign);
}

// Guards against keys of another writer that become headers of requests.
#[test]
fn odd_keys_of_the_list_name_no_endpoint() {
    let fleet = start_fleet("odd-keys");
    let foreign = runner::Runner::new();
    let address = foreign.serve_plain().expect("no free port");
    for key in ["", " ", "p 9", "p-9\r\nInjected: 1", "p-\u{fc}", "p-9\u{7f}"] {
        fleet.small.store.set("keyed.servers", key, &platform::runner_entry("plain", address));
    }

    assert_follows_list(&fleet, &foreign);
}

// Guards against a list of more than a page whose keys make the request for the next one invalid: a
// gateway that starts then is never ready.
#[test]
fn long_list_with_odd_keys_is_read_to_its_end() {
    let small = small::start("long-list").expect("no free port");
    for number in 0..600 {
        small.store.set("keyed.servers", &format!("a&b=c %2{number:03} d"), "{}");
    }

    let gateway = small.start_gateway("one");

    let fleet = Fleet { small, gateway };
    fleet.assert_serves();
}
