//! The search for peers that stand still.

use std::time::Duration;

use grebepin_reactor::{PeerMemory, Progress, StallSearch};

const KIB: usize = 1 << 10;

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn peer(name: char, since_ms: Option<u64>, held_bytes: usize) -> (char, Option<Duration>) {
    let memory = PeerMemory {
        stalled_since: since_ms.map(ms),
        held_bytes,
    };
    (name, memory.reclaimable_since())
}

#[test]
fn those_that_have_stood_longest_come_first() {
    let peers = [
        peer('a', Some(900), 64 * KIB),
        peer('b', Some(100), 64 * KIB),
        peer('c', None, 64 * KIB),
        peer('d', Some(100), KIB),
        peer('e', Some(1_600), 64 * KIB),
    ];
    let found = StallSearch::default().find(ms(2_000), peers.into_iter());
    assert_eq!(found, [(ms(100), 'b'), (ms(900), 'a')]);
}

/// Guards against peers that keep memory by sending a byte now and then.
#[test]
fn single_bytes_are_no_progress() {
    let mut progress = Progress::begin(ms(100));
    for at in 200..300 {
        progress.note(ms(at), 1);
    }
    assert_eq!(progress.at(), ms(100));
    progress.note(ms(300), 4 * KIB);
    assert_eq!(progress.at(), ms(300));
    progress.note(ms(400), 3 * KIB);
    assert_eq!(progress.at(), ms(300));
    progress.note(ms(500), KIB);
    assert_eq!(progress.at(), ms(500));
}

#[test]
fn a_search_that_found_nothing_is_not_repeated_at_once() {
    let mut search = StallSearch::default();
    let peers = || [peer('a', Some(1_480), 64 * KIB)].into_iter();
    assert_eq!(search.find(ms(1_960), peers()), []);
    assert_eq!(search.find(ms(1_990), peers()), []);
    assert_eq!(search.find(ms(2_020), peers()), [(ms(1_480), 'a')]);
}
