//! Plain services: `POST {base}/{operation}` with the body and the idempotency key passed through.
//!
//! Whatever the service answers is its answer, error statuses included: only a connection that
//! never stood counts as not run.

use std::time;

use flamingotrail_core::errors;
use flamingotrail_core::ids;
use flamingotrail_core::messages;
use flamingotrail_core::work;
use flamingotrail_wire::engine;

use crate::endpoint;
use crate::http;

/// How long a connection to the runner beside this process may take.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_secs(1);
/// Longest run of a call; the service's own limit ends it earlier.
const RUN_TIMEOUT: time::Duration = time::Duration::from_secs(3600);
/// How long a report may take.
const REPORT_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// A runner of a plain service over HTTP.
pub struct HttpService {
    client: awc::Client,
    base: String,
}

impl HttpService {
    /// The runner at `base`.
    pub fn new(base: &str) -> Self {
        let client = http::client(CONNECT_TIMEOUT, RUN_TIMEOUT);
        HttpService { client, base: base.trim_end_matches('/').to_owned() }
    }

    async fn call(
        &self,
        operation: &str,
        body: &str,
        idempotency_key: &str,
    ) -> Result<work::Response, http::HttpError> {
        let url = format!("{}/{}", self.base, operation.trim_start_matches('/'));
        let request = self
            .client
            .post(&url)
            .force_close()
            .insert_header((engine::IDEMPOTENCY_KEY, idempotency_key))
            .insert_header(("content-type", "application/json"));
        let sent = request.send_body(body.to_owned()).await;
        let mut response = sent.map_err(|error| http::HttpError::from_send(&url, &error))?;
        let read = response.body().limit(http::MAX_BODY_BYTES).await;
        let read = read.map_err(|error| http::HttpError::broken(&url, error))?;
        Ok(work::Response {
            text: String::from_utf8_lossy(&read).into_owned(),
            status: response.status().as_u16(),
            usage: work::Usage::default(),
            finish: work::FinishReason::Stop,
        })
    }
}

impl endpoint::Endpoint for HttpService {
    fn run<'a>(
        &'a self,
        dispatch: &'a messages::Dispatch,
        _fence: Option<ids::FencingToken>,
        _sink: endpoint::TextSink,
    ) -> http::Local<'a, work::AttemptOutcome> {
        Box::pin(async move {
            let messages::Job::Service { operation, body, idempotency_key, timeout, .. } =
                &dispatch.job
            else {
                let detail = "a runner of a plain service takes no model call".to_owned();
                return work::AttemptOutcome::NotRun(errors::Refusal::EndpointRefused { detail });
            };
            let limit = (*timeout).min(dispatch.time_left);
            let call = self.call(operation, body, idempotency_key);
            match actix_rt::time::timeout(limit, call).await {
                Ok(Ok(answer)) => work::AttemptOutcome::Answered(answer),
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
        _fence: Option<ids::FencingToken>,
    ) -> http::Local<'_, bool> {
        Box::pin(async { true })
    }

    fn report(&self) -> http::Local<'_, Option<engine::Report>> {
        Box::pin(async move {
            let url = format!("{}/report", self.base);
            let request = self.client.get(&url).force_close().timeout(REPORT_TIMEOUT);
            request.send().await.ok()?.json::<engine::Report>().await.ok()
        })
    }
}
