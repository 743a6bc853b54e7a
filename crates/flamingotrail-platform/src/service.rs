//! Client for service runners: `POST {base}/{operation}` with the body and idempotency key of the
//! call.
//!
//! Any response of the service completes the call, including one with an error status. A call
//! counts as not run only if the connection could not be established.

use std::time;

use flamingotrail_core::errors;
use flamingotrail_core::ids;
use flamingotrail_core::messages;
use flamingotrail_core::work;
use flamingotrail_wire::engine;

use crate::endpoint;
use crate::http;

/// Timeout for connecting to the co-located runner.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_secs(1);
/// Timeout of the HTTP client for a call; the configured timeout of the service expires earlier.
const RUN_TIMEOUT: time::Duration = time::Duration::from_secs(3600);
/// Largest status that a response can have; the HTTP client rejects those below 100.
const MAX_STATUS: u16 = 599;
/// Timeout for fetching the load report.
const REPORT_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Service runner client over HTTP.
pub struct HttpService {
    client: awc::Client,
    base_url: String,
}

impl HttpService {
    /// Creates a client for the runner at base URL `base_url`.
    pub fn new(base_url: &str) -> Self {
        let client = http::client(CONNECT_TIMEOUT, RUN_TIMEOUT);
        HttpService { client, base_url: base_url.trim_end_matches('/').to_owned() }
    }

    async fn call(
        &self,
        operation: &str,
        body: &str,
        idempotency_key: &str,
    ) -> Result<work::Response, http::HttpError> {
        let url = format!("{}/{}", self.base_url, operation.trim_start_matches('/'));
        let request = self
            .client
            .post(&url)
            .force_close()
            .insert_header((engine::IDEMPOTENCY_KEY, idempotency_key))
            .insert_header(("content-type", "application/json"));
        let result = request.send_body(body.to_owned()).await;
        let mut response =
            result.map_err(|error| http::HttpError::from_send_error(&url, &error))?;
        let body = response.body().limit(http::MAX_BODY_BYTES).await;
        let body = body.map_err(|error| http::HttpError::invalid_response(&url, error))?;
        let status = response.status().as_u16();
        if status > MAX_STATUS {
            let detail = format!("status {status} is none of a response");
            return Err(http::HttpError::invalid_response(&url, detail));
        }
        Ok(work::Response {
            text: String::from_utf8_lossy(&body).into_owned(),
            status,
            usage: work::Usage::default(),
            finish: work::FinishReason::Stop,
        })
    }
}

impl endpoint::Endpoint for HttpService {
    fn run<'a>(
        &'a self,
        dispatch: &'a messages::Dispatch,
        _fencing_token: Option<ids::FencingToken>,
        _sink: endpoint::TextSink,
    ) -> http::LocalFuture<'a, work::AttemptOutcome> {
        Box::pin(async move {
            let messages::Job::Service { operation, body, idempotency_key, timeout, .. } =
                &dispatch.job
            else {
                let detail = "a service runner does not accept model calls".to_owned();
                return work::AttemptOutcome::NotRun(errors::Refusal::EndpointRefused { detail });
            };
            let timeout = (*timeout).min(dispatch.time_left);
            let call = self.call(operation, body, idempotency_key);
            match actix_rt::time::timeout(timeout, call).await {
                Ok(Ok(response)) => work::AttemptOutcome::Answered(response),
                Ok(Err(http::HttpError::Unreachable { .. })) => {
                    work::AttemptOutcome::NotRun(errors::Refusal::NoEndpoint("service".to_owned()))
                }
                Ok(Err(_)) => work::AttemptOutcome::Broken {
                    partial: String::new(),
                    endpoint_crashed: self.report().await.is_none(),
                },
                Err(_) => {
                    work::AttemptOutcome::Broken { partial: String::new(), endpoint_crashed: false }
                }
            }
        })
    }

    fn release(
        &self,
        _hold: ids::HoldId,
        _fencing_token: Option<ids::FencingToken>,
    ) -> http::LocalFuture<'_, bool> {
        Box::pin(async { true })
    }

    fn report(&self) -> http::LocalFuture<'_, Option<engine::Report>> {
        Box::pin(async move {
            let url = format!("{}/report", self.base_url);
            let request = self.client.get(&url).force_close().timeout(REPORT_TIMEOUT);
            request.send().await.ok()?.json::<engine::Report>().await.ok()
        })
    }
}
