//! Endpoints that send bytes without end, at a gateway on the smallest machine: nothing that they send is kept
//! beyond its memory, their connections are closed, and the callers of other services are served.

use std::thread;
use std::time;

use flamingotrail_standins::fleet::caller;
use flamingotrail_standins::fleet::gateways;
use flamingotrail_standins::fleet::runner;
use flamingotrail_standins::fleet::small;

/// Memory of the smallest machine, in megabytes.
const MEMORY_MB: u64 = 88;
/// Number of requests at once whose endpoint sends without end.
const REQUESTS: usize = 60;
/// Time within which such a request ends: its deadline, at which a stream of complete events ends, and half a
/// second.
const MAX_TIME: time::Duration = time::Duration::from_millis(2_500);
const DEADLINE_MS: &str = "2000";
/// Number of connections that the gateway may keep for other calls.
const IDLE_CONNECTIONS: usize = 8;
/// Time within which another call is served meanwhile.
const MAX_OTHER_TIME: time::Duration = time::Duration::from_millis(2_500);

struct Fleet {
    small: small::Fleet,
    gateway: gateways::Gateway,
}

fn start_fleet(name: &str) -> Fleet {
    let small = small::start(name).expect("no free port");
    let options = gateways::Options { memory_mb: Some(MEMORY_MB), ..gateways::Options::default() };
    let program = small::program();
    let gateway =
        gateways::start_with_options(&program, &small.folder, "one", small.store_address, &options);
    let gateway = gateway.expect("the gateway starts; scripts/test builds the program");
    assert!(gateway.wait_until_ready(), "the gateway did not become ready");
    Fleet { small, gateway }
}

impl Fleet {
    fn call(&self, path: &str, id: &str) -> caller::Response {
        let headers = [
            ("Request-Id", id),
            ("Program-Id", id),
            ("Token-Usage", "100,24"),
            ("Deadline-Ms", DEADLINE_MS),
        ];
        let method = if path.starts_with("/look/") { "GET" } else { "POST" };
        caller::call(self.gateway.caller_address, method, path, &headers, "").expect("no response")
    }

    /// Sends requests on `path`, whose endpoint sends without end, and meanwhile one on `other`, which has to
    /// be served. Returns how long the longest took.
    fn call_beside(&self, path: &str, other: &str, name: &str) -> time::Duration {
        thread::scope(|scope| {
            let threads: Vec<_> = (0..REQUESTS)
                .map(|number| {
                    let id = format!("{name}-{number}");
                    scope.spawn(move || {
                        let start = time::Instant::now();
                        let response = self.call(path, &id);
                        assert!(response.status != 200 || !response.is_complete(), "{name}");
                        start.elapsed()
                    })
                })
                .collect();
            thread::sleep(time::Duration::from_millis(100));
            let start = time::Instant::now();
            let other = self.call(other, &format!("{name}-other"));
            let other_time = start.elapsed();
            assert!(other.status == 200 && other_time < MAX_OTHER_TIME, "{name}: {other_time:?}");
            let times = threads.into_iter().map(|thread| thread.join().expect("no panic"));
            times.max().unwrap_or_default()
        })
    }

    /// Checks that the requests have ended, their connections are closed, and the process is within its
    /// memory.
    fn assert_unharmed(&mut self, name: &str, descriptors: usize) {
        assert!(self.gateway.is_running(), "{name}");
        let peak_kb = self.gateway.peak_memory_kb().expect("running");
        assert!(peak_kb * 1_024 < MEMORY_MB * 1_000_000, "{name}: {peak_kb} kB");
        let open = || self.gateway.open_descriptors().expect("running");
        let are_closed = (0..100).any(|_| {
            thread::sleep(time::Duration::from_millis(50));
            open() <= descriptors + IDLE_CONNECTIONS
        });
        assert!(are_closed, "{name}: {} descriptors, {descriptors} before", open());
    }
}

// Guards against a plain endpoint whose bytes without end fill the memory of the gateway that called it, so
// that the requests of other callers end with it.
#[test]
fn endless_bytes_of_plain_endpoints_are_not_kept() {
    let kinds = [
        runner::Endless::StatusLine,
        runner::Endless::Header,
        runner::Endless::Headers,
        runner::Endless::InterimResponses,
        runner::Endless::Body,
        runner::Endless::Chunks,
        runner::Endless::ChunkExtension,
        runner::Endless::Trailer,
        runner::Endless::Refusal,
    ];
    for path in ["/book/1", "/look/1"] {
        let mut fleet = start_fleet(&format!("endless{}", path.replace('/', "-")));
        let descriptors = fleet.gateway.open_descriptors().expect("running");
        for kind in kinds {
            let name = format!("{kind:?}{}", path.replace('/', "-"));
            fleet.small.plain.set_endless(Some(kind));

            let longest = fleet.call_beside(path, "/chat/1", &name);

            assert!(longest < MAX_TIME, "{name}: {longest:?}");
            fleet.assert_unharmed(&name, descriptors);
        }
    }
}

// Guards against the same where an engine streams without end.
#[test]
fn endless_bytes_of_engines_are_not_kept() {
    let kinds = [
        runner::Endless::StatusLine,
        runner::Endless::Header,
        runner::Endless::InterimResponses,
        runner::Endless::ChunkExtension,
        runner::Endless::Event,
        runner::Endless::Events,
        runner::Endless::Comments,
        runner::Endless::CommentsAfterEvent,
    ];
    for path in ["/chat/1", "/ask/1", "/resume/1"] {
        let mut fleet = start_fleet(&format!("endless{}", path.replace('/', "-")));
        let descriptors = fleet.gateway.open_descriptors().expect("running");
        for kind in kinds {
            let name = format!("{kind:?}{}", path.replace('/', "-"));
            fleet.small.model.set_endless(Some(kind));

            let longest = fleet.call_beside(path, "/look/1", &name);

            assert!(longest < MAX_TIME, "{name}: {longest:?}");
            fleet.assert_unharmed(&name, descriptors);
        }
    }
}
