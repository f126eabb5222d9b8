//! Fetches the records of shards from their previous owners, in the background.
//!
//! Invariant: every fetch ends, with a record or without, so that no shard waits for ever.

use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Weak};
use std::time::{Duration, Instant};

use crossbeam_channel::Receiver;
use grebepin_holder::HandoverFetch;
use grebepin_schema::limits::MAXIMUM_BACK_END_MESSAGE_BYTES;
use grebepin_schema::{HandoverAnswer, SocketAddress};

use super::node::Node;

/// Fetches under way at once.
const WORKERS: usize = 4;

/// Longest time of one fetch.
const FETCH_TIME: Duration = Duration::from_millis(1000);

/// How long a server that did not answer is not asked again by the same worker.
const DEAF_TIME: Duration = Duration::from_secs(2);

/// Starts the threads that fetch records.
pub(crate) fn start_workers(node: &Arc<Node>, fetches: &Receiver<HandoverFetch>) -> io::Result<()> {
    for _ in 0..WORKERS {
        let node = Arc::downgrade(node);
        let fetches = fetches.clone();
        std::thread::Builder::new()
            .name("handover".into())
            .spawn(move || Worker::new().run(&node, &fetches))?;
    }
    Ok(())
}

struct Worker {
    agent: ureq::Agent,
    deaf_until: BTreeMap<SocketAddress, Instant>,
}

impl Worker {
    fn new() -> Self {
        let config = ureq::Agent::config_builder()
            .timeout_global(Some(FETCH_TIME))
            .proxy(None)
            .build();
        Self {
            agent: config.into(),
            deaf_until: BTreeMap::new(),
        }
    }

    fn run(mut self, node: &Weak<Node>, fetches: &Receiver<HandoverFetch>) {
        for fetch in fetches {
            let answer = self.fetch(&fetch);
            let Some(node) = node.upgrade() else {
                return;
            };
            node.faults.wait_while_frozen();
            node.with_holder(|holder, now| {
                holder.complete_handover(now, &fetch.shard, answer.as_ref());
            });
        }
    }

    fn fetch(&mut self, fetch: &HandoverFetch) -> Option<HandoverAnswer> {
        let address = &fetch.previous.address;
        let now = Instant::now();
        self.deaf_until.retain(|_, until| *until > now);
        if self.deaf_until.contains_key(address) {
            return None;
        }
        let answer = self.ask(fetch);
        if answer.is_none() {
            self.deaf_until.insert(address.clone(), now + DEAF_TIME);
        }
        answer
    }

    fn ask(&self, fetch: &HandoverFetch) -> Option<HandoverAnswer> {
        let url = format!(
            "http://{}/grebepin/v1/handover?service={}&shard={}&epoch={}",
            fetch.previous.address.as_str(),
            fetch.shard.service.as_str(),
            fetch.shard.shard.0,
            fetch.previous.epoch.0
        );
        let mut response = self.agent.get(url).call().ok()?;
        let limit = MAXIMUM_BACK_END_MESSAGE_BYTES as u64;
        let body = response
            .body_mut()
            .with_config()
            .limit(limit)
            .read_to_vec()
            .ok()?;
        serde_json::from_slice(&body).ok()
    }
}
