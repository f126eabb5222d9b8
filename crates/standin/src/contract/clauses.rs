//! The clauses, in the order in which they are checked.
//!
//! Invariant: no clause leaves the back end draining. Whether it then has a lease is unspecified.

mod leases;
mod requests;

use super::peer::Peer;
use super::ClauseError;

/// One clause of the page.
pub(super) struct Clause {
    pub(super) name: &'static str,
    pub(super) needs_slow_path: bool,
    pub(super) check: fn(&mut Peer) -> Result<(), ClauseError>,
}

const fn clause(name: &'static str, check: fn(&mut Peer) -> Result<(), ClauseError>) -> Clause {
    Clause {
        name,
        needs_slow_path: false,
        check,
    }
}

const fn slow_clause(
    name: &'static str,
    check: fn(&mut Peer) -> Result<(), ClauseError>,
) -> Clause {
    Clause {
        name,
        needs_slow_path: true,
        check,
    }
}

/// Every clause.
pub(super) const ALL: &[Clause] = &[
    clause(
        "heartbeat: holds nothing at the start",
        leases::holds_nothing,
    ),
    clause("heartbeat: only for its own name", leases::own_name),
    clause("heartbeat: malformed JSON is refused", leases::malformed),
    clause(
        "grant: none without a lease",
        leases::no_grant_without_lease,
    ),
    clause("lease: every nonce is fresh", leases::fresh_nonces),
    clause("lease: unknown nonce renews nothing", leases::unknown_nonce),
    clause("lease: other session renews nothing", leases::other_session),
    clause(
        "lease: counts from the issue of the nonce",
        leases::counts_from_issue,
    ),
    clause("lease: old nonces are forgotten", leases::old_nonces),
    clause("term: lower terms change nothing", leases::lower_term),
    clause(
        "grant: other session is refused",
        leases::grant_of_other_session,
    ),
    clause("grant: epochs never go back", leases::epochs_grow),
    clause("holdings: list and checksum agree", leases::checksum),
    clause("release: an idle shard goes at once", leases::release),
    clause("request: runs and names its id", requests::runs),
    clause("request: any method is a request", requests::any_method),
    clause(
        "request: wrong epoch or shard is refused",
        requests::wrong_epoch,
    ),
    clause(
        "request: missing headers are refused",
        requests::bad_request,
    ),
    clause("request: no time left is refused", requests::no_time),
    clause("record: a request runs once", requests::runs_once),
    clause(
        "record: a repeatable request runs again",
        requests::repeatable,
    ),
    clause("cancel: tombstone refuses the request", requests::tombstone),
    clause(
        "cancel: what ran is not cancelled",
        requests::cancel_after_run,
    ),
    clause(
        "cancel: another epoch is unknown",
        requests::cancel_at_other_epoch,
    ),
    clause("outcome: unseen in a whole record", requests::unseen),
    clause(
        "resend: refused after a lost owner",
        requests::resend_after_loss,
    ),
    clause(
        "cancel: claims nothing after a lost owner",
        requests::cancel_after_loss,
    ),
    clause("handover: record of a released shard", requests::handover),
    clause(
        "handover: fetched from the previous owner",
        requests::fetches_record,
    ),
    clause(
        "handover: a previous owner that is gone",
        requests::previous_gone,
    ),
    slow_clause(
        "release: waits for requests in flight",
        requests::release_waits,
    ),
    slow_clause(
        "request: the same one does not run twice at once",
        requests::already_running,
    ),
    slow_clause(
        "cancel: stops a request before its effect",
        requests::cancel_in_flight,
    ),
    clause("drain: takes no grants, then no requests", requests::drain),
    clause(
        "lapse: everything is dropped, the session ends",
        leases::lapse,
    ),
    clause(
        "lapse: the record is handed over all the same",
        leases::handover_after_lapse,
    ),
    slow_clause(
        "lapse: no effect after the lease",
        leases::no_effect_after_lapse,
    ),
    clause("health and load: answer", requests::probes),
];
