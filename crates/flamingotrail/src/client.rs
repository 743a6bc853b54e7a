//! What the commands share: the platform's clients and requests to processes.

use std::io;
use std::time;

use flamingotrail_config::config_set;
use flamingotrail_platform::http;
use flamingotrail_platform::instance_list;
use flamingotrail_platform::instance_list::InstanceList as _;
use flamingotrail_platform::log_service;
use flamingotrail_wire::platform;

/// How long a process may take to answer an operator.
const TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// A command that could not be carried out.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// A set that can't be loaded.
    #[error(transparent)]
    Load(#[from] config_set::LoadError),
    /// A process that gave no usable answer.
    #[error(transparent)]
    Http(#[from] http::HttpError),
    /// The log.
    #[error("the log does not answer; check --log-url, and retry after its outage")]
    LogUnavailable,
    /// The list.
    #[error("the list of instances does not answer; check --list-url")]
    ListUnavailable,
    /// Keys.
    #[error("keys can't be made: {0}; check the names and the folder")]
    KeyGeneration(#[from] rcgen::Error),
    /// Files.
    #[error("{path} can't be written: {error}; check the folder")]
    File {
        /// The path.
        path: String,
        /// Why.
        error: io::Error,
    },
}

/// Clients for the commands.
pub struct Client {
    /// The log.
    pub log: Box<dyn log_service::LogService>,
    list: instance_list::HttpInstanceList,
    http: awc::Client,
}

impl Client {
    /// Clients of the platform at these addresses.
    pub fn new(log_url: &str, list_url: &str) -> Self {
        Client {
            log: Box::new(log_service::HttpLogService::new(log_url)),
            list: instance_list::HttpInstanceList::new(list_url),
            http: http::client(TIMEOUT, TIMEOUT),
        }
    }

    /// Rows of the platform's list.
    pub async fn list_instances(&self) -> Result<Vec<platform::ListedInstance>, ClientError> {
        self.list.fetch().await.ok_or(ClientError::ListUnavailable)
    }

    /// Body of a process's answer for operators.
    pub async fn request(
        &self,
        method: awc::http::Method,
        admin: &str,
        path: &str,
    ) -> Result<Vec<u8>, ClientError> {
        let url = format!("http://{admin}{path}");
        let sent = self.http.request(method, &url).send().await;
        let mut response = sent.map_err(|error| http::HttpError::from_send_error(&url, &error))?;
        let body = response.body().limit(http::MAX_BODY_BYTES).await;
        let body = body.map_err(|error| http::HttpError::invalid_response(&url, error))?;
        if !response.status().is_success() {
            let status = response.status().as_u16();
            return Err(http::HttpError::from_status(&url, status, &body).into());
        }
        Ok(body.to_vec())
    }
}
