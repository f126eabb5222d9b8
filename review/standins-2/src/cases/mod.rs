//! The cases.

mod detours;
mod foreign_heartbeats;
mod large_changes;
mod refused_order;
mod unread_answers;

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::client;
use crate::deployment::Deployment;

/// A case: returns whether its rule was broken.
pub struct Case {
    pub name: &'static str,
    pub edges: u8,
    pub is_proxied: bool,
    pub run: fn(&Arc<Deployment>, bool) -> Result<bool, String>,
}

const CASES: [Case; 5] = [
    Case {
        name: "large-changes",
        edges: 2,
        is_proxied: false,
        run: large_changes::run,
    },
    Case {
        name: "refused-order",
        edges: 2,
        is_proxied: false,
        run: refused_order::run,
    },
    Case {
        name: "foreign-heartbeats",
        edges: 2,
        is_proxied: false,
        run: foreign_heartbeats::run,
    },
    Case {
        name: "unread-answers",
        edges: 2,
        is_proxied: false,
        run: unread_answers::run,
    },
    Case {
        name: "detours",
        edges: 4,
        is_proxied: true,
        run: detours::run,
    },
];

pub fn find(name: &str) -> Option<Case> {
    CASES.into_iter().find(|case| case.name == name)
}

/// Sends requests to each gateway until one to each path is served, as before the start of traffic.
fn wait_until_served(deployment: &Deployment, edges: u8, paths: &[&str]) -> Result<(), String> {
    let until = Instant::now() + Duration::from_secs(15);
    for edge in 1..=edges {
        for path in paths {
            loop {
                let deadline = Duration::from_secs(1);
                let answer = client::send(deployment, edge, "GET", path, &client::new_id(), deadline);
                if client::is_served(&answer) {
                    break;
                }
                if Instant::now() >= until {
                    return Err(format!("edge-{edge} doesn't serve {path} before the trouble begins"));
                }
                thread::sleep(Duration::from_millis(100));
            }
        }
    }
    Ok(())
}
