//! Fetches the records of shards from their previous owners, in the background.
//!
//! Invariant: every fetch that requests wait for ends, with a record or without.

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::sync::{Arc, Weak};
use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, RecvTimeoutError, Sender};
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

/// Pause before a lost owner is asked again for a record.
const LATE_PAUSE: Duration = Duration::from_secs(2);

/// Where fetches go: those that requests wait for, and those from lost owners.
#[derive(Clone, Debug)]
pub(crate) struct FetchQueues {
    urgent: Sender<HandoverFetch>,
    late: Sender<HandoverFetch>,
}

/// The other end of the queues.
#[derive(Clone, Debug)]
pub(crate) struct FetchReceivers {
    urgent: Receiver<HandoverFetch>,
    late: Receiver<HandoverFetch>,
}

impl FetchQueues {
    pub(crate) fn new() -> (Self, FetchReceivers) {
        let (urgent, urgent_receiver) = crossbeam_channel::unbounded();
        let (late, late_receiver) = crossbeam_channel::unbounded();
        let receivers = FetchReceivers {
            urgent: urgent_receiver,
            late: late_receiver,
        };
        (Self { urgent, late }, receivers)
    }

    pub(crate) fn put(&self, fetch: HandoverFetch) {
        let queue = match fetch.previous.released {
            true => &self.urgent,
            false => &self.late,
        };
        queue.send(fetch).ok();
    }
}

/// Starts the threads that fetch records; they end with the node.
pub(crate) fn start_workers(node: &Arc<Node>, fetches: &FetchReceivers) -> io::Result<()> {
    for _ in 0..WORKERS {
        let (node, fetches) = (Arc::downgrade(node), fetches.urgent.clone());
        std::thread::Builder::new()
            .name("handover".into())
            .spawn(move || Worker::new().run(&node, &fetches))?;
    }
    let (node, fetches) = (Arc::downgrade(node), fetches.late.clone());
    std::thread::Builder::new()
        .name("late-handover".into())
        .spawn(move || Worker::new().run_late(&node, &fetches))?;
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

    /// Fetches what requests wait for, once; what fails is tried again among the late ones.
    fn run(mut self, node: &Weak<Node>, fetches: &Receiver<HandoverFetch>) {
        for fetch in fetches {
            let answer = self.fetch(&fetch);
            let Some(node) = node.upgrade() else {
                return;
            };
            hand_in(&node, &fetch, answer.as_ref());
            node.fetches.late.send(fetch).ok();
        }
    }

    /// Asks lost owners for their records until they answer or nobody wants the record any more.
    fn run_late(mut self, node: &Weak<Node>, fetches: &Receiver<HandoverFetch>) {
        let mut waiting: VecDeque<(Instant, HandoverFetch)> = VecDeque::new();
        loop {
            let due = waiting.front().map(|(due, _)| *due);
            let pause = due.map_or(LATE_PAUSE, |due| {
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
            if !wanted(node, &fetch) {
                continue;
            }
            let answer = self.fetch(&fetch);
            let Some(node) = node.upgrade() else {
                return;
            };
            hand_in(&node, &fetch, answer.as_ref());
            waiting.push_back((Instant::now() + LATE_PAUSE, fetch));
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

fn wanted(node: &Weak<Node>, fetch: &HandoverFetch) -> bool {
    node.upgrade()
        .is_some_and(|node| node.with_holder(|holder, now| holder.wants_record(now, &fetch.shard)))
}

fn hand_in(node: &Node, fetch: &HandoverFetch, answer: Option<&HandoverAnswer>) {
    node.faults.wait_while_frozen();
    node.with_holder(|holder, now| holder.complete_handover(now, &fetch.shard, answer));
}
