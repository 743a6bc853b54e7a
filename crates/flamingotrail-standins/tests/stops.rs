//! Planned stops of gateway processes in calm: what is taken late is answered whole or refused as not run
//! within the grace period, and nothing is cut.

use std::io;
use std::io::Read as _;
use std::io::Write as _;
use std::net;
use std::sync;
use std::thread;
use std::time;

use flamingotrail_standins::fleet::caller;
use flamingotrail_standins::fleet::gateways;
use flamingotrail_standins::fleet::small;

/// Grace period of the gateways, as their settings say.
const GRACE: time::Duration = time::Duration::from_secs(8);
/// Deadline that callers name: beyond the grace period, and limited by the route to 6 s.
const DEADLINE_MS: &str = "20000";

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
    fn book(&self, id: &str) -> caller::Response {
        let headers = [("Request-Id", id), ("Deadline-Ms", DEADLINE_MS)];
        caller::call(self.gateway.caller_address, "POST", "/book/1", &headers, "")
            .expect("no response")
    }

    /// Tells the gateway to stop.
    fn stop(&self) -> time::Instant {
        self.gateway.signal(rustix::process::Signal::TERM);
        time::Instant::now()
    }

    fn has_run(&self, id: &str) -> bool {
        let requests = self.small.plain.requests();
        requests.iter().any(|request| request.header("request-id") == Some(id))
    }
}

/// A request whose body comes byte by byte.
struct SlowRequest {
    stream: net::TcpStream,
}

/// Number of bytes of the body of a slow request.
const SLOW_BYTES: u32 = 20;

impl SlowRequest {
    /// Sends the head of the request.
    fn begin(address: net::SocketAddr, id: &str) -> io::Result<Self> {
        let mut stream = net::TcpStream::connect(address)?;
        stream.set_read_timeout(Some(GRACE))?;
        let head = format!(
            "POST /book/1 HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: {id}\r\n\
             Deadline-Ms: {DEADLINE_MS}\r\nContent-Length: {SLOW_BYTES}\r\n\r\n"
        );
        stream.write_all(head.as_bytes())?;
        Ok(SlowRequest { stream })
    }

    /// Sends the body within `duration`, and returns the response; it is empty if there is none.
    fn finish(mut self, duration: time::Duration) -> String {
        let mut text = String::new();
        let mut send_body = || {
            for _ in 0..SLOW_BYTES {
                thread::sleep(duration / SLOW_BYTES);
                self.stream.write_all(b"x")?;
            }
            self.stream.read_to_string(&mut text)
        };
        if let Err(error) = send_body() {
            println!("the connection has failed: {error}");
        }
        text
    }
}

// Guards against a request that is complete late in the grace period, is passed on, and is cut at its end.
#[test]
fn request_that_can_not_end_in_time_is_refused() {
    let fleet = start_fleet("late-request");
    fleet.small.plain.set_delay(time::Duration::from_millis(5_000));

    let (early, late) = thread::scope(|scope| {
        fleet.stop();
        thread::sleep(time::Duration::from_millis(1_000));
        let early = scope.spawn(|| fleet.book("early"));
        thread::sleep(time::Duration::from_millis(1_500));
        let late = SlowRequest::begin(fleet.gateway.caller_address, "late").expect("sent");
        let late = late.finish(time::Duration::from_millis(2_500));
        (early.join().expect("no panic"), late)
    });

    assert_eq!(early.status, 200, "{}", early.text);
    assert!(late.starts_with("HTTP/1.1 503"), "{late}");
    assert!(!fleet.has_run("late"));
}

// Guards against a process that has nothing else to do and exits while a request is being received.
#[test]
fn request_that_is_being_received_gets_an_answer() {
    let mut fleet = start_fleet("received-request");
    let late = SlowRequest::begin(fleet.gateway.caller_address, "late").expect("sent");

    let stopped_at = fleet.stop();
    let late = late.finish(time::Duration::from_millis(4_000));

    let is_served = late.starts_with("HTTP/1.1 200") && late.ends_with("done late");
    let is_refused = late.starts_with("HTTP/1.1 503") && !fleet.has_run("late");
    assert!(is_served || is_refused, "{late}");
    assert_eq!(fleet.gateway.wait_for_exit(), Some(0));
    assert!(stopped_at.elapsed() < GRACE);
}

// Guards against requests whose endpoint takes longer than the grace period and whose callers get no answer.
#[test]
fn requests_that_take_too_long_get_an_answer_before_the_process_exits() {
    let mut fleet = start_fleet("long-requests");
    fleet.small.plain.set_delay(time::Duration::from_secs(12));

    let (statuses, stopped_at) = thread::scope(|scope| {
        let send = |id: &'static str| {
            let fleet = &fleet;
            scope.spawn(move || fleet.book(id).status)
        };
        let stopped_at = fleet.stop();
        thread::sleep(time::Duration::from_millis(1_800));
        let first = send("first");
        thread::sleep(time::Duration::from_millis(900));
        let second = send("second");
        let statuses = [first, second].map(|thread| thread.join().expect("no panic"));
        (statuses, stopped_at)
    });

    assert_eq!(statuses, [504; 2]);
    assert_eq!(fleet.gateway.wait_for_exit(), Some(0));
    assert!(stopped_at.elapsed() < GRACE);
}

/// What a caller has seen of one of its requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Seen {
    Answer(u16),
    /// The connection was closed, or could not be made.
    Closed,
}

/// Sends requests one after the other on a connection that is kept until the gateway closes it, and then
/// on new ones, until none can be made.
fn send_until_gone(address: net::SocketAddr, name: &str) -> Vec<(String, Seen)> {
    let mut seen = Vec::new();
    let mut kept = None;
    for number in 0.. {
        let connection = match kept.take() {
            Some(connection) => Ok(connection),
            None => net::TcpStream::connect(address),
        };
        let Ok(mut stream) = connection else { return seen };
        let id = format!("{name}-{number}");
        let result = exchange(&mut stream, &id);
        let is_closing = result.as_ref().is_ok_and(|(_, is_closing)| *is_closing);
        let answer = result.map_or(Seen::Closed, |(status, _)| Seen::Answer(status));
        if answer != Seen::Closed && !is_closing {
            kept = Some(stream);
        }
        seen.push((id, answer));
        thread::sleep(time::Duration::from_millis(20));
    }
    seen
}

/// Sends a request and reads its response. Returns its status, and whether the connection closes.
fn exchange(stream: &mut net::TcpStream, id: &str) -> io::Result<(u16, bool)> {
    stream.set_read_timeout(Some(GRACE))?;
    let head = format!(
        "POST /book/1 HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: {id}\r\n\
         Deadline-Ms: 3000\r\nContent-Length: 0\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    let (mut bytes, mut buf) = (Vec::new(), [0; 4_096]);
    loop {
        let text = String::from_utf8_lossy(&bytes).to_ascii_lowercase();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
            let length: usize = length.and_then(|text| text.parse().ok()).unwrap_or(0);
            if body.len() >= length {
                let status = head.split(' ').nth(1).and_then(|text| text.parse().ok());
                let status = status.ok_or(io::ErrorKind::InvalidData)?;
                return Ok((status, head.contains("connection: close")));
            }
        }
        match stream.read(&mut buf)? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            count => bytes.extend_from_slice(&buf[..count]),
        }
    }
}

// Guards against requests of callers who go on until the process is gone, on kept connections and on new
// ones, that were passed on and got no answer, or were told that they had not run.
#[test]
fn nothing_that_was_passed_on_is_cut() {
    let mut fleet = start_fleet("calm-stop");
    fleet.small.plain.set_delay(time::Duration::from_millis(300));
    let address = fleet.gateway.caller_address;
    let seen = sync::Mutex::new(Vec::new());

    thread::scope(|scope| {
        for number in 0..12 {
            let seen = &seen;
            scope.spawn(move || {
                let own = send_until_gone(address, &format!("c{number}"));
                seen.lock().expect("not poisoned").extend(own);
            });
        }
        thread::sleep(time::Duration::from_millis(1_000));
        fleet.stop();
    });

    let seen = seen.into_inner().expect("not poisoned");
    assert_eq!(fleet.gateway.wait_for_exit(), Some(0));
    assert!(seen.len() > 50, "{}", seen.len());
    for (id, answer) in seen {
        let is_sound = if fleet.has_run(&id) {
            answer == Seen::Answer(200)
        } else {
            matches!(answer, Seen::Answer(503) | Seen::Closed)
        };
        assert!(is_sound, "{id}: {answer:?}, ran: {}", fleet.has_run(&id));
    }
}
