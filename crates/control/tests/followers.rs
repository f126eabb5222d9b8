//! Frames that are sent to routers that follow the table.

mod support;

use std::time::Duration;

use grebepin_control::{ConnectionId, NodeInput};
use grebepin_schema::{ControlFrame, FollowRequest, GroupId, LoadReport, LogIndex, RouterFrame};
use support::bundles::{bundle, digest_of};
use support::Cluster;

fn follow(have: LogIndex) -> RouterFrame {
    RouterFrame::Follow(FollowRequest {
        group: GroupId(0),
        have_index: have,
        incarnation: 1,
        router: "router-1".parse().expect("a name"),
        zone: "zone-0".parse().expect("a zone"),
    })
}

fn report(in_force: LogIndex) -> RouterFrame {
    RouterFrame::Report(LoadReport {
        group: GroupId(0),
        in_force,
        incarnation: 1,
        interval_ms: 500,
        router: "router-1".parse().expect("a name"),
        servers: Vec::new(),
        shards: Vec::new(),
    })
}

/// Checks that each frame continues from the one before, and returns the index of the last table.
fn check_frames(frames: &[ControlFrame], mut have: LogIndex) -> LogIndex {
    for frame in frames {
        match frame {
            ControlFrame::Snapshot(snapshot) => {
                assert!(snapshot.index >= have, "the table index must not decrease");
                have = snapshot.index;
            }
            ControlFrame::Delta(delta) => {
                assert_eq!(
                    delta.previous, have,
                    "a delta must continue from the previous table"
                );
                have = delta.index;
            }
            ControlFrame::Current(index) => assert!(*index >= have),
            ControlFrame::Redirect(_) => {}
        }
    }
    have
}

#[test]
fn a_router_receives_a_snapshot_then_deltas_then_current_frames() {
    let mut cluster = Cluster::founded(3);
    let first = bundle(1, None, "");
    cluster.roll(&first).expect("accepted");
    let leader = cluster.expect_leader();
    let connection = ConnectionId(1);
    cluster.router(leader, connection, follow(LogIndex(0)));
    cluster.run(Duration::from_millis(100));
    let frames = &cluster.frames[&connection];
    assert!(matches!(frames[0], ControlFrame::Snapshot(_)), "{frames:?}");

    let second = bundle(2, Some(digest_of(&first)), "");
    cluster.roll(&second).expect("accepted");
    cluster.run(Duration::from_secs(1));
    let table_index = cluster.node(leader).state().table_index();
    let have = check_frames(&cluster.frames[&connection], LogIndex(0));
    assert_eq!(have, table_index);
    let last = cluster.frames[&connection].last();
    assert!(matches!(last, Some(ControlFrame::Current(_))), "{last:?}");

    cluster.router(leader, connection, report(have));
    let status = cluster.status(leader);
    assert_eq!(
        status.slowest_router.map(|router| router.in_force),
        Some(have)
    );

    // A router that reconnects with the present table gets no full table.
    let reconnected = ConnectionId(2);
    cluster.input(leader, NodeInput::RouterClosed { connection });
    cluster.router(leader, reconnected, follow(have));
    cluster.run(Duration::from_millis(50));
    let frames = &cluster.frames[&reconnected];
    assert!(matches!(frames[0], ControlFrame::Current(_)), "{frames:?}");
}

#[test]
fn routers_are_redirected_to_the_leader() {
    let mut cluster = Cluster::founded(3);
    let leader = cluster.expect_leader();
    let follower = (leader + 1) % 3;
    cluster.router(follower, ConnectionId(1), follow(LogIndex(0)));
    cluster.run(Duration::from_millis(50));
    let address = cluster.member(leader).router_address;
    let sent = &cluster.frames[&ConnectionId(1)];
    assert!(
        matches!(&sent[..], [ControlFrame::Redirect(to)] if to.router_address == Some(address))
    );

    // A leader that is cut off from the majority can't confirm reads, and redirects its routers.
    cluster.router(leader, ConnectionId(2), follow(LogIndex(0)));
    cluster.run(Duration::from_millis(50));
    cluster.cut.insert(leader);
    cluster.run(Duration::from_secs(2));
    let last = cluster.frames[&ConnectionId(2)].last();
    assert!(matches!(last, Some(ControlFrame::Redirect(_))), "{last:?}");
    cluster.router(leader, ConnectionId(3), follow(LogIndex(0)));
    cluster.run(Duration::from_millis(500));
    let sent = &cluster.frames[&ConnectionId(3)];
    assert!(matches!(&sent[..], [ControlFrame::Redirect(_)]), "{sent:?}");
}
