//! Client for the platform's instance list: `GET /instances` returns a JSON array, which may lag
//! behind the actual state.

use std::time;

use flamingotrail_wire::platform;

use crate::http;

/// Timeout for connecting and for a request.
const TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Source of the platform's list of live and leaving instances.
pub trait InstanceList {
    /// Fetches the current list, or `None` if it can't be fetched.
    fn fetch(&self) -> http::LocalFuture<'_, Option<Vec<platform::ListedInstance>>>;
}

/// Instance list client over HTTP.
pub struct HttpInstanceList {
    client: awc::Client,
    url: String,
}

impl HttpInstanceList {
    /// Creates a client for the list at base URL `base_url`, such as `http://10.0.0.1:7001`.
    pub fn new(base_url: &str) -> Self {
        let url = format!("{}/instances", base_url.trim_end_matches('/'));
        HttpInstanceList { client: http::client(TIMEOUT, TIMEOUT), url }
    }

    async fn try_fetch(&self) -> Result<Vec<platform::ListedInstance>, http::HttpError> {
        let result = self.client.get(&self.url).send().await;
        let mut response =
            result.map_err(|error| http::HttpError::from_send_error(&self.url, &error))?;
        let body = response.body().limit(http::MAX_BODY_BYTES).await;
        let body = body.map_err(|error| http::HttpError::invalid_response(&self.url, error))?;
        if !response.status().is_success() {
            let status = response.status().as_u16();
            return Err(http::HttpError::from_status(&self.url, status, &body));
        }
        serde_json::from_slice(&body)
            .map_err(|error| http::HttpError::invalid_response(&self.url, error))
    }
}

impl InstanceList for HttpInstanceList {
    fn fetch(&self) -> http::LocalFuture<'_, Option<Vec<platform::ListedInstance>>> {
        Box::pin(async move {
            let result = self.try_fetch().await;
            result
                .inspect_err(|error| {
                    log::warn!("event=list_failed error={:?}", error.to_string());
                })
                .ok()
        })
    }
}
