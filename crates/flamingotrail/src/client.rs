//! Clients of the platform's services and of processes, shared by all commands.

use std::io;
use std::time;

use flamingotrail_config::config_set;
use flamingotrail_platform::http;
use flamingotrail_platform::instance_list;
use flamingotrail_platform::instance_list::InstanceList as _;
use flamingotrail_platform::log_service;
use flamingotrail_wire::platform;

/// Timeout for requests to a process.
const REQUEST_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// The set of objects can't be loaded.
    #[error(transparent)]
    Load(#[from] config_set::LoadError),
    /// A process did not return a valid response.
    #[error(transparent)]
    Http(#[from] http::HttpError),
    /// The log does not respond.
    #[error("the log does not respond; check --log-url, or retry once the log is available")]
    LogUnavailable,
    /// The list of instances does not respond.
    #[error("the list of instances does not respond; check --list-url")]
    ListUnavailable,
    /// A key or certificate can't be generated.
    #[error("can't generate keys: {0}; check the names and the folder")]
    KeyGeneration(#[from] rcgen::Error),
    /// A file can't be written, or one of an existing authority can't be read.
    #[error("can't write {path}: {error}; check the folder")]
    File {
        /// Path of the file.
        path: String,
        /// Cause of the failure.
        error: io::Error,
    },
}

/// Clients of the platform's log and list, and of processes.
pub struct Client {
    /// Client of the platform's log.
    pub log: Box<dyn log_service::LogService>,
    list: instance_list::HttpInstanceList,
    http: awc::Client,
}

impl Client {
    /// Creates clients of the platform services at these base addresses.
    pub fn new(log_url: &str, list_url: &str) -> Self {
        Client {
            log: Box::new(log_service::HttpLogService::new(log_url)),
            list: instance_list::HttpInstanceList::new(list_url),
            http: http::client(REQUEST_TIMEOUT, REQUEST_TIMEOUT),
        }
    }

    /// Fetches the platform's list of instances.
    pub async fn list_instances(&self) -> Result<Vec<platform::ListedInstance>, ClientError> {
        self.list.fetch().await.ok_or(ClientError::ListUnavailable)
    }

    /// Sends a request to a process's operator address and returns the body of its response.
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
