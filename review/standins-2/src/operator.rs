//! The operator: sends changes until they are acknowledged or refused, and reads the configuration.

use std::thread;
use std::time::{Duration, Instant};

use crate::deployment::Deployment;
use crate::http::{self, Response};

/// Time after which the operator moves to another node.
pub const PATIENCE: Duration = Duration::from_secs(1);

pub fn limits(version: u64) -> String {
    format!("{{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout_s\":3,\"idle_timeout_s\":15,\"version\":\"r{version}\"}}")
}

pub fn service(name: &str, version: u64) -> String {
    format!("{{\"name\":\"{name}\",\"health_path\":\"/healthz\",\"max_connections\":130,\"protocol\":\"h1\",\"tls\":false,\"version\":\"r{version}\"}}")
}

pub fn route(name: &str, kind: &str, prefix: &str, service: &str, timeout_s: f64, version: u64) -> String {
    format!("{{\"name\":\"{name}\",\"kind\":\"{kind}\",\"target_latency_s\":0.3,\"priority\":2,\"version\":\"r{version}\",\"match\":{{\"path_prefix\":\"{prefix}\"}},\"action\":{{\"service\":\"{service}\",\"timeout_s\":{timeout_s},\"max_attempts\":2}}}}")
}

/// A change of routes of one host, of services and of the limits.
pub fn change(limits: &str, host: &str, routes: &[String], services: &[String], removed_routes: &str) -> String {
    let limits = match limits.is_empty() {
        true => String::new(),
        false => format!("\"limits\":{limits},"),
    };
    let listeners = match routes.is_empty() {
        true => String::new(),
        false => format!("{{\"host\":\"{host}\",\"rules\":[{}]}}", routes.join(",")),
    };
    format!(
        "{{\"upsert\":{{{limits}\"listeners\":[{listeners}],\"clusters\":[{}]}},\"remove\":{{\"routes\":[{removed_routes}]}}}}",
        services.join(",")
    )
}

/// Sends a change to the nodes in turn until one acknowledges or refuses it; returns the last status, 0 for none.
pub fn send(deployment: &Deployment, what: &str, body: &str, nodes: &[String], limit: Duration) -> u16 {
    let until = Instant::now() + limit;
    let patience = PATIENCE + Duration::from_millis(body.len() as u64 / 250);
    let mut pause = Duration::from_millis(50);
    loop {
        for node in nodes {
            let answer = http::call(node, "config.patch", "", body, patience);
            match &answer {
                Ok(response) if response.status == 200 => {
                    deployment.record.note(&format!("operator: {what} at {node}: acknowledged"));
                    return 200;
                }
                Ok(response) if matches!(response.status, 400 | 409 | 412 | 413 | 422) => {
                    let text = response.text();
                    let status = response.status;
                    deployment.record.note(&format!("operator: {what} at {node}: refused with {status}: {text}"));
                    return status;
                }
                Ok(response) => {
                    let status = response.status;
                    deployment.record.note(&format!("operator: {what} at {node}: {status}, moves on"));
                }
                Err(error) => {
                    deployment.record.note(&format!("operator: {what} at {node}: {error}, moves on"));
                }
            }
            if Instant::now() >= until {
                return 0;
            }
        }
        thread::sleep(pause);
        pause = (pause * 2).min(Duration::from_secs(1));
    }
}

/// Reads the configuration at one node.
pub fn read(deployment: &Deployment, node: &str) -> Option<Response> {
    let answer = http::call(node, "config.get", "", "", Duration::from_secs(3));
    let answer = answer.ok()?;
    deployment.record.note(&format!(
        "operator: reads the configuration at {node}: {}, {} bytes",
        answer.status,
        answer.body.len()
    ));
    Some(answer)
}
