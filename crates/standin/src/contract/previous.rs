//! Simulates the previous owner of a shard, from which the back end fetches the record.

use std::net::TcpListener;

use grebepin_schema::{Epoch, HandoverAnswer, PreviousOwner, RecordEntry, RequestState};

use super::peer::request_id;
use super::ClauseError;
use crate::http::{HttpRequest, HttpResponse, HttpServer, ServerHooks, ServerOptions};

/// Epoch at which the previous owner held the shard.
const PREVIOUS_EPOCH: u64 = 7;

/// Server that answers every hand-over call with the same record.
pub(super) struct PreviousOwnerServer {
    server: HttpServer<Record>,
}

pub(super) struct Record {
    answer: HandoverAnswer,
}

impl ServerHooks for Record {
    fn respond(&self, request: HttpRequest) -> HttpResponse {
        let asked = request.path == "/grebepin/v1/handover"
            && request.parse_parameter("epoch") == Some(PREVIOUS_EPOCH);
        match asked {
            true => HttpResponse::json(&self.answer),
            false => HttpResponse::text(404, "only the hand-over of the epoch released"),
        }
    }
}

impl PreviousOwnerServer {
    /// Starts a server whose record holds these request ids and states.
    pub(super) fn start(
        complete: bool,
        record: &[(&str, RequestState)],
    ) -> Result<Self, ClauseError> {
        let entries = record.iter().map(|(id, state)| {
            Ok(RecordEntry {
                request_id: request_id(id)?,
                state: *state,
            })
        });
        let answer = HandoverAnswer {
            complete,
            entries: entries.collect::<Result<_, ClauseError>>()?,
        };
        let listener = TcpListener::bind("127.0.0.1:0").map_err(ClauseError::Check)?;
        let options = ServerOptions {
            connections: 16,
            maximum_body: 1024,
            ..ServerOptions::default()
        };
        let server =
            HttpServer::start(listener, options, Record { answer }).map_err(ClauseError::Check)?;
        Ok(Self { server })
    }

    /// Description of this server for a grant.
    pub(super) fn owner(&self) -> Result<PreviousOwner, ClauseError> {
        previous_owner(&self.server.address().to_string(), true)
    }
}

impl Drop for PreviousOwnerServer {
    fn drop(&mut self) {
        self.server.stop();
    }
}

/// Describes a previous owner at `address`, which need not be listened on.
pub(super) fn previous_owner(address: &str, released: bool) -> Result<PreviousOwner, ClauseError> {
    Ok(PreviousOwner {
        server: serde_json::from_value("previous".into())?,
        address: serde_json::from_value(address.into())?,
        epoch: Epoch(PREVIOUS_EPOCH),
        released,
    })
}
