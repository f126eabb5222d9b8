use super::*;

#[test]
fn unreadable_calls_are_logged_once_a_second_with_their_count() {
    let mut calls = BadCalls::default();
    let mut lines = Vec::new();
    for millisecond in 0..2_500 {
        calls.unlogged += 1;
        lines.extend(calls.take_due_count(Duration::from_millis(millisecond)));
    }
    assert_eq!(lines, [1, 1_000, 1_000]);
}
