//! Watches, from outside, which table each router has in force.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use grebepin_schema::{HistoryEvent, InForceRecord, LogIndex};
use grebepin_standin::history::HistoryWriter;

const INTERVAL: Duration = Duration::from_millis(100);
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Polls routers until it is stopped.
pub struct Observer {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Observer {
    /// Starts a thread for each router's admin address.
    pub fn start(routers: &[SocketAddr], history: &Arc<HistoryWriter>) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let watch_one = |address: &SocketAddr| {
            let url = format!("http://{address}/v1/table-index");
            let stop = Arc::clone(&stop);
            let history = Arc::clone(history);
            thread::spawn(move || watch(&url, &stop, &history))
        };
        let threads = routers.iter().map(watch_one).collect();
        Self { stop, threads }
    }

    /// Stops and waits for the threads.
    pub fn stop(self) {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads {
            thread.join().ok();
        }
    }
}

fn watch(url: &str, stop: &AtomicBool, history: &HistoryWriter) {
    let config = ureq::Agent::config_builder().timeout_global(Some(CALL_TIMEOUT));
    let agent = ureq::Agent::new_with_config(config.build());
    let mut last: Option<InForceRecord> = None;
    while !stop.load(Ordering::Relaxed) {
        if let Some(now) = ask(&agent, url).filter(has_table) {
            if last.as_ref() != Some(&now) {
                let event = HistoryEvent::InForce(now.clone());
                history.record(Instant::now(), event).ok();
                last = Some(now);
            }
        }
        thread::sleep(INTERVAL);
    }
}

/// A router that has just started has no table in force yet, which is no older table.
fn has_table(record: &InForceRecord) -> bool {
    record.index > LogIndex(0)
}

fn ask(agent: &ureq::Agent, url: &str) -> Option<InForceRecord> {
    agent.get(url).call().ok()?.body_mut().read_json().ok()
}
