//! Health checks of endpoints, each on a connection of its own.

use std::time;

use flamingotrail_adapter::connection;
use flamingotrail_adapter::requests;
use flamingotrail_adapter::responses;
use flamingotrail_gateway::ids;
use flamingotrail_gateway::input;

use crate::gateway::pool;

/// Timeout of a check, including that for connecting.
const CHECK_TIMEOUT: time::Duration = time::Duration::from_millis(1_000);

/// Returns what `endpoint` announces in its response to a health check; `None` if there is no
/// response, or the endpoint is not healthy.
pub async fn check(endpoint: &ids::EndpointId, address: &str, path: &str) -> Option<input::Notice> {
    match tokio::time::timeout(CHECK_TIMEOUT, request(address, path)).await {
        Ok(Ok(head)) => {
            responses::is_healthy(&head, endpoint).then(|| responses::metadata(&head).notice)
        }
        Ok(Err(error)) => {
            log::debug!("event=check_failed endpoint={endpoint} error={:?}", error.to_string());
            None
        }
        Err(_) => {
            log::debug!("event=check_timed_out endpoint={endpoint}");
            None
        }
    }
}

async fn request(
    address: &str,
    path: &str,
) -> Result<connection::ResponseHead, connection::ConnectionError> {
    let mut connection = pool::connect(address, CHECK_TIMEOUT).await?;
    connection.exchange(&requests::encode_health_check(address, path), &[]).await
}
