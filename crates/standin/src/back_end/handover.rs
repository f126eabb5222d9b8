//! Fetches the records of shards from their previous owners, in background threads.
//!
//! Invariant: every fetch that requests wait for completes, with or without a record.

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::sync::{Arc, Weak};
use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, RecvTimeoutError, Sender};
use grebepin_holder::HandoverFetch;
use grebepin_schema::limits::MAX_BACK_END_MESSAGE_BYTES;
use grebepin_schema::{HandoverAnswer, SocketAddress};

use super::node::Node;

/// Number of threads for urgent fetches.
const WORKERS: usize = 4;

/// Timeout of one fetch.
const FETCH_TIMEOUT: Duration = Duration::from_millis(1000);

/// Time for which a worker doesn't call a server again that failed to answer.
const UNRESPONSIVE_BACKOFF: Duration = Duration::from_secs(2);

/// Interval at which a lost owner is asked again for a record.
const RETRY_INTERVAL: Duration = Duration::from_secs(2);

/// Sending ends of the fetch queues: `urgent` for fetches that requests wait for, `retry` for fetches
/// from lost owners and failed fetches.
#[derive(Clone, Debug)]
pub(crate) struct FetchQueues {
    urgent: Sender<HandoverFetch>,
    retry: Sender<HandoverFetch>,
}

/// Receiving ends of the fetch queues.
#[derive(Clone, Debug)]
pub(crate) struct FetchReceivers {
    urgent: Receiver<HandoverFetch>,
    retry: Receiver<HandoverFetch>,
}

impl FetchQueues {
    pub(crate) fn new() -> (Self, FetchReceivers) {
        let (urgent, urgent_receiver) = crossbeam_channel::unbounded();
        let (retry, retry_receiver) = crossbeam_channel::unbounded();
        let receivers = FetchReceivers {
            urgent: urgent_receiver,
            retry: retry_receiver,
        };
        (Self { urgent, retry }, receivers)
    }

    pub(crate) fn put(&self, fetch: HandoverFetch) {
        let queue = match fetch.previous.released {
            true => &self.urgent,
            false => &self.retry,
        };
        queue.send(fetch).ok();
    }
}

/// Starts the threads that fetch records. They end when the node is dropped.
pub(crate) fn start_workers(node: &Arc<Node>, fetches: &FetchReceivers) -> io::Result<()> {
    for _ in 0..WORKERS {
        let (node, fetches) = (Arc::downgrade(node), fetches.urgent.clone());
        std::thread::Builder::new()
            .name("handover".into())
            .spawn(move || Worker::new().run(&node, &fetches))?;
    }
    let (node, fetches) = (Arc::downgrade(node), fetches.retry.clone());
    std::thread::Builder::new()
        .name("late-handover".into())
        .spawn(move || Worker::new().run_retries(&node, &fetches))?;
    Ok(())
}

struct Worker {
    agent: ureq::Agent,
    unresponsive_until: BTreeMap<SocketAddress, Instant>,
}

impl Worker {
    fn new() -> Self {
        let config = ureq::Agent::config_builder()
            .timeout_global(Some(FETCH_TIMEOUT))
            .proxy(None)
            .build();
        Self {
            agent: config.into(),
            unresponsive_until: BTreeMap::new(),
        }
    }

    /// Performs urgent fetches, once each, and passes them on to the retry queue, which drops those whose
    /// record is no longer wanted.
    fn run(mut self, node: &Weak<Node>, fetches: &Receiver<HandoverFetch>) {
        for fetch in fetches {
            let answer = self.fetch(&fetch);
            let Some(node) = node.upgrade() else {
                return;
            };
            complete_fetch(&node, &fetch, answer.as_ref());
            node.fetches.retry.send(fetch).ok();
        }
    }

    /// Repeats fetches until the record has been received or is no longer is_wanted.
    fn run_retries(mut self, node: &Weak<Node>, fetches: &Receiver<HandoverFetch>) {
        let mut waiting: VecDeque<(Instant, HandoverFetch)> = VecDeque::new();
        loop {
            let due = waiting.front().map(|(due, _)| *due);
            let pause = due.map_or(RETRY_INTERVAL, |due| {
                due.saturating_duration_since(Instant::now())
            });
            let next = match fetches.recv_timeout(pause) {
                Ok(fetch) => Some(fetch),
                Err(RecvTimeoutError::Timeout) => waiting.pop_front().map(|(_, fetch)| fetch),
                Err(RecvTimeoutError::Disconnected) => return,
            };
            let Some(fetch) = next else {
                continue;
            };
            if !is_wanted(node, &fetch) {
                continue;
            }
            let answer = self.fetch(&fetch);
            let Some(node) = node.upgrade() else {
                return;
            };
            complete_fetch(&node, &fetch, answer.as_ref());
            waiting.push_back((Instant::now() + RETRY_INTERVAL, fetch));
        }
    }

    fn fetch(&mut self, fetch: &HandoverFetch) -> Option<HandoverAnswer> {
        let address = &fetch.previous.address;
        let now = Instant::now();
        self.unresponsive_until.retain(|_, until| *until > now);
        if self.unresponsive_until.contains_key(address) {
            return None;
        }
        let answer = self.ask(fetch);
        if answer.is_none() {
            self.unresponsive_until
                .insert(address.clone(), now + UNRESPONSIVE_BACKOFF);
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
        let limit = MAX_BACK_END_MESSAGE_BYTES as u64;
        let body = response
            .body_mut()
            .with_config()
            .limit(limit)
            .read_to_vec()
            .ok()?;
        serde_json::from_slice(&body).ok()
    }
}

fn is_wanted(node: &Weak<Node>, fetch: &HandoverFetch) -> bool {
    node.upgrade()
        .is_some_and(|node| node.with_holder(|holder, now| holder.wants_record(now, &fetch.shard)))
}

fn complete_fetch(node: &Node, fetch: &HandoverFetch, answer: Option<&HandoverAnswer>) {
    node.faults.wait_while_frozen();
    node.with_holder(|holder, now| holder.complete_handover(now, &fetch.shard, answer));
}
