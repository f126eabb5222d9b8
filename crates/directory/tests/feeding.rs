//! Updates for gateways are small enough on the wire to be in force everywhere in time.

use std::time::Duration;

use grebepin_catalog::{
    Command, Entry, Item, ItemChange, ItemContent, RequestKind, Route, Version, WeightedService,
};
use grebepin_directory::link::FromReplica;
use grebepin_reactor::take_frame;

/// Bytes per second available for updates to 64 gateways: 0.4 of a link of 51 Mbit/s.
const FED_PER_SECOND: f64 = 2_550_000.0;
const GATEWAYS: f64 = 64.0;

fn route(number: usize) -> Item {
    let random = number.wrapping_mul(2_654_435_761) % 0x00ff_ffff;
    Item {
        name: format!("r-{random:06x}"),
        version: Version(81),
        content: ItemContent::Route(Route {
            host: format!("mise{}.example", random % 60),
            prefix: format!("/{random:06x}/"),
            kind: RequestKind::Unsafe,
            target_latency: Duration::from_millis(1_200),
            timeout: Duration::from_secs(3),
            maximum_attempts: 2,
            priority: 1,
            targets: vec![WeightedService {
                service: format!("kafi{}c", random % 7),
                weight: 1,
            }],
        }),
        document: "x".repeat(300),
    }
}

/// A change must be in force at all 64 gateways within 2 s; one of 1,200 routes has exceeded that.
#[test]
fn a_change_of_many_routes_reaches_many_gateways_in_time() {
    let change = ItemChange {
        upserts: (0..1_200).map(route).collect(),
        removals: Vec::new(),
    };
    let mut entry = Entry {
        commands: vec![Command::ChangeItems(change)],
    };
    entry.drop_documents();
    let frame = FromReplica::Entries(vec![(9, entry)]);
    let bytes = frame.encode().expect("encodes");
    let seconds = bytes.len() as f64 * GATEWAYS / FED_PER_SECOND;
    assert!(seconds < 1.2, "{} bytes take {seconds:.2} s", bytes.len());
}

#[test]
fn a_packed_frame_round_trips() {
    let state = (0..100_000_u32).map(|number| (number % 7) as u8).collect();
    let frame = FromReplica::Whole { index: 5, state };
    let mut bytes = frame.encode().expect("encodes");
    assert!(bytes.len() < 50_000, "{} bytes", bytes.len());
    let taken: FromReplica = take_frame(&mut bytes).expect("a frame").expect("whole");
    let FromReplica::Whole { index, state } = taken.unpacked().expect("unpacks") else {
        panic!("the whole state");
    };
    assert_eq!((index, state.len()), (5, 100_000));
}

#[test]
fn bytes_that_cannot_be_unpacked_are_rejected() {
    assert!(FromReplica::Packed(vec![1, 2, 3]).unpacked().is_err());
}
