//! The platform's lagging list of instances: `GET /instances` answers a JSON array.

use std::time;

use flamingotrail_wire::platform;

use crate::http;

/// How long the list may take to answer.
const TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// A list of live and leaving instances.
pub trait InstanceList {
    /// The list as it stands. None where it does not answer.
    fn fetch(&self) -> http::LocalFuture<'_, Option<Vec<platform::ListedInstance>>>;
}

/// The list over HTTP.
pub struct HttpInstanceList {
    client: awc::Client,
    url: String,
}

impl HttpInstanceList {
    /// The list at `base`, such as `http://10.0.0.1:7001`.
    pub fn new(base: &str) -> Self {
        let url = format!("{}/instances", base.trim_end_matches('/'));
        HttpInstanceList { client: http::client(TIMEOUT, TIMEOUT), url }
    }

    async fn try_fetch(&self) -> Result<Vec<platform::ListedInstance>, http::HttpError> {
        let sent = self.client.get(&self.url).send().await;
        let mut response =
            sent.map_err(|error| http::HttpError::from_send_error(&self.url, &error))?;
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
            let fetched = self.try_fetch().await;
            fetched
                .inspect_err(|error| {
                    log::warn!("event=list_failed error={:?}", error.to_string());
                })
                .ok()
        })
    }
}
