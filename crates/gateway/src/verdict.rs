//! What a server's answer, or the lack of one, proves about a request.

use grebepin_catalog::RequestKind;
use grebepin_reactor::http::Response;

use crate::headers::HeaderNames;

/// What is known of one sending.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The answer is the server's own and goes to the client as it is.
    Final,
    /// The answer is the server's own failure; a repeatable request may try elsewhere.
    Failed,
    /// The server says that it did not run the request.
    NotRun,
    /// The server is not, or not yet, the owner of the key or not the one expected; it did not run it.
    NotOwner,
    /// The answer is of no use and the request may have run.
    Unknown,
}

/// Whether an answer belongs to a request: it carries its id, or no id and no claim to have run it.
pub fn belongs_to_request(response: &Response, request_id: &str, names: &HeaderNames) -> bool {
    match response.fields.get(names.request_id) {
        Some(id) => id == request_id,
        None => !(200..300).contains(&response.status),
    }
}

/// Judges an answer that belongs to the request.
pub fn classify(response: &Response, names: &HeaderNames) -> Verdict {
    let says_not_run = response.fields.get(names.not_executed).is_some();
    let is_signed = response.fields.get(names.signature).is_some();
    let is_encoded = response.fields.get("content-encoding").is_some();
    match response.status {
        421 => Verdict::NotOwner,
        _ if says_not_run => Verdict::NotRun,
        200..=299 if !is_signed || is_encoded => Verdict::Unknown,
        200..=299 => Verdict::Final,
        // Without the server's word these would promise the client what nobody knows.
        408 | 429 | 503 => Verdict::Unknown,
        500..=599 => Verdict::Failed,
        _ => Verdict::Final,
    }
}

/// Whether a request may be sent again after a sending of which this is known.
pub fn may_retry(verdict: Verdict, kind: RequestKind) -> bool {
    match verdict {
        Verdict::Final => false,
        Verdict::NotRun | Verdict::NotOwner => true,
        Verdict::Failed | Verdict::Unknown => kind == RequestKind::Safe,
    }
}
