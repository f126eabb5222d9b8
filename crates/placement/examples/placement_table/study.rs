//! Compares two ways to inform routers of a loss: a small message from which each derives the new
//! owners, and a message with all moves.

use std::time::Instant;

use grebepin_placement::{assign_orphans, Candidate};
use grebepin_schema::framing::{decode, encode};
use grebepin_schema::{
    Epoch, GroupId, LogIndex, OwnerChange, ServerName, ServerStanding, ServiceName, ShardId,
    ShardOwner, StandingChange, TableDelta,
};

use crate::fleet::{self, Size};

const INDEX: u64 = 1_000_000;

pub fn print(size: &Size) {
    println!("\n| lost | changes | derive: bytes | send: bytes | send/derive | derive ms | same owners |");
    println!("| --- | ---: | ---: | ---: | ---: | ---: | --- |");
    let zone: Vec<usize> = (0..size.servers).step_by(size.zones).collect();
    print_loss("a server", size, &[1]);
    print_loss("a zone", size, &zone);
}

fn print_loss(what: &str, size: &Size, lost: &[usize]) {
    let candidates = fleet::equal_servers(size.servers);
    let owners = place(&candidates, &vec![None; size.shards]);
    let decided = derive(&candidates, &owners, lost);
    let small = encoded(delta(lost, &[]));
    let sent = encoded(delta(lost, &decided));
    // A router uses only its own copy of the table and the message.
    let start = Instant::now();
    let derived = derive(&candidates, &owners, &lost_servers(&small));
    let milliseconds = start.elapsed().as_secs_f64() * 1e3;
    println!(
        "| {what} | {} | {} | {} | {:.1} | {milliseconds:.2} | {} |",
        decided.len(),
        small.len(),
        sent.len(),
        sent.len() as f64 / small.len() as f64,
        derived == decided,
    );
}

fn place(candidates: &[Candidate], owners: &[Option<usize>]) -> Vec<Option<usize>> {
    let mut placed = owners.to_vec();
    for (shard, server) in assign_orphans(candidates, owners) {
        placed[shard] = Some(server);
    }
    placed
}

fn derive(
    candidates: &[Candidate],
    owners: &[Option<usize>],
    lost: &[usize],
) -> Vec<(usize, usize)> {
    let mut remaining = candidates.to_vec();
    for &server in lost {
        remaining[server].eligible = false;
    }
    assign_orphans(&remaining, owners)
}

fn delta(lost: &[usize], changes: &[(usize, usize)]) -> TableDelta {
    let service = ServiceName::try_from("saldo-limite").expect("a valid name");
    let standing = |&server: &usize| StandingChange {
        server: ServerName::try_from(format!("server-{server:05}")).expect("a valid name"),
        service: service.clone(),
        standing: ServerStanding::Gone,
    };
    let owner = |&(shard, server): &(usize, usize)| OwnerChange {
        service: service.clone(),
        shard: ShardId(shard as u32),
        owner: ShardOwner {
            epoch: Epoch(INDEX),
            server: Some(server as u32),
        },
    };
    TableDelta {
        group: GroupId(0),
        index: LogIndex(INDEX),
        previous: LogIndex(INDEX - 1),
        owners: changes.iter().map(owner).collect(),
        standings: lost.iter().map(standing).collect(),
    }
}

fn encoded(delta: TableDelta) -> Vec<u8> {
    encode(&delta).expect("a delta encodes")
}

fn lost_servers(message: &[u8]) -> Vec<usize> {
    let delta: TableDelta = decode(message).expect("a delta decodes");
    let position = |change: &StandingChange| {
        let digits = change.server.trim_start_matches("server-");
        digits.parse().expect("a position")
    };
    delta.standings.iter().map(position).collect()
}
