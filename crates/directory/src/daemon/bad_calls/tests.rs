use super::*;

#[test]
fn many_unreadable_calls_make_one_line_a_second_that_counts_them() {
    let mut calls = BadCalls::default();
    let mut lines = Vec::new();
    for millisecond in 0..2_500 {
        calls.untold += 1;
        lines.extend(calls.take_due(Duration::from_millis(millisecond)));
    }
    assert_eq!(lines, [1, 1_000, 1_000]);
}
