//! Stand-in for the platform's store: partitioned topics of records, and keyed topics (`keyed.*`)
//! that also serve the newest record of each key.

use std::collections;
use std::io;
use std::net;
use std::sync;
use std::thread;
use std::time;

use base64::Engine as _;

use crate::fleet::server;

/// Upper limit for the wait of a read, which blocks a thread here.
const MAX_READ_WAIT: time::Duration = time::Duration::from_millis(300);
/// Time between two checks for a new record.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(5);

/// Maximum number of keys in a page of the newest records.
const PAGE_ITEMS: usize = 500;

#[derive(Default)]
struct State {
    /// Records by topic and partition.
    partitions: collections::BTreeMap<(String, u16), Vec<Vec<u8>>>,
    /// When the records of topics without keys were stored, if they are dropped after a while.
    stored_at: collections::BTreeMap<(String, u16), Vec<time::Instant>>,
    retention: Option<time::Duration>,
    is_unavailable: bool,
    drop_responses: bool,
    /// Delay before each response.
    delay: time::Duration,
    append_count: usize,
}

impl State {
    /// Returns the offset of the oldest record that was not dropped.
    fn first_offset(&self, topic: &str, partition: u16) -> usize {
        let times = self.stored_at.get(&(topic.to_owned(), partition));
        let Some((times, retention)) = times.zip(self.retention) else { return 0 };
        times.iter().take_while(|at| at.elapsed() > retention).count()
    }
}

/// The store; clones share their state.
#[derive(Clone, Default)]
pub struct Store {
    state: sync::Arc<sync::Mutex<State>>,
    silence: server::Silence,
}

impl Store {
    /// Creates an empty store.
    pub fn new() -> Self {
        Store::default()
    }

    /// Serves the store on loopback.
    ///
    /// # Errors
    ///
    /// Returns an error if no port is free.
    pub fn serve(&self) -> io::Result<net::SocketAddr> {
        let store = self.clone();
        server::serve_with_silence(move |request| store.handle(request), &self.silence)
    }

    /// Lets all connections that are open now go silent, without closing them; new ones work.
    pub fn silence_connections(&self) {
        self.silence.begin();
    }

    /// Delays all responses.
    pub fn set_delay(&self, delay: time::Duration) {
        self.lock().delay = delay;
    }

    /// Makes the store drop records of topics without keys after `retention`.
    pub fn set_retention(&self, retention: time::Duration) {
        self.lock().retention = Some(retention);
    }

    /// Sets whether the store rejects all calls with status 503.
    pub fn set_unavailable(&self, unavailable: bool) {
        self.lock().is_unavailable = unavailable;
    }

    /// Sets whether appends to topics without keys are stored and then get no response.
    pub fn set_drop_responses(&self, enabled: bool) {
        self.lock().drop_responses = enabled;
    }

    /// Writes the value of a key in a keyed topic, as operators and runners do.
    pub fn set(&self, topic: &str, key: &str, value: &(impl AsRef<[u8]> + ?Sized)) {
        let mut record = vec![u8::try_from(key.len()).unwrap_or(u8::MAX)];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.as_ref());
        self.lock().partitions.entry((topic.to_owned(), 0)).or_default().push(record);
    }

    /// Whether a key of a keyed topic has a value.
    pub fn contains(&self, topic: &str, key: &str) -> bool {
        let state = self.lock();
        let records = state.partitions.get(&(topic.to_owned(), 0)).map_or(&[][..], Vec::as_slice);
        let newest = records.iter().rfind(|record| {
            let length = usize::from(record[0]);
            &record[1..=length] == key.as_bytes()
        });
        newest.is_some_and(|record| record.len() > 1 + key.len())
    }

    /// Number of appends to topics without keys so far.
    pub fn append_count(&self) -> usize {
        self.lock().append_count
    }

    fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }

    fn handle(&self, request: &server::Request) -> server::Response {
        let delay = self.lock().delay;
        thread::sleep(delay);
        if self.lock().is_unavailable {
            return server::response(503, &[], b"{}");
        }
        let topic = request.query("topic").unwrap_or_default().to_owned();
        let partition = request.query("part").and_then(|text| text.parse().ok()).unwrap_or(0);
        match request.path() {
            "/v1/log-append" => self.append(topic, partition, &request.body),
            "/v1/log-read" => self.read(&topic, partition, request),
            "/v1/log-newest" => self.newest(&topic, request.query("after")),
            _ => server::response(404, &[], b"{}"),
        }
    }

    fn append(&self, topic: String, partition: u16, mut body: &[u8]) -> server::Response {
        let mut state = self.lock();
        let is_keyed = topic.starts_with("keyed.");
        let records = state.partitions.entry((topic.clone(), partition)).or_default();
        let offset = records.len();
        while let Some((length, rest)) = body.split_first_chunk::<4>() {
            let length = u32::from_be_bytes(*length) as usize;
            records.push(rest[..length].to_vec());
            body = &rest[length..];
        }
        let end = records.len();
        if !is_keyed {
            let times = state.stored_at.entry((topic, partition)).or_default();
            times.resize(end, time::Instant::now());
            state.append_count += 1;
            if state.drop_responses {
                return server::Response::Close;
            }
        }
        server::response(200, &[], format!("{{\"offset\":{offset},\"end\":{end}}}").as_bytes())
    }

    fn read(&self, topic: &str, partition: u16, request: &server::Request) -> server::Response {
        let query_number =
            |name| request.query(name).and_then(|text: &str| text.parse::<u64>().ok());
        let from = query_number("from").unwrap_or(0) as usize;
        let wait =
            time::Duration::from_millis(query_number("wait_ms").unwrap_or(0)).min(MAX_READ_WAIT);
        let start = time::Instant::now();
        loop {
            let state = self.lock();
            let records = state.partitions.get(&(topic.to_owned(), partition));
            let records = records.map_or(&[][..], Vec::as_slice);
            let first = state.first_offset(topic, partition);
            if from < first {
                return server::response(410, &[], format!("{{\"first\":{first}}}").as_bytes());
            }
            if records.len() > from || start.elapsed() >= wait {
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend_from_slice(&(first as u64).to_be_bytes());
                for record in records.iter().skip(from) {
                    body.extend_from_slice(&(record.len() as u32).to_be_bytes());
                    body.extend_from_slice(record);
                }
                return server::response(200, &[], &body);
            }
            drop(state);
            thread::sleep(POLL_INTERVAL);
        }
    }

    fn newest(&self, topic: &str, after: Option<&str>) -> server::Response {
        let after = after.map(|key| percent_encoding::percent_decode_str(key).decode_utf8_lossy());
        let state = self.lock();
        let records = state.partitions.get(&(topic.to_owned(), 0)).map_or(&[][..], Vec::as_slice);
        let mut newest = collections::BTreeMap::new();
        for (offset, record) in records.iter().enumerate() {
            let length = usize::from(record[0]);
            let key = String::from_utf8_lossy(&record[1..=length]).into_owned();
            newest.insert(key, (offset, &record[1 + length..]));
        }
        let rows: Vec<_> = newest
            .into_iter()
            .filter(|(_, (_, value))| !value.is_empty())
            .filter(|(key, _)| after.as_deref().is_none_or(|after| key.as_str() > after))
            .collect();
        let items: Vec<serde_json::Value> = rows
            .iter()
            .take(PAGE_ITEMS)
            .map(|(key, (offset, value))| {
                let value = base64::engine::general_purpose::STANDARD.encode(value);
                serde_json::json!({ "key": key, "value": value, "offset": offset })
            })
            .collect();
        let has_more = rows.len() > items.len();
        let response =
            serde_json::json!({ "items": items, "has_more": has_more, "end": records.len() });
        server::response(200, &[], response.to_string().as_bytes())
    }
}
