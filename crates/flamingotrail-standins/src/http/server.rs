//! One HTTP server for all fakes: `/log/...`, `/list/...`, `/engines/{name}/...`,
//! `/services/{name}/...`.

use std::convert;
use std::net;
use std::sync;
use std::time;

use actix_http::body;
use actix_http::header;
use actix_http::HttpMessage as _;
use actix_http::HttpService;
use actix_http::Method;
use actix_http::Request;
use actix_http::Response;
use actix_http::StatusCode;
use actix_server::Server;
use flamingotrail_wire::chat;
use flamingotrail_wire::engine as wire_engine;
use flamingotrail_wire::headers;
use flamingotrail_wire::platform as wire;
use futures_util::stream;
use futures_util::StreamExt as _;
use tokio::sync::mpsc;

use crate::engine;
use crate::http;
use crate::http::platform;

/// How long a request is kept open to simulate a missing response.
const NO_RESPONSE_DELAY: time::Duration = time::Duration::from_secs(3600);

type BoxedResponse = Response<body::BoxBody>;

/// Serves the fakes at `address` and runs their engines on the current actix system.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub fn serve(
    fakes: sync::Arc<http::FakeSystems>,
    address: net::SocketAddr,
) -> std::io::Result<Server> {
    for name in fakes.engines.keys() {
        let (fakes, name) = (fakes.clone(), name.clone());
        actix_rt::spawn(async move { fakes.engines[&name].run(&fakes).await });
    }
    let server = Server::build()
        .workers(2)
        .disable_signals()
        .bind("stand-ins", address, move || {
            let fakes = fakes.clone();
            HttpService::build()
                .h1_allow_half_closed(false)
                .finish(move |request: Request| {
                    let fakes = fakes.clone();
                    async move { Ok::<_, convert::Infallible>(handle(fakes, request).await) }
                })
                .tcp()
        })?
        .run();
    Ok(server)
}

async fn handle(fakes: sync::Arc<http::FakeSystems>, mut request: Request) -> BoxedResponse {
    let mut body = bytes::BytesMut::new();
    let mut payload = request.take_payload();
    while let Some(Ok(chunk)) = payload.next().await {
        body.extend_from_slice(&chunk);
    }
    let path = request.path().to_owned();
    let parts: Vec<&str> = path.trim_start_matches('/').splitn(3, '/').collect();
    match parts.as_slice() {
        ["log", "streams", rest] => handle_log(&fakes, &request, rest, &body).await,
        ["list", "instances"] => handle_list(&fakes),
        ["engines", name, rest] => handle_engine(fakes.clone(), &request, name, rest, &body).await,
        ["services", name, rest] => handle_service(&fakes, name, rest, &body).await,
        _ => empty_response(StatusCode::NOT_FOUND),
    }
}

fn empty_response(code: StatusCode) -> BoxedResponse {
    Response::build(code).finish().map_into_boxed_body()
}

fn json_response<T: serde::Serialize>(value: &T) -> BoxedResponse {
    Response::build(StatusCode::OK)
        .insert_header((header::CONTENT_TYPE, "application/json"))
        .body(serde_json::to_string(value).unwrap_or_default())
        .map_into_boxed_body()
}

fn query_number(request: &Request, name: &str) -> u64 {
    let query = request.uri().query().unwrap_or_default();
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let found = pairs.filter(|(key, _)| *key == name).find_map(|(_, value)| value.parse().ok());
    found.unwrap_or(0)
}

async fn handle_log(
    fakes: &http::FakeSystems,
    request: &Request,
    rest: &str,
    body: &[u8],
) -> BoxedResponse {
    let stream = rest.trim_end_matches("/entries");
    if request.method() == Method::POST {
        let Ok(entry) = serde_json::from_slice::<wire::AppendRequest>(body) else {
            return empty_response(StatusCode::BAD_REQUEST);
        };
        return match platform::append(fakes, stream, entry.data) {
            platform::AppendResult::Committed(offset) => {
                json_response(&wire::AppendResponse { offset })
            }
            platform::AppendResult::RateLimited => empty_response(StatusCode::TOO_MANY_REQUESTS),
            platform::AppendResult::NoResponse => {
                actix_rt::time::sleep(NO_RESPONSE_DELAY).await;
                empty_response(StatusCode::GATEWAY_TIMEOUT)
            }
        };
    }
    let wait = time::Duration::from_millis(query_number(request, "wait_ms"));
    match platform::read(fakes, stream, query_number(request, "from"), wait).await {
        Some(page) => json_response(&page),
        None => empty_response(StatusCode::SERVICE_UNAVAILABLE),
    }
}

fn handle_list(fakes: &http::FakeSystems) -> BoxedResponse {
    match http::lock(&fakes.list).fetch(fakes.now()) {
        Some(rows) => json_response(&rows),
        None => empty_response(StatusCode::SERVICE_UNAVAILABLE),
    }
}

async fn handle_service(
    fakes: &http::FakeSystems,
    name: &str,
    rest: &str,
    body: &[u8],
) -> BoxedResponse {
    let Some(service) = fakes.services.get(name) else {
        return empty_response(StatusCode::NOT_FOUND);
    };
    if rest == "report" {
        let report = wire_engine::Report { prefill_rate: 1.0, ..wire_engine::Report::default() };
        return json_response(&report);
    }
    let body = String::from_utf8_lossy(body);
    let (response_text, latency) = {
        let mut service = http::lock(service);
        (service.execute(rest, &body), service.latency)
    };
    actix_rt::time::sleep(if response_text.is_some() { latency } else { NO_RESPONSE_DELAY }).await;
    Response::build(StatusCode::OK)
        .insert_header((header::CONTENT_TYPE, "application/json"))
        .body(response_text.unwrap_or_default())
        .map_into_boxed_body()
}

async fn handle_engine(
    fakes: sync::Arc<http::FakeSystems>,
    request: &Request,
    name: &str,
    rest: &str,
    body: &[u8],
) -> BoxedResponse {
    let Some(host) = fakes.engines.get(name) else {
        return empty_response(StatusCode::NOT_FOUND);
    };
    if let Some(hold) = rest.strip_prefix("holds/") {
        let fencing_token = header_number(request, headers::FENCE);
        let Ok(hold) = hold.parse() else {
            return empty_response(StatusCode::BAD_REQUEST);
        };
        let released = http::lock(&host.engine).release(hold, fencing_token);
        return empty_response(if released {
            StatusCode::NO_CONTENT
        } else {
            StatusCode::CONFLICT
        });
    }
    if rest == "report" {
        let report = http::lock(&host.engine).report(fakes.now());
        return match report {
            Some(report) => json_response(&wire_engine::Report {
                running: report.running,
                prefill_rate: report.prefill_rate,
                pressure: report.pressure,
                holds: report.holds,
            }),
            None => empty_response(StatusCode::SERVICE_UNAVAILABLE),
        };
    }
    let Ok(chat) = serde_json::from_slice::<chat::Request>(body) else {
        return empty_response(StatusCode::BAD_REQUEST);
    };
    let call = engine_call(request, &chat);
    match host.start(&fakes, call) {
        Some((id, rx)) => {
            let name = name.to_owned();
            completion_response(CompletionStream { fakes: fakes.clone(), name, id, rx })
        }
        None => empty_response(StatusCode::SERVICE_UNAVAILABLE),
    }
}

fn header_number(request: &Request, name: &str) -> Option<u64> {
    request.headers().get(name)?.to_str().ok()?.parse().ok()
}

fn engine_call(request: &Request, chat: &chat::Request) -> engine::Call {
    let (prefix, messages) = match chat.messages.split_last() {
        Some((last, rest)) if chat.continue_final_message => (last.content.clone(), rest),
        _ => (String::new(), chat.messages.as_slice()),
    };
    let pairs = messages.iter().map(|m| (m.role.as_str(), m.content.as_str()));
    engine::Call {
        id: 0,
        prompt: engine::prompt_text(pairs),
        prefix,
        max_tokens: chat.max_tokens.unwrap_or(u32::MAX),
        hold: header_number(request, wire_engine::HOLD_ID),
        tag: 0,
    }
}

/// The response stream of a running call; dropping it aborts the call.
struct CompletionStream {
    fakes: sync::Arc<http::FakeSystems>,
    name: String,
    id: u64,
    rx: mpsc::UnboundedReceiver<engine::EngineEvent>,
}

impl Drop for CompletionStream {
    fn drop(&mut self) {
        self.fakes.engines[&self.name].abort(self.id);
    }
}

/// The engine crashed during the call.
#[derive(Debug, thiserror::Error)]
#[error("the engine crashed during the call")]
struct EngineDown;

fn completion_response(call: CompletionStream) -> BoxedResponse {
    let events = stream::unfold((call, false), |(mut call, ended)| async move {
        if ended {
            return None;
        }
        let item = match call.rx.recv().await? {
            engine::EngineEvent::Text { text, .. } => {
                (Ok(sse_event(&completion_chunk(Some(text), None))), false)
            }
            engine::EngineEvent::Done {
                prompt_tokens,
                cached_tokens,
                completion_tokens,
                hit_token_limit,
                ..
            } => {
                let usage = chat::ChatUsage {
                    prompt_tokens,
                    completion_tokens,
                    total_tokens: prompt_tokens + completion_tokens,
                    cached_tokens,
                };
                let reason = if hit_token_limit { "length" } else { "stop" };
                let mut last = completion_chunk(None, Some(reason.to_owned()));
                last.usage = Some(usage);
                let mut bytes = sse_event(&last);
                bytes.push_str("data: [DONE]\n\n");
                (Ok(bytes), true)
            }
            engine::EngineEvent::Broken { .. } => (Err(EngineDown), true),
        };
        let (bytes, ended) = item;
        Some((bytes.map(bytes::Bytes::from), (call, ended)))
    });
    Response::build(StatusCode::OK)
        .insert_header((header::CONTENT_TYPE, "text/event-stream"))
        .body(body::BodyStream::new(Box::pin(events)))
        .map_into_boxed_body()
}

fn completion_chunk(text: Option<String>, finish_reason: Option<String>) -> chat::Chunk {
    chat::Chunk {
        object: "chat.completion.chunk".to_owned(),
        choices: vec![chat::ChunkChoice {
            index: 0,
            delta: chat::Delta { content: text },
            finish_reason,
        }],
        usage: None,
        flamingotrail: None,
    }
}

fn sse_event(chunk: &chat::Chunk) -> String {
    format!("data: {}\n\n", serde_json::to_string(chunk).unwrap_or_default())
}
