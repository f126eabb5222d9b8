//! Heads of answers.

use grebepin_router::http::{HttpError, ResponseHead};

fn parse(status: &str) -> Result<u16, HttpError> {
    let bytes = format!("HTTP/1.1 {status} X\r\nContent-Length: 0\r\n\r\n");
    let head = ResponseHead::parse(bytes.as_bytes(), "GET")?;
    Ok(head.map_or(0, |(head, _)| head.status))
}

/// Guards against a status below 100 that is skipped as an interim answer, so that the caller waits until its time is up.
#[test]
fn a_status_below_100_is_malformed() {
    for status in ["000", "001", "099"] {
        assert!(
            matches!(parse(status), Err(HttpError::Malformed)),
            "{status}"
        );
    }
    for status in [100, 200, 599, 999] {
        assert_eq!(parse(&status.to_string()).ok(), Some(status));
    }
}
