//! Records which routing table each router has in force, by polling its admin interface.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use grebepin_schema::{HistoryEvent, InForceRecord, LogIndex};
use grebepin_standin::history::HistoryWriter;

const POLL_INTERVAL: Duration = Duration::from_millis(100);
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Polls routers until it is stopped.
pub struct Observer {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Observer {
    /// Starts a polling thread for each router's admin address; changes are written to `history`.
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

    /// Stops the threads and waits for their end.
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
        if let Some(now) = fetch(&agent, url).filter(has_table) {
            if last.as_ref() != Some(&now) {
                let event = HistoryEvent::InForce(now.clone());
                history.record(Instant::now(), event).ok();
                last = Some(now);
            }
        }
        thread::sleep(POLL_INTERVAL);
    }
}

/// False for a router that has just started: it has no table in force yet, which must not be recorded as
/// a return to an older table.
fn has_table(record: &InForceRecord) -> bool {
    record.index > LogIndex(0)
}

fn fetch(agent: &ureq::Agent, url: &str) -> Option<InForceRecord> {
    agent.get(url).call().ok()?.body_mut().read_json().ok()
}
