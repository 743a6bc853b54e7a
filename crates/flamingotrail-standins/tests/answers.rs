//! Responses that end early, end with their connection, or come once more, at gateway processes on
//! loopback. `docs/incidents/operators.md` says for each whether it can happen here.

use std::thread;
use std::time;

use flamingotrail_standins::fleet::caller;
use flamingotrail_standins::fleet::gateways;
use flamingotrail_standins::fleet::platform;
use flamingotrail_standins::fleet::runner;
use flamingotrail_standins::fleet::server;
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
    fn call(&self, path: &str, id: &str, previous: Option<&str>) -> caller::Response {
        let mut headers = vec![
            ("Request-Id", id),
            ("Program-Id", id),
            ("Token-Usage", "100,24"),
            ("Deadline-Ms", "3000"),
        ];
        headers.extend(previous.map(|previous| ("Previous-Turn", previous)));
        let method = if path.starts_with("/look/") { "GET" } else { "POST" };
        caller::call(self.gateway.caller_address, method, path, &headers, "").expect("no response")
    }
}

fn id_of(request: &server::Request) -> &str {
    request.header("request-id").unwrap_or_default()
}

/// The head of a signed response without a length, up to its last header.
fn open_head(request: &server::Request, content_type: &str) -> String {
    let id = id_of(request);
    format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: s.{id}\r\n\
         Content-Type: {content_type}\r\n"
    )
}

fn plain_response(request: &server::Request) -> String {
    let body = format!("done {}", id_of(request));
    let length = body.len();
    format!("{}Content-Length: {length}\r\n\r\n{body}", open_head(request, "text/plain"))
}

/// A refusal that says that the request did not run; names the request only if `names_request`.
fn refusal(request: &server::Request, names_request: bool) -> String {
    let id = id_of(request);
    let name = if names_request { format!("Request-Id: {id}\r\n") } else { String::new() };
    format!("HTTP/1.1 503 Full\r\n{name}Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
}

/// Events 1 to `count` of a stream without a length.
fn open_stream(request: &server::Request, count: usize) -> String {
    let events = (1..=count).map(|number| format!("id: {number}\ndata: w{number}\n\n"));
    let events: String = events.collect();
    format!("{}\r\n{events}", open_head(request, "text/event-stream"))
}

// Guards against a head that ends early being taken for a whole one: callers got an empty or short
// body as a success.
#[test]
fn response_that_ends_inside_its_head_is_no_success() {
    let fleet = start_fleet("cut-head");
    fleet.small.plain.respond_with(|request, count| {
        let response = plain_response(request);
        let head = response.find("\r\n\r\n").expect("a head") + 4;
        server::Response::Truncated(response.as_bytes()[..count % head].to_vec())
    });
    fleet.small.model.respond_with(|request, count| {
        let response = open_stream(request, small::EVENTS_PER_RESPONSE);
        let head = response.find("\r\n\r\n").expect("a head") + 4;
        server::Response::Truncated(response.as_bytes()[..count % head].to_vec())
    });

    for number in 0..140 {
        for path in ["/look/1", "/book/1", "/chat/1", "/resume/1"] {
            let response = fleet.call(path, &format!("r{number}"), None);

            assert_ne!(response.status, 200, "{path}: {}", response.text);
        }
    }
}

// Guards against a refusal that is written once more on a connection in use again: the caller is told
// that its request did not run.
#[test]
fn refusal_written_once_more_refuses_no_other_request() {
    for names_request in [true, false] {
        let fleet = start_fleet(&format!("late-refusal-{names_request}"));
        fleet.small.plain.respond_with(move |request, count| {
            if count % 2 == 1 {
                let refusal = refusal(request, names_request).into_bytes();
                return server::Response::Late(refusal.clone(), refusal);
            }
            server::Response::Bytes(plain_response(request).into_bytes())
        });

        for number in 0..8 {
            let response = fleet.call("/book/1", &format!("r{number}"), None);

            let has_run = number % 2 == 1;
            assert!(response.status != 503 || !has_run, "{number}: {}", response.text);
            // Whose a refusal without a name is can't be told on a connection in use again.
            let is_told = has_run || response.status == 503 || !names_request;
            assert!(is_told, "{number}: {}", response.text);
        }
    }
}

// Guards against a refusal that does not say whose it is, on a connection in use again: the caller is
// told that its request did not run, or it runs at a second runner.
#[test]
fn unnamed_refusal_after_another_response_proves_nothing() {
    let fleet = start_fleet("unnamed-refusal");
    let other = runner::Runner::new();
    for runner in [&fleet.small.plain, &other] {
        runner.respond_with(|request, _| {
            let refusal = refusal(request, false).into_bytes();
            server::Response::Late(plain_response(request).into_bytes(), refusal)
        });
    }
    let address = other.serve_plain().expect("no free port");
    fleet.small.store.set("keyed.servers", "p-2", &platform::runner_entry("plain", address));
    thread::sleep(time::Duration::from_millis(1_500));

    for number in 0..12 {
        let id = format!("r{number}");
        let response = fleet.call("/book/1", &id, None);

        let requests = [fleet.small.plain.requests(), other.requests()].concat();
        let runs = requests.iter().filter(|request| id_of(request) == id).count();
        assert_eq!(runs, 1, "{id} runs once: {}", response.text);
        assert_ne!(response.status, 503, "{id} has run: {}", response.text);
    }
}

// Guards against a response without a length or chunks that is cut, or never ends.
#[test]
fn response_may_end_with_its_connection() {
    let fleet = start_fleet("open-end");
    fleet.small.plain.respond_with(|request, _| {
        let head = open_head(request, "text/plain");
        server::Response::Truncated(format!("{head}\r\ndone {}", id_of(request)).into_bytes())
    });
    fleet.small.model.respond_with(|request, _| {
        let stream = open_stream(request, small::EVENTS_PER_RESPONSE);
        server::Response::Truncated(stream.into_bytes())
    });

    let tools = ["/look/1", "/book/1"].map(|path| fleet.call(path, "tool", None));
    let first = fleet.call("/chat/1", "a", None);
    let second = fleet.call("/chat/1", "b", Some("a"));

    for tool in tools {
        assert!(tool.status == 200 && tool.text.ends_with("done tool"), "{}", tool.text);
    }
    for turn in [first, second] {
        assert!(turn.status == 200 && turn.is_complete(), "{}", turn.text);
        assert_eq!(turn.text.matches("data: w").count(), small::EVENTS_PER_RESPONSE);
    }
    let bodies = fleet.small.model.bodies();
    assert_eq!(bodies.last().map(String::as_str), Some("w1\nw2\nw3\n"), "{bodies:?}");
}

// Guards against a stream without a length that counts as whole though it ended inside an event, or
// before its first one, or was reset.
#[test]
fn stream_that_is_broken_off_does_not_look_complete() {
    type Break = fn(&server::Request) -> server::Response;
    let breaks: [(&str, Break); 4] = [
        ("inside-event", |request| {
            let stream = format!("{}id: 3\ndata: w", open_stream(request, 2));
            server::Response::Truncated(stream.into_bytes())
        }),
        ("before-blank-line", |request| {
            let stream = format!("{}id: 3\ndata: w3\n", open_stream(request, 2));
            server::Response::Truncated(stream.into_bytes())
        }),
        ("no-event", |request| server::Response::Truncated(open_stream(request, 0).into_bytes())),
        ("reset", |request| server::Response::Reset(open_stream(request, 2).into_bytes())),
    ];
    for (name, response) in breaks {
        let fleet = start_fleet(&format!("broken-{name}"));
        fleet.small.model.respond_with(move |request, _| response(request));

        for path in ["/chat/1", "/ask/1"] {
            let id = format!("{name}{path}").replace('/', "-");
            let turn = fleet.call(path, &id, None);
            let next = fleet.call("/chat/1", "next", Some(&id));

            assert!(turn.status != 200 || !turn.is_complete(), "{name} {path}: {}", turn.text);
            assert_eq!(next.status, 404, "{name} {path}: {}", next.text);
        }
    }
}

// Guards against a response without a length that counts as whole though its connection was reset.
#[test]
fn response_that_is_reset_is_no_success() {
    let fleet = start_fleet("reset");
    fleet.small.plain.respond_with(|request, _| {
        let head = open_head(request, "text/plain");
        server::Response::Reset(format!("{head}\r\ndone").into_bytes())
    });

    let response = fleet.call("/book/1", "a", None);

    assert_ne!(response.status, 200, "{}", response.text);
}

// Guards against a resumable stream that is not continued after it ended inside an event, with its
// connection.
#[test]
fn resumable_stream_without_a_length_is_continued() {
    let fleet = start_fleet("open-resume");
    fleet.small.model.respond_with(|request, _| match request.header("last-event-id") {
        Some("2") => {
            let head = open_head(request, "text/event-stream");
            server::Response::Truncated(format!("{head}\r\nid: 3\ndata: w3\n\n").into_bytes())
        }
        _ => {
            let stream = format!("{}id: 3\ndata: w", open_stream(request, 2));
            server::Response::Truncated(stream.into_bytes())
        }
    });

    let response = fleet.call("/resume/1", "a", None);

    assert!(response.status == 200 && response.is_complete(), "{}", response.text);
    assert_eq!(response.text.matches("data: w").count(), 3);
}

// Guards against comments and stray blank lines of a stream that count as events: the stream was cut
// as too long, and its program charged for them.
#[test]
fn comments_of_a_stream_are_no_events() {
    let fleet = start_fleet("comments");
    fleet.small.model.respond_with(|request, _| {
        let events: String = (1..=3)
            .map(|number| format!(": ping\n\n\n: ping\n\nid: {number}\ndata: w{number}\n\n"))
            .collect();
        let head = open_head(request, "text/event-stream");
        server::Response::Truncated(format!("{head}\r\n{events}").into_bytes())
    });

    let first = fleet.call("/chat/1", "a", None);

    assert!(first.status == 200 && first.is_complete(), "{}", first.text);
    assert_eq!(first.text.matches("data: w").count(), 3);
}

/// Status lines that are none: of a status out of range, of another protocol, or of an interim response that
/// nothing follows.
const NO_STATUS_LINES: [&str; 12] = [
    "HTTP/1.1 000 OK",
    "HTTP/1.1 000",
    "HTTP/1.1 001 OK",
    "HTTP/1.1 099 OK",
    "HTTP/1.1 101 Switching Protocols",
    "HTTP/1.1 600 Odd",
    "HTTP/1.1 999 Odd",
    "HTTP/1.1 20 OK",
    "HTTP/1.1 2000 OK",
    "HTTP/1.1 -20 OK",
    "HTTP/2 200 OK",
    "SSH-2.0-server",
];

// Guards against bytes of an endpoint in trouble that are forwarded as a response, or that close the
// caller's connection without one, though their status line is none; and against a second run of a request
// that may run once.
#[test]
fn status_line_that_is_none_is_a_lost_response() {
    let mut odd = Vec::new();
    for (number, line) in NO_STATUS_LINES.iter().enumerate() {
        let fleet = start_fleet(&format!("no-status-{number}"));
        let respond = move |request: &server::Request, _| {
            let id = id_of(request);
            let stream = "Content-Type: text/event-stream\r\n";
            let kind = if request.method == "POST" { stream } else { "" };
            let head =
                format!("{line}\r\nRequest-Id: {id}\r\nResponse-Signature: s.{id}\r\n{kind}");
            let body = "id: 1\ndata: w1\n\n";
            let length = body.len();
            let response = format!("{head}Content-Length: {length}\r\n\r\n{body}");
            server::Response::Bytes(response.into_bytes())
        };
        fleet.small.plain.respond_with(respond);
        fleet.small.model.respond_with(respond);

        for path in ["/look/1", "/book/1", "/chat/1", "/ask/1", "/resume/1"] {
            let id = format!("r{}", path.replace('/', "-"));
            let response = fleet.call(path, &id, None);

            let requests = [fleet.small.plain.requests(), fleet.small.model.requests()].concat();
            let runs = requests.iter().filter(|request| id_of(request) == id).count();
            let runs_too_often = runs > 1 && !["/look/1", "/resume/1"].contains(&path);
            if response.status != 502 || runs_too_often {
                odd.push(format!("{line} {path}: status {}, {runs} runs", response.status));
            }
        }
    }
    assert!(odd.is_empty(), "{odd:#?}");
}

// Guards against a response that is lost because one of its headers is not ASCII, though the request has run.
#[test]
fn response_with_headers_that_are_not_ascii_is_forwarded() {
    let headers: [(&str, &[u8]); 3] = [
        ("utf-8", "X-Note: caf\u{e9} \u{1f98a}\r\n".as_bytes()),
        ("latin-1", b"X-Note: caf\xe9\r\n"),
        ("control", b"X-Note: a\tb\r\n"),
    ];
    for (name, header) in headers {
        let fleet = start_fleet(&format!("header-{name}"));
        fleet.small.plain.respond_with(move |request, _| {
            let response = plain_response(request);
            let end = response.find("\r\n\r\n").expect("a head") + 2;
            let (head, rest) = response.split_at(end);
            server::Response::Bytes([head.as_bytes(), header, rest.as_bytes()].concat())
        });

        for path in ["/look/1", "/book/1"] {
            let response = fleet.call(path, "a", None);

            assert!(response.text.ends_with("done a"), "{name} {path}: {}", response.text);
        }
    }
}

// Guards against a turn that is answered whole and not kept, because its engine spells the media type of
// streams in other letters, with parameters, or not at all.
#[test]
fn turn_is_kept_however_its_media_type_is_spelled() {
    let types = [
        "",
        "Text/Event-Stream",
        "TEXT/EVENT-STREAM",
        "text/event-stream; charset=utf-8",
        "text/event-stream ;charset=UTF-8",
        "Text/Event-Stream;charset=utf-8",
    ];
    for (number, media_type) in types.into_iter().enumerate() {
        let fleet = start_fleet(&format!("media-type-{number}"));
        fleet.small.model.respond_with(move |request, _| {
            let mut head = open_head(request, media_type);
            if media_type.is_empty() {
                head = head.replace("Content-Type: \r\n", "");
            }
            server::Response::Truncated(format!("{head}\r\nid: 1\ndata: w1\n\n").into_bytes())
        });

        let first = fleet.call("/chat/1", "a", None);
        let second = fleet.call("/chat/1", "b", Some("a"));

        assert_eq!((first.status, second.status), (200, 200), "{media_type}: {}", second.text);
        assert!(first.is_complete(), "{media_type}: {}", first.text);
    }
}

// Guards against comments and other lines without data that are dropped before the first event of a stream:
// callers got a success with a body that was not the endpoint's.
#[test]
fn bytes_before_the_first_event_are_forwarded() {
    const BODY: &str =
        ": waiting\n\n: still waiting\n\nretry: 100\n\n\nid: 1\ndata: w1\n\n: end\n\n";
    let bodies = [BODY, ": nothing to say\n\n"];
    for (number, body) in bodies.into_iter().enumerate() {
        let fleet = start_fleet(&format!("leading-comments-{number}"));
        fleet.small.model.respond_with(move |request, _| {
            let head = open_head(request, "text/event-stream");
            let length = body.len();
            let response = format!("{head}Content-Length: {length}\r\n\r\n{body}");
            server::Response::Bytes(response.into_bytes())
        });

        for path in ["/chat/1", "/ask/1", "/resume/1"] {
            let response = fleet.call(path, &format!("a{}", path.replace('/', "-")), None);

            assert!(response.status == 200 && response.is_complete(), "{}", response.text);
            assert_eq!(joined_chunks(&response.text), body, "{path}");
        }
    }
}

/// Joins the chunks of a response body.
fn joined_chunks(response: &str) -> String {
    let (_, mut rest) = response.split_once("\r\n\r\n").expect("a head");
    let mut body = String::new();
    while let Some((length, chunk)) = rest.split_once("\r\n") {
        let length = usize::from_str_radix(length, 16).expect("the length of a chunk");
        body.push_str(&chunk[..length]);
        rest = &chunk[length + 2..];
    }
    body
}
