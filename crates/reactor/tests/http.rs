//! Requests and responses: complete, truncated, ambiguous and fragmented.

use grebepin_reactor::http::{
    BadRequest, BadResponse, BodyError, Request, RequestLimits, RequestReader, Response,
    ResponseReader, MAX_RESPONSE_HEAD_BYTES,
};
use proptest::prelude::*;

const LIMITS: RequestLimits = RequestLimits {
    head_bytes: 4_096,
    body_bytes: 10_000,
};

fn read_request(bytes: &[u8]) -> Result<Option<Request>, BadRequest> {
    RequestReader::default().take(&mut bytes.to_vec(), LIMITS)
}

fn read_response(bytes: &[u8]) -> Result<Option<Response>, BadResponse> {
    let mut buffer = bytes.to_vec();
    ResponseReader::default().take(&mut buffer, true, 10_000)
}

#[test]
fn a_request_with_a_length_is_complete_with_its_last_byte() {
    let bytes = b"POST /a/b?c=d HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody";
    let request = read_request(bytes).expect("well formed").expect("whole");
    assert_eq!(request.target, "/a/b?c=d");
    assert_eq!(request.body, b"body");
    assert!(request.keeps_alive);
    assert!(read_request(&bytes[..bytes.len() - 1])
        .expect("well formed")
        .is_none());
}

#[test]
fn chunks_are_joined_and_trailers_skipped() {
    let bytes = b"PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n2\r\nde\r\n0\r\nT: v\r\n\r\n";
    let request = read_request(bytes).expect("well formed").expect("whole");
    assert_eq!(request.body, b"abcde");
}

#[test]
fn ambiguous_or_malformed_framing_is_rejected() {
    let ambiguous: [&[u8]; 5] = [
        b"POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\nx",
        b"POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\nx",
        b"POST / HTTP/1.1\r\nContent-Length: +1\r\n\r\nx",
        b"POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\nx",
        b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    ];
    for bytes in ambiguous {
        let error = read_request(bytes).expect_err("ambiguous");
        assert_eq!(error, BadRequest::AmbiguousLength);
        assert_eq!(error.status(), 400);
    }
    let malformed: [&[u8]; 3] = [
        b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nab\r\n",
        b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\nab",
    ];
    for bytes in malformed {
        assert_eq!(
            read_request(bytes).expect_err("malformed"),
            BadRequest::Body(BodyError::MalformedChunk)
        );
    }
}

#[test]
fn requests_over_the_limits_are_rejected_with_their_status() {
    let long_body = b"POST / HTTP/1.1\r\nContent-Length: 10001\r\n\r\n";
    assert_eq!(read_request(long_body).expect_err("too long").status(), 413);
    let mut long_head = b"GET / HTTP/1.1\r\nX: ".to_vec();
    long_head.extend(std::iter::repeat_n(b'x', 5_000));
    assert_eq!(
        read_request(&long_head).expect_err("too long").status(),
        431
    );
}

#[test]
fn a_response_delimited_by_the_connection_needs_an_orderly_close() {
    let mut buffer = b"HTTP/1.1 200 OK\r\n\r\npart".to_vec();
    let mut reader = ResponseReader::default();
    assert!(reader
        .take(&mut buffer, true, 100)
        .expect("well formed")
        .is_none());
    let response = reader.end(&buffer).expect("orderly").expect("whole");
    assert_eq!(response.body, b"part");
    assert!(!response.keeps_alive);
}

/// Guards against a response that no client can read.
#[test]
fn a_response_whose_status_is_below_100_is_rejected() {
    let read = |status: &str| {
        let head = format!("HTTP/1.1 {status} X\r\nContent-Length: 0\r\n\r\n");
        ResponseReader::default().take(&mut head.into_bytes(), true, 100)
    };
    for status in ["000", "001", "099"] {
        assert_eq!(
            read(status).expect_err("rejected"),
            BadResponse::InvalidStatus
        );
    }
    for status in [200, 600, 999] {
        let response = read(&status.to_string()).expect("well formed");
        assert_eq!(response.map(|one| one.status), Some(status));
    }
}

#[test]
fn a_truncated_response_is_rejected() {
    let mut buffer = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc".to_vec();
    let mut reader = ResponseReader::default();
    assert!(reader
        .take(&mut buffer, true, 100)
        .expect("well formed")
        .is_none());
    assert_eq!(reader.end(&buffer).expect_err("cut"), BadResponse::CutOff);
    assert_eq!(
        read_response(b"garbage\r\n\r\n").expect_err("no response"),
        BadResponse::MalformedHead
    );
}

#[test]
fn interim_responses_are_skipped() {
    let bytes = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 201 Created\r\nContent-Length: 0\r\n\r\n";
    let response = read_response(bytes).expect("well formed").expect("whole");
    assert_eq!(response.status, 201);
}

#[test]
fn hop_by_hop_fields_are_not_forwarded() {
    let bytes = b"GET / HTTP/1.1\r\nConnection: X-Hop, close\r\nX-Hop: 1\r\nX-End: 2\r\nTE: trailers\r\n\r\n";
    let request = read_request(bytes).expect("well formed").expect("whole");
    let forwarded: Vec<&str> = request.fields.end_to_end().map(|(name, _)| name).collect();
    assert_eq!(forwarded, vec!["X-End"]);
    assert!(!request.keeps_alive);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(200) })]

    /// The same requests are parsed however the bytes are fragmented, and no bytes are left over.
    #[test]
    fn fragmentation_does_not_change_the_requests(sizes in prop::collection::vec(1_usize..40, 1..60)) {
        let bytes: &[u8] = b"POST /one HTTP/1.1\r\nContent-Length: 3\r\n\r\nabcGET /two HTTP/1.1\r\n\r\nPUT /three HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nwxyz\r\n0\r\n\r\n";
        let mut reader = RequestReader::default();
        let mut buffer = Vec::new();
        let mut rest = bytes;
        let mut seen = Vec::new();
        for size in sizes.iter().cycle() {
            if rest.is_empty() {
                break;
            }
            let (piece, later) = rest.split_at((*size).min(rest.len()));
            buffer.extend_from_slice(piece);
            rest = later;
            while let Some(request) = reader.take(&mut buffer, LIMITS).expect("well formed") {
                seen.push((request.target, request.body.to_vec()));
            }
        }
        let wanted: Vec<(String, Vec<u8>)> = vec![
            ("/one".to_owned(), b"abc".to_vec()),
            ("/two".to_owned(), Vec::new()),
            ("/three".to_owned(), b"wxyz".to_vec()),
        ];
        prop_assert_eq!(seen, wanted);
        prop_assert!(buffer.is_empty());
    }

    /// Any input is parsed or rejected with an error, and never causes a panic.
    #[test]
    fn arbitrary_input_never_panics(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let _ = read_request(&bytes);
        let _ = read_response(&bytes);
    }
}

/// Guards against a reader that goes on for ever over bytes that lead to no response.
#[test]
fn a_response_that_never_begins_or_ends_is_rejected() {
    let mut reader = ResponseReader::default();
    let mut interim = b"HTTP/1.1 100 Continue\r\n\r\n".repeat(1_000);
    assert!(reader.take(&mut interim, true, 1_000).is_err());
    let mut reader = ResponseReader::default();
    let mut trailer = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n".to_vec();
    trailer.extend(b"X: 1\r\n".repeat(20_000));
    assert!(reader.take(&mut trailer, true, 1_000).is_err());
    for head in ["x", "HTTP/1.1 200 OK\r\nX: "] {
        let mut reader = ResponseReader::default();
        let mut bytes = head.as_bytes().to_vec();
        bytes.extend(vec![b'x'; MAX_RESPONSE_HEAD_BYTES]);
        assert!(reader.take(&mut bytes, true, 1_000).is_err(), "{head}");
    }
}

#[test]
fn interim_responses_of_one_response_do_not_count_for_the_next() {
    let mut reader = ResponseReader::default();
    let one = "HTTP/1.1 103 Early Hints\r\n\r\n".repeat(20)
        + "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    let mut bytes = one.repeat(5).into_bytes();
    for _ in 0..5 {
        let response = reader.take(&mut bytes, true, 1_000);
        assert_eq!(response.expect("valid").map(|one| one.status), Some(200));
    }
}
