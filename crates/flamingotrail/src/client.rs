//! Clients of the platform's log, its instance list and the instances, shared by all commands.

use std::io;
use std::time;

use flamingotrail_config::config_set;
use flamingotrail_platform::http;
use flamingotrail_platform::instance_list;
use flamingotrail_platform::instance_list::InstanceList as _;
use flamingotrail_platform::log_service;
use flamingotrail_wire::platform;

/// Timeout for a request to an instance.
const REQUEST_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// Reason why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// The configuration set can't be loaded.
    #[error(transparent)]
    Load(#[from] config_set::LoadError),
    /// An instance did not return a valid response.
    #[error(transparent)]
    Http(#[from] http::HttpError),
    /// The log does not respond or does not store an entry.
    #[error("the log does not respond; check --log-url, or retry once the log is available")]
    LogUnavailable,
    /// The instance list can't be fetched.
    #[error("the instance list does not respond; check --list-url, or retry once it is available")]
    ListUnavailable,
    /// A key or certificate can't be generated, or an existing authority is invalid.
    #[error("can't generate keys: {0}; check the instance names and any existing authority files")]
    KeyGeneration(#[from] rcgen::Error),
    /// A file can't be read or written.
    #[error("can't read or write {path}: {error}; check that the path is correct and accessible")]
    File {
        /// Path of the file.
        path: String,
        /// The underlying I/O error.
        error: io::Error,
    },
}

/// Clients of the platform's log, its instance list and the instances.
pub struct Client {
    /// Client of the platform's log.
    pub log: Box<dyn log_service::LogService>,
    list: instance_list::HttpInstanceList,
    http: awc::Client,
}

impl Client {
    /// Creates clients for the log and the instance list at these base URLs.
    pub fn new(log_url: &str, list_url: &str) -> Self {
        Client {
            log: Box::new(log_service::HttpLogService::new(log_url)),
            list: instance_list::HttpInstanceList::new(list_url),
            http: http::client(REQUEST_TIMEOUT, REQUEST_TIMEOUT),
        }
    }

    /// Fetches the platform's instance list.
    pub async fn list_instances(&self) -> Result<Vec<platform::ListedInstance>, ClientError> {
        self.list.fetch().await.ok_or(ClientError::ListUnavailable)
    }

    /// Sends a request to the admin address of an instance and returns the body of the response.
    pub async fn request(
        &self,
        method: awc::http::Method,
        admin: &str,
        path: &str,
    ) -> Result<Vec<u8>, ClientError> {
        let url = format!("http://{admin}{path}");
        let result = self.http.request(method, &url).send().await;
        let mut response =
            result.map_err(|error| http::HttpError::from_send_error(&url, &error))?;
        let body = response.body().limit(http::MAX_BODY_BYTES).await;
        let body = body.map_err(|error| http::HttpError::invalid_response(&url, error))?;
        if !response.status().is_success() {
            let status = response.status().as_u16();
            return Err(http::HttpError::from_status(&url, status, &body).into());
        }
        Ok(body.to_vec())
    }
}
