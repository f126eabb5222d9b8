//! What the response of a server proves about a request, and when the request may be retried.

mod header_names;

use grebepin_catalog::RequestKind;
use grebepin_gateway::verdict::{belongs_to_request, classify, is_attributed, may_retry, Verdict};
use grebepin_reactor::http::{Fields, Response};
use header_names::NAMES;

type FieldList = &'static [(&'static str, &'static str)];

fn response(status: u16, fields: &[(&str, &str)]) -> Response {
    let mut list = Fields::default();
    for (name, value) in fields {
        list.push(name, value.as_bytes());
    }
    Response {
        status,
        fields: list,
        body: Vec::new().into(),
        keeps_alive: true,
    }
}

#[test]
fn responses_are_classified_by_status_and_header_fields() {
    let signed: FieldList = &[("X-Signature", "s")];
    let not_run: FieldList = &[("X-Not-Run", "1")];
    let encoded: FieldList = &[("X-Signature", "s"), ("Content-Encoding", "gzip")];
    let cases: [(u16, FieldList, Verdict); 12] = [
        (200, signed, Verdict::Final),
        (200, &[], Verdict::Unknown),
        (200, encoded, Verdict::Unknown),
        (404, signed, Verdict::Final),
        (500, signed, Verdict::Failed),
        (504, &[], Verdict::Failed),
        (503, not_run, Verdict::NotRun),
        (429, not_run, Verdict::NotRun),
        (400, not_run, Verdict::NotRun),
        (503, signed, Verdict::Unknown),
        (408, &[], Verdict::Unknown),
        (421, &[], Verdict::NotOwner),
    ];
    for (status, fields, expected) in cases {
        let verdict = classify(&response(status, fields), &NAMES, true);
        assert_eq!(verdict, expected, "{status} {fields:?}");
    }
}

#[test]
fn an_unsafe_request_is_repeated_only_after_proof() {
    for verdict in [Verdict::Final, Verdict::Failed, Verdict::Unknown] {
        assert!(!may_retry(verdict, RequestKind::Unsafe), "{verdict:?}");
    }
    for verdict in [Verdict::NotRun, Verdict::NotOwner] {
        assert!(may_retry(verdict, RequestKind::Unsafe), "{verdict:?}");
    }
    assert!(may_retry(Verdict::Unknown, RequestKind::Safe));
    assert!(!may_retry(Verdict::Final, RequestKind::Safe));
}

#[test]
fn an_answer_belongs_to_the_request_whose_id_it_carries() {
    assert!(belongs_to_request(
        &response(200, &[("X-Id", "a")]),
        "a",
        &NAMES
    ));
    assert!(!belongs_to_request(
        &response(200, &[("X-Id", "b")]),
        "a",
        &NAMES
    ));
    assert!(!belongs_to_request(&response(200, &[]), "a", &NAMES));
    assert!(belongs_to_request(&response(503, &[]), "a", &NAMES));
}

/// Guards against a surplus rejection without an id that is taken for the response to the next request.
#[test]
fn a_rejection_without_an_id_on_a_reused_connection_proves_nothing() {
    for status in [400, 421, 429, 503] {
        for (id, reused) in [
            (None, false),
            (Some("a"), false),
            (Some("a"), true),
            (None, true),
        ] {
            let fields = id.map(|id| ("X-Id", id)).into_iter();
            let fields: Vec<_> = fields.chain([("X-Not-Run", "1")]).collect();
            let response = response(status, &fields);
            let attributed = is_attributed(&response, &NAMES, reused);
            let verdict = classify(&response, &NAMES, attributed);
            let proves = matches!(verdict, Verdict::NotRun | Verdict::NotOwner);
            assert_eq!(proves, id.is_some() || !reused, "{status} {id:?} {reused}");
        }
    }
}
