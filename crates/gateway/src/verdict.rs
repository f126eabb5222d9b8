//! What the response of a server, or the lack of one, proves about the execution of a request.

use grebepin_catalog::RequestKind;
use grebepin_reactor::http::Response;

use crate::headers::HeaderNames;

/// Outcome of one attempt to send a request to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The response comes from the server and is passed to the client as it is.
    Final,
    /// The response reports an error of the server; a repeatable request may be retried at another server.
    Failed,
    /// The server states that it did not run the request.
    NotRun,
    /// The server did not run the request because it is not, or not yet, the owner of the key, or not the
    /// expected instance.
    NotOwner,
    /// There is no usable response, and the request may have run.
    Unknown,
}

/// Whether a response belongs to a request: it carries the id of the request, or no id and a status other
/// than 2xx.
pub fn belongs_to_request(response: &Response, request_id: &str, names: &HeaderNames) -> bool {
    match response.fields.get(names.request_id) {
        Some(id) => id == request_id,
        None => !(200..300).contains(&response.status),
    }
}

/// Whether a response certainly answers the request that waits on its connection: it carries an id, or the
/// connection was not `reused`. Any other may be a second copy of the response to an earlier request.
pub fn is_attributed(response: &Response, names: &HeaderNames, reused: bool) -> bool {
    !reused || response.fields.get(names.request_id).is_some()
}

/// Classifies a response that belongs to the request. One that is not attributed to it proves nothing about
/// its execution.
pub fn classify(response: &Response, names: &HeaderNames, is_attributed: bool) -> Verdict {
    let says_not_run = response.fields.get(names.not_executed).is_some();
    let is_signed = response.fields.get(names.signature).is_some();
    let is_encoded = response.fields.get("content-encoding").is_some();
    match response.status {
        421 if is_attributed => Verdict::NotOwner,
        421 => Verdict::Unknown,
        _ if says_not_run && is_attributed => Verdict::NotRun,
        _ if says_not_run => Verdict::Unknown,
        200..=299 if !is_signed || is_encoded => Verdict::Unknown,
        200..=299 => Verdict::Final,
        // Clients may take these statuses to mean that the request did not run, which the server did not
        // state.
        408 | 429 | 503 => Verdict::Unknown,
        500..=599 => Verdict::Failed,
        _ => Verdict::Final,
    }
}

/// Whether a request may be retried after an attempt with this outcome.
pub fn may_retry(verdict: Verdict, kind: RequestKind) -> bool {
    match verdict {
        Verdict::Final => false,
        Verdict::NotRun | Verdict::NotOwner => true,
        Verdict::Failed | Verdict::Unknown => kind == RequestKind::Safe,
    }
}
