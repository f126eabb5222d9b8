//! Plays a shard's previous owner, whom the back end asks for the record.

use std::net::TcpListener;

use grebepin_schema::{Epoch, HandoverAnswer, PreviousOwner, RecordEntry, RequestState};

use super::peer::request_id;
use super::Breach;
use crate::http::{HttpRequest, HttpResponse, HttpServer, ServerHooks, ServerOptions};

/// Epoch that the previous owner held the shard at.
const PREVIOUS_EPOCH: u64 = 7;

/// A previous owner that answers one record to every hand-over.
pub(super) struct Previous {
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

impl Previous {
    /// Starts with a record of requests in their states.
    pub(super) fn start(complete: bool, record: &[(&str, RequestState)]) -> Result<Self, Breach> {
        let entries = record.iter().map(|(id, state)| {
            Ok(RecordEntry {
                request_id: request_id(id)?,
                state: *state,
            })
        });
        let answer = HandoverAnswer {
            complete,
            entries: entries.collect::<Result<_, Breach>>()?,
        };
        let listener = TcpListener::bind("127.0.0.1:0").map_err(Breach::Check)?;
        let options = ServerOptions {
            connections: 16,
            maximum_body: 1024,
            ..ServerOptions::default()
        };
        let server =
            HttpServer::start(listener, options, Record { answer }).map_err(Breach::Check)?;
        Ok(Self { server })
    }

    /// As a grant names it.
    pub(super) fn owner(&self) -> Result<PreviousOwner, Breach> {
        previous_owner(&self.server.address().to_string(), true)
    }
}

impl Drop for Previous {
    fn drop(&mut self) {
        self.server.stop();
    }
}

/// A previous owner at an address where nobody may listen.
pub(super) fn previous_owner(address: &str, released: bool) -> Result<PreviousOwner, Breach> {
    Ok(PreviousOwner {
        server: serde_json::from_value("previous".into())?,
        address: serde_json::from_value(address.into())?,
        epoch: Epoch(PREVIOUS_EPOCH),
        released,
    })
}
