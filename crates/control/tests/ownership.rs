//! A control group with back ends that implement the back-end API, over loopback.

mod support;

use std::net::TcpListener;

use grebepin_schema::{ServerName, Status, TableSnapshot};
use grebepin_standin::back_end::{Args, BackEnd};
use support::bundles::bundle_of;
use support::group::LoopbackGroup;

const SHARDS: u32 = 24;

#[derive(clap::Parser)]
struct Flags {
    #[command(flatten)]
    back_end: Args,
}

fn back_end(name: &str) -> (ServerName, BackEnd) {
    let flags = ["back-end", "--name", name, "--listen", "127.0.0.1:0"];
    let flags = <Flags as clap::Parser>::parse_from(flags);
    let started = BackEnd::start(&flags.back_end).expect("it starts");
    (flags.back_end.name, started)
}

fn all_held(status: &Status) -> bool {
    let held: u32 = status.servers.iter().map(|server| server.held).sum();
    let owned: u32 = status.servers.iter().map(|server| server.shards).sum();
    status.unowned_shards == 0 && status.moving_shards == 0 && held == SHARDS && owned == SHARDS
}

fn owners(table: &TableSnapshot) -> Vec<(u64, Option<u32>)> {
    let service = &table.table.services[0];
    let owners = service.owners.iter();
    owners.map(|owner| (owner.epoch.0, owner.server)).collect()
}

#[test]
fn shards_stay_through_a_change_of_leader_and_move_on_a_drain() {
    let back_ends: Vec<(ServerName, BackEnd)> = ["one", "two", "three"].map(back_end).into();
    let mut group = LoopbackGroup::start(3);
    group.found();
    let client = group.client();
    let servers: Vec<_> = back_ends
        .iter()
        .map(|(name, back_end)| (name.as_str(), back_end.address()))
        .collect();
    client.roll(&bundle_of(SHARDS, &servers)).expect("accepted");
    let (leader, _) = group.wait_for_leader("every shard is held", all_held);
    let before = owners(&client.table().expect("a table"));

    group.stop(leader);
    group.wait_for_leader("every shard is held under the new leader", all_held);
    let after = owners(&client.table().expect("a table"));
    assert_eq!(before, after, "a change of leader must not move shards");

    let (name, _) = &back_ends[0];
    client.drain(name, true).expect("the drain is committed");
    let (_, status) = group.wait_for_leader("the drained server holds nothing", |status| {
        let drained = status.servers.iter().find(|server| server.server == *name);
        drained.is_some_and(|server| server.held == 0 && server.shards == 0) && all_held(status)
    });
    assert_eq!(status.servers.len(), 3);
}

#[test]
fn unresponsive_back_ends_do_not_delay_others() {
    let (name, live) = back_end("live");
    let silent: Vec<TcpListener> = (0..20)
        .map(|_| TcpListener::bind("127.0.0.1:0").expect("a port"))
        .collect();
    let silent_names: Vec<String> = (0..silent.len()).map(|n| format!("mute-{n}")).collect();
    let mut servers = vec![(name.as_str(), live.address())];
    for (name, listener) in silent_names.iter().zip(&silent) {
        servers.push((name, listener.local_addr().expect("its address")));
    }
    let group = LoopbackGroup::start(1);
    group.found();
    let client = group.client();
    client.roll(&bundle_of(SHARDS, &servers)).expect("accepted");
    group.wait_for_leader("the live server holds what it owns", |status| {
        let mut servers = status.servers.iter();
        let live = servers.find(|server| server.server == name);
        live.is_some_and(|server| server.held > 0 && server.held == server.shards)
    });
}
