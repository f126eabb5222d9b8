//! What a response states about its server.

mod header_names;

use std::time::Duration;

use grebepin_gateway::statement::{RateStatement, ServerStatement};
use grebepin_reactor::http::{Fields, Response};
use header_names::NAMES;

type FieldList = &'static [(&'static str, &'static str)];

fn statement(status: u16, fields: FieldList) -> ServerStatement {
    let mut list = Fields::default();
    for (name, value) in fields {
        list.push(name, value.as_bytes());
    }
    let response = Response {
        status,
        fields: list,
        body: Vec::new().into(),
        keeps_alive: true,
    };
    ServerStatement::of(&response, &NAMES)
}

#[test]
fn retry_after_is_read_from_responses_that_reject_a_request() {
    let cases: [(u16, FieldList, Option<u64>); 7] = [
        (
            503,
            &[("Retry-After", "3"), ("X-Not-Run", "1")],
            Some(3_000),
        ),
        (503, &[("retry-after", " 0.25 ")], Some(250)),
        (429, &[("Retry-After", "86400")], Some(86_400_000)),
        (503, &[("Retry-After", "0")], Some(0)),
        (503, &[], None),
        (500, &[("Retry-After", "3")], None),
        (200, &[("Retry-After", "3"), ("X-Signature", "s")], None),
    ];
    for (status, fields, milliseconds) in cases {
        let statement = statement(status, fields);
        let expected = milliseconds.map(Duration::from_millis);
        assert_eq!(statement.retry_after, expected, "{status} {fields:?}");
        assert_eq!(statement.unusable, Vec::<&str>::new(), "{fields:?}");
    }
}

#[test]
fn an_unusable_value_is_ignored_and_reported() {
    let cases: [FieldList; 8] = [
        &[("Retry-After", "")],
        &[("Retry-After", "-1")],
        &[("Retry-After", "inf")],
        &[("Retry-After", "NaN")],
        &[("Retry-After", "9999999999")],
        &[("Retry-After", "3"), ("Retry-After", "4")],
        &[("Retry-After", "3, 4")],
        &[("Retry-After", "Thu, 03 Dec 2026 07:28:00 GMT")],
    ];
    for fields in cases {
        let statement = statement(503, fields);
        assert_eq!(statement.retry_after, None, "{fields:?}");
        assert_eq!(statement.unusable, ["Retry-After"], "{fields:?}");
    }
}

#[test]
fn a_rate_is_stated_not_stated_or_left_open() {
    use RateStatement::{PerSecond, Unbounded, Unspecified};
    let cases: [(FieldList, RateStatement, usize); 8] = [
        (
            &[("X-Rate", "3.5"), ("X-Signature", "s")],
            PerSecond(3.5),
            0,
        ),
        (&[("X-Rate", "0")], PerSecond(0.0), 0),
        (&[("X-Rate", "1e9")], PerSecond(1e9), 0),
        (&[("X-Rate", "1e12")], Unspecified, 1),
        (&[("X-Signature", "s")], Unbounded, 0),
        (&[("X-Not-Run", "1")], Unspecified, 0),
        (&[("X-Rate", "many"), ("X-Signature", "s")], Unspecified, 1),
        (
            &[("X-Rate", "1"), ("X-Rate", "2"), ("X-Signature", "s")],
            Unspecified,
            1,
        ),
    ];
    for (fields, rate, unusable) in cases {
        let statement = statement(200, fields);
        assert_eq!(statement.rate, rate, "{fields:?}");
        assert_eq!(statement.unusable.len(), unusable, "{fields:?}");
    }
}

#[test]
fn only_one_value_marks_a_leaving_server() {
    let cases: [(FieldList, bool, usize); 5] = [
        (&[("X-Leaving", "1"), ("X-Signature", "s")], true, 0),
        (&[("X-Signature", "s")], false, 0),
        (&[("X-Leaving", "0")], false, 1),
        (&[("X-Leaving", "")], false, 1),
        (&[("X-Leaving", "1"), ("X-Leaving", "1")], false, 1),
    ];
    for (fields, is_leaving, unusable) in cases {
        for status in [200, 421, 500, 503] {
            let statement = statement(status, fields);
            assert_eq!(statement.is_leaving, is_leaving, "{status} {fields:?}");
            assert_eq!(statement.unusable.len(), unusable, "{fields:?}");
        }
    }
}

#[test]
fn the_idle_timeout_is_read_from_the_parameter_timeout() {
    let cases: [(FieldList, Option<u64>, usize); 12] = [
        (&[("Keep-Alive", "timeout=10")], Some(10), 0),
        (
            &[("Keep-Alive", "max=100, Timeout = 86400")],
            Some(86_400),
            0,
        ),
        (&[("Keep-Alive", "timeout=0")], Some(0), 0),
        (&[("Keep-Alive", "max=100")], None, 0),
        (&[("Keep-Alive", "")], None, 0),
        (&[], None, 0),
        (&[("Keep-Alive", "timeout=86401")], None, 1),
        (&[("Keep-Alive", "timeout=18446744073709551615")], None, 1),
        (&[("Keep-Alive", "timeout=99999999999999999999")], None, 1),
        (&[("Keep-Alive", "timeout=-1")], None, 1),
        (&[("Keep-Alive", "timeout=5, timeout=6")], None, 1),
        (
            &[("Keep-Alive", "timeout=5"), ("Keep-Alive", "timeout=5")],
            None,
            1,
        ),
    ];
    for (fields, seconds, unusable) in cases {
        let statement = statement(200, fields);
        let expected = seconds.map(Duration::from_secs);
        assert_eq!(statement.idle_timeout, expected, "{fields:?}");
        assert_eq!(statement.unusable.len(), unusable, "{fields:?}");
    }
}
