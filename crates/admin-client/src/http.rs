//! One HTTP request to one replica.

use std::net::SocketAddr;
use std::time::Duration;

use grebepin_schema::ApiError;
use serde::de::DeserializeOwned;
use serde::Serialize;

use crate::error::ClientError;

/// Largest response body that is read, in bytes.
const MAX_RESPONSE_BYTES: u64 = 64 << 20;

/// Request method with its body, which is sent as JSON.
pub(crate) enum Call<'a, T> {
    Get,
    Post(&'a T),
}

pub(crate) fn agent(timeout: Duration) -> ureq::Agent {
    ureq::Agent::config_builder()
        .timeout_global(Some(timeout))
        .http_status_as_error(false)
        .max_redirects(0)
        .proxy(None)
        .build()
        .into()
}

pub(crate) fn request<T: Serialize, A: DeserializeOwned>(
    agent: &ureq::Agent,
    address: SocketAddr,
    path: &str,
    call: &Call<'_, T>,
) -> Result<A, ClientError> {
    let (status, body) = request_bytes(agent, address, path, call)?;
    serde_json::from_slice(&body).map_err(|error| ClientError::Malformed {
        address,
        status,
        reason: error.to_string(),
    })
}

/// Like [`request`], for a response whose body isn't needed or isn't JSON. Returns the status and body.
pub(crate) fn request_bytes<T: Serialize>(
    agent: &ureq::Agent,
    address: SocketAddr,
    path: &str,
    call: &Call<'_, T>,
) -> Result<(u16, Vec<u8>), ClientError> {
    let unreachable = |source| ClientError::Unreachable {
        address,
        source: Box::new(source),
    };
    let url = format!("http://{address}{path}");
    let response = match call {
        Call::Get => agent.get(&url).call(),
        Call::Post(content) => {
            let body = serde_json::to_vec(content).map_err(ClientError::Encode)?;
            agent
                .post(&url)
                .header("Content-Type", "application/json")
                .send(&body[..])
        }
    };
    let mut response = response.map_err(unreachable)?;
    let status = response.status().as_u16();
    let body = response
        .body_mut()
        .with_config()
        .limit(MAX_RESPONSE_BYTES)
        .read_to_vec()
        .map_err(unreachable)?;
    if (200..300).contains(&status) {
        return Ok((status, body));
    }
    Err(refusal(address, status, &body))
}

fn refusal(address: SocketAddr, status: u16, body: &[u8]) -> ClientError {
    match serde_json::from_slice::<ApiError>(body) {
        Ok(error) => ClientError::Refused {
            address,
            error: Box::new(error),
        },
        Err(error) => ClientError::Malformed {
            address,
            status,
            reason: error.to_string(),
        },
    }
}
