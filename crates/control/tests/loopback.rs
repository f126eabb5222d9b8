//! A control group over real sockets and files.

mod support;

use std::io::BufReader;
use std::net::TcpStream;

use grebepin_schema::framing::{read_frame, write_frame};
use grebepin_schema::{ControlFrame, FollowRequest, GroupId, LogIndex, RouterFrame};
use support::bundles::{bundle, digest_of};
use support::group::{LoopbackGroup, PATIENCE};

#[test]
fn a_group_survives_a_stopped_leader_and_a_lost_data_directory() {
    let mut group = LoopbackGroup::start(3);
    group.found();
    let client = group.client();
    let first = bundle(1, None, "");
    let accepted = client.roll(&first).expect("accepted");
    assert!(!accepted.repeated);

    let (leader, status) = group.wait_for_leader("a leader", |_| true);
    assert_eq!(status.members.len(), 3);
    group.stop(leader);
    let again = client.roll(&first).expect("the new leader knows it");
    assert!(again.repeated);
    assert_eq!(again.index, accepted.index);

    // The stopped replica restarts with an empty data directory and replaces its former identity.
    let old = status.replica;
    group.remove_folder(leader);
    group.restart(leader);
    let (_, status) = group.wait_for_leader("three voters without the old one", |status| {
        status.members.len() == 3
            && status.tolerated.replicas == 1
            && status.members.iter().all(|m| m.member.replica != old)
    });
    assert_eq!(status.tolerated.zones.len(), 3);

    // A second replica stops right after the first was replaced.
    let (leader, _) = group.wait_for_leader("a leader", |_| true);
    group.stop(leader);
    let second = bundle(2, Some(digest_of(&first)), "");
    client.roll(&second).expect("two of three still decide");
}

#[test]
fn a_router_follows_over_tcp() {
    let group = LoopbackGroup::start(1);
    group.found();
    let first = bundle(1, None, "");
    group.client().roll(&first).expect("accepted");
    let mut stream = TcpStream::connect(group.router(0)).expect("it listens");
    stream.set_read_timeout(Some(PATIENCE)).expect("a timeout");
    let request = RouterFrame::Follow(FollowRequest {
        group: GroupId(0),
        have_index: LogIndex(0),
        incarnation: 1,
        router: "router-1".parse().expect("a name"),
        zone: "zone-0".parse().expect("a zone"),
    });
    write_frame(&mut stream, &request).expect("it is sent");
    let mut reader = BufReader::new(stream);
    let frame: ControlFrame = read_frame(&mut reader).expect("a frame");
    let ControlFrame::Snapshot(table) = frame else {
        panic!("the first frame must be the table: {frame:?}");
    };
    assert_eq!(table.table.bundle_version, 1);

    let second = bundle(2, Some(digest_of(&first)), "");
    group.client().roll(&second).expect("accepted");
    let mut version = 1;
    while version < 2 {
        match read_frame(&mut reader).expect("a frame") {
            ControlFrame::Snapshot(table) => version = table.table.bundle_version,
            ControlFrame::Delta(_) | ControlFrame::Current(_) => {}
            ControlFrame::Redirect(to) => panic!("the only replica leads: {to:?}"),
        }
    }
}

#[test]
fn probes_metrics_and_unknown_paths() {
    let group = LoopbackGroup::start(1);
    let agent: ureq::Agent = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(PATIENCE))
        .build()
        .into();
    let get = |path: &str| {
        let url = format!("http://{}{path}", group.admin(0));
        let mut answer = agent.get(url).call().expect("an answer");
        let text = answer.body_mut().read_to_string().expect("a text");
        (answer.status().as_u16(), text)
    };
    assert_eq!(get("/live").0, 200);
    assert_eq!(get("/ready").0, 503, "an empty replica is not ready");
    let (status, text) = get("/v1/nothing");
    assert_eq!(status, 404);
    assert!(text.contains("not-found"), "{text}");
    group.found();
    group.wait_for_leader("a leader", |_| true);
    assert_eq!(get("/ready").0, 200);
    let (status, text) = get("/metrics");
    assert_eq!(status, 200);
    assert!(text.contains("grebepin_control_is_leader 1"), "{text}");
}

#[test]
fn idle_connections_do_not_block_others() {
    let group = LoopbackGroup::start(1);
    let idle: Vec<TcpStream> = (0..8)
        .flat_map(|_| [group.router(0), group.admin(0)])
        .map(|address| TcpStream::connect(address).expect("it listens"))
        .collect();
    group.found();
    group.client().roll(&bundle(1, None, "")).expect("accepted");
    drop(idle);
}
