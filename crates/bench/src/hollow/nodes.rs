//! A process of hollow nodes, each with an address of its own.

use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

use grebepin_holder::{Holder, HolderConfig};
use grebepin_schema::limits::MAXIMUM_BACK_END_MESSAGE_BYTES;
use grebepin_schema::GroupId;
use grebepin_standin::http::{Answer, HttpServer, Question, ServerHooks, ServerOptions};
use rouille::{Request, Response};
use serde::de::DeserializeOwned;
use serde::Serialize;

const CONNECTIONS: usize = 16;
const GROUP: GroupId = GroupId(0);
const STATUS_NOT_FOUND: u16 = 404;
const STATUS_BAD_REQUEST: u16 = 400;
const STATUS_SILENT: u16 = 503;

/// Flags of a process of hollow nodes.
#[derive(Debug, clap::Args)]
pub struct HollowNodesArguments {
    /// File with one address a line, one for each node.
    #[arg(long)]
    pub addresses: PathBuf,
    /// Address that gives statistics and takes orders.
    #[arg(long)]
    pub admin: SocketAddr,
}

/// What the nodes of a process counted together since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, serde::Deserialize)]
pub struct NodeStatistics {
    /// Calls answered.
    pub calls: u64,
    /// Bytes of the bodies of calls.
    pub bytes_in: u64,
    /// Bytes of the bodies of answers.
    pub bytes_out: u64,
    /// Shards held now, over all nodes.
    pub held: u64,
    /// Nodes that hold a lease now.
    pub leased: u64,
}

#[derive(Default)]
struct Counters {
    calls: AtomicU64,
    bytes_in: AtomicU64,
    bytes_out: AtomicU64,
    /// The first so many nodes answer nothing.
    silent: AtomicUsize,
}

struct Node {
    number: usize,
    started: Instant,
    holder: Mutex<Holder>,
    counters: Arc<Counters>,
}

/// A node as the server of its address sees it.
struct NodeHooks(Arc<Node>);

impl ServerHooks for NodeHooks {
    fn answer(&self, question: Question) -> Answer {
        let node = &self.0;
        if node.number < node.counters.silent.load(Ordering::Relaxed) {
            return Answer::new(STATUS_SILENT);
        }
        let length = question.body.len() as u64;
        let answer = node.answer_call(&question);
        node.counters.calls.fetch_add(1, Ordering::Relaxed);
        node.counters.bytes_in.fetch_add(length, Ordering::Relaxed);
        let length = answer.body().len() as u64;
        node.counters.bytes_out.fetch_add(length, Ordering::Relaxed);
        answer
    }
}

impl Node {
    fn answer_call(&self, question: &Question) -> Answer {
        let now = self.started.elapsed();
        match question.path.as_str() {
            "/grebepin/v1/heartbeat" => {
                self.call(question, |holder, request| holder.heartbeat(now, &request))
            }
            "/grebepin/v1/grant" => self.call(question, |holder, request| {
                holder.grant(now, &request).answer
            }),
            "/grebepin/v1/release" => {
                self.call(question, |holder, request| holder.release(now, &request))
            }
            "/grebepin/v1/drain" => self.call(
                question,
                |holder, request: grebepin_schema::DrainRequest| {
                    holder.drain(now, request.draining);
                    request
                },
            ),
            path if path.starts_with("/grebepin/v1/holdings") => {
                let mut holder = self.holder.lock().unwrap_or_else(PoisonError::into_inner);
                Answer::json(&holder.holdings(now, GROUP))
            }
            _ => Answer::new(STATUS_NOT_FOUND),
        }
    }

    fn call<Q: DeserializeOwned, A: Serialize>(
        &self,
        question: &Question,
        handle: impl FnOnce(&mut Holder, Q) -> A,
    ) -> Answer {
        let Ok(request) = serde_json::from_slice(&question.body) else {
            return Answer::new(STATUS_BAD_REQUEST);
        };
        let mut holder = self.holder.lock().unwrap_or_else(PoisonError::into_inner);
        Answer::json(&handle(&mut holder, request))
    }
}

/// Runs hollow nodes until the process is killed.
///
/// # Errors
/// The file of addresses can't be read, or an address can't be listened on.
pub fn run_nodes(arguments: &HollowNodesArguments) -> anyhow::Result<()> {
    let counters = Arc::new(Counters::default());
    let mut nodes = Vec::new();
    let mut servers = Vec::new();
    for (number, address) in std::fs::read_to_string(&arguments.addresses)?
        .lines()
        .enumerate()
    {
        let node = Arc::new(Node {
            number,
            started: Instant::now(),
            holder: Mutex::new(Holder::new(HolderConfig::new(rand::random()))),
            counters: Arc::clone(&counters),
        });
        let options = ServerOptions {
            connections: CONNECTIONS,
            maximum_body: MAXIMUM_BACK_END_MESSAGE_BYTES,
            ..ServerOptions::default()
        };
        let listener = TcpListener::bind(address)?;
        servers.push(HttpServer::start(
            listener,
            options,
            NodeHooks(Arc::clone(&node)),
        )?);
        nodes.push(node);
    }
    rouille::start_server(arguments.admin, move |request| {
        admin(&nodes, &counters, request)
    })
}

fn admin(nodes: &[Arc<Node>], counters: &Counters, request: &Request) -> Response {
    match request.url().as_str() {
        "/statistics" => Response::json(&statistics(nodes, counters)),
        "/silence" => {
            let count = request
                .get_param("count")
                .and_then(|text| text.parse().ok());
            counters
                .silent
                .store(count.unwrap_or_default(), Ordering::Relaxed);
            Response::empty_204()
        }
        _ => Response::empty_404(),
    }
}

fn statistics(nodes: &[Arc<Node>], counters: &Counters) -> NodeStatistics {
    let mut statistics = NodeStatistics {
        calls: counters.calls.load(Ordering::Relaxed),
        bytes_in: counters.bytes_in.load(Ordering::Relaxed),
        bytes_out: counters.bytes_out.load(Ordering::Relaxed),
        ..NodeStatistics::default()
    };
    for node in nodes {
        let now = node.started.elapsed();
        let mut holder = node.holder.lock().unwrap_or_else(PoisonError::into_inner);
        holder.tick(now);
        statistics.held += u64::from(holder.held_shards());
        statistics.leased += u64::from(holder.has_lease(now, GROUP));
    }
    statistics
}
