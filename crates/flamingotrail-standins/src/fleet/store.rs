//! The platform's store: topics of records, and keyed topics with the newest record of each key.

use std::collections;
use std::io;
use std::net;
use std::sync;
use std::thread;
use std::time;

use base64::Engine as _;

use crate::fleet::server;

/// Longest wait of a read here: the stand-in holds a thread for it.
const MAX_WAIT: time::Duration = time::Duration::from_millis(300);
/// Pause between two looks for a new record.
const LOOK_PAUSE: time::Duration = time::Duration::from_millis(5);

#[derive(Default)]
struct State {
    parts: collections::BTreeMap<(String, u16), Vec<Vec<u8>>>,
    away: bool,
    lose_answers: bool,
    appends: usize,
}

/// The store.
#[derive(Clone, Default)]
pub struct Store {
    state: sync::Arc<sync::Mutex<State>>,
}

impl Store {
    /// An empty store.
    pub fn new() -> Self {
        Store::default()
    }

    /// Serves the store on loopback.
    ///
    /// # Errors
    ///
    /// No free port.
    pub fn serve(&self) -> io::Result<net::SocketAddr> {
        let store = self.clone();
        server::serve(move |request| store.answer(request))
    }

    /// Sets whether calls are answered with 503 and nothing is done.
    pub fn set_unavailable(&self, away: bool) {
        self.lock().away = away;
    }

    /// Sets whether appends to topics without keys are done and not answered.
    pub fn set_drop_responses(&self, lose: bool) {
        self.lock().lose_answers = lose;
    }

    /// Sets the value of a key, as operators and runners do.
    pub fn set(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![u8::try_from(key.len()).unwrap_or(u8::MAX)];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.as_bytes());
        self.lock().parts.entry((topic.to_owned(), 0)).or_default().push(record);
    }

    /// Appends to topics without keys so far.
    pub fn append_count(&self) -> usize {
        self.lock().appends
    }

    fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }

    fn answer(&self, request: &server::Request) -> server::Response {
        if self.lock().away {
            return server::response(503, &[], b"{}");
        }
        let topic = request.query("topic").unwrap_or_default().to_owned();
        let part = request.query("part").and_then(|text| text.parse().ok()).unwrap_or(0);
        match request.path() {
            "/v1/log-append" => self.append(topic, part, &request.body),
            "/v1/log-read" => self.read(&topic, part, request),
            "/v1/log-newest" => self.newest(&topic),
            _ => server::response(404, &[], b"{}"),
        }
    }

    fn append(&self, topic: String, part: u16, mut body: &[u8]) -> server::Response {
        let mut state = self.lock();
        let is_keyed = topic.starts_with("keyed.");
        let row = state.parts.entry((topic, part)).or_default();
        let offset = row.len();
        while let Some((length, rest)) = body.split_first_chunk::<4>() {
            let length = u32::from_be_bytes(*length) as usize;
            row.push(rest[..length].to_vec());
            body = &rest[length..];
        }
        let end = row.len();
        if !is_keyed {
            state.appends += 1;
            if state.lose_answers {
                return server::Response::Close;
            }
        }
        server::response(200, &[], format!("{{\"offset\":{offset},\"end\":{end}}}").as_bytes())
    }

    fn read(&self, topic: &str, part: u16, request: &server::Request) -> server::Response {
        let number = |name| request.query(name).and_then(|text: &str| text.parse::<u64>().ok());
        let from = number("from").unwrap_or(0) as usize;
        let wait = time::Duration::from_millis(number("wait_ms").unwrap_or(0)).min(MAX_WAIT);
        let start = time::Instant::now();
        loop {
            let state = self.lock();
            let row = state.parts.get(&(topic.to_owned(), part));
            let rows = row.map_or(&[][..], Vec::as_slice);
            if rows.len() > from || start.elapsed() >= wait {
                let mut body = (rows.len() as u64).to_be_bytes().to_vec();
                body.extend_from_slice(&0_u64.to_be_bytes());
                for record in rows.iter().skip(from) {
                    body.extend_from_slice(&(record.len() as u32).to_be_bytes());
                    body.extend_from_slice(record);
                }
                return server::response(200, &[], &body);
            }
            drop(state);
            thread::sleep(LOOK_PAUSE);
        }
    }

    fn newest(&self, topic: &str) -> server::Response {
        let state = self.lock();
        let rows = state.parts.get(&(topic.to_owned(), 0)).map_or(&[][..], Vec::as_slice);
        let mut newest = collections::BTreeMap::new();
        for (offset, record) in rows.iter().enumerate() {
            let length = usize::from(record[0]);
            let key = String::from_utf8_lossy(&record[1..=length]).into_owned();
            newest.insert(key, (offset, &record[1 + length..]));
        }
        let items: Vec<serde_json::Value> = newest
            .into_iter()
            .filter(|(_, (_, value))| !value.is_empty())
            .map(|(key, (offset, value))| {
                let value = base64::engine::general_purpose::STANDARD.encode(value);
                serde_json::json!({ "key": key, "value": value, "offset": offset })
            })
            .collect();
        let answer = serde_json::json!({ "items": items, "has_more": false, "end": rows.len() });
        server::response(200, &[], answer.to_string().as_bytes())
    }
}
