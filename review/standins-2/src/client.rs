//! Clients of the gateways. Each request goes over a connection of its own.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::deployment::Deployment;
use crate::http::{self, Response};

pub const HOST: &str = "jepu9.example";

static NEXT: AtomicU64 = AtomicU64::new(1);

/// A new id for one attempt.
pub fn new_id() -> String {
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    format!("{:016x}", 0x9c41_0000_0000_0000_u64 + number)
}

/// The bytes of a request.
pub fn request(method: &str, path: &str, id: &str, deadline: Duration, body: &[u8]) -> Vec<u8> {
    let deadline_ms = deadline.as_millis();
    let mut bytes = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\nDeadline-Ms: {deadline_ms}\r\nContent-Length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Sends a request to a gateway and notes the answer.
pub fn send(deployment: &Deployment, edge: u8, method: &str, path: &str, id: &str, deadline: Duration) -> Result<Response, String> {
    let bytes = request(method, path, id, deadline, b"");
    let answer = http::exchange(&deployment.front(edge), &bytes, deadline);
    let outcome = match &answer {
        Ok(response) => format!("{}, signature {}", response.status, response.field("server-signature").unwrap_or("none")),
        Err(error) => error.clone(),
    };
    deployment.record.note(&format!("client: {method} {path} {id} at edge-{edge}: {outcome}"));
    answer
}

/// Whether an answer is a success with a signature.
pub fn is_served(answer: &Result<Response, String>) -> bool {
    let answer = answer.as_ref();
    answer.is_ok_and(|one| one.status == 200 && one.field("server-signature").is_some())
}
