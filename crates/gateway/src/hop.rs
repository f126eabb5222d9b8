//! Header fields between two gateways, one of which forwards a request that it can't send to a server itself.
//!
//! Invariants: a request is forwarded once. The fields are read only on connections of other gateways and never
//! leave the gateways, so that clients and servers can't set them.

use std::io::Write as _;

use grebepin_reactor::http::{Fields, Request, Response};

use crate::refusal::Refusal;

const PREFIX: &str = "grebepin-hop-";

/// Service that the first gateway selected.
const SERVICE: &str = "Grebepin-Hop-Service";

/// Present if the client most likely retries a request that was refused before.
const CLIENT_RETRY: &str = "Grebepin-Hop-Client-Retry";

/// Number of servers that the request was sent to so far.
const ATTEMPTS: &str = "Grebepin-Hop-Attempts";

/// Present if the other gateway should send the request only to a server that it has heard lately.
const IF_HEARD: &str = "Grebepin-Hop-If-Heard";

/// Outcome of a request that no server's response answers.
const OUTCOME: &str = "Grebepin-Hop-Outcome";

/// Zone of the gateway that answers.
const ZONE: &str = "Grebepin-Hop-Zone";

/// Whether a field passes only between gateways.
pub fn is_hop_field(name: &str) -> bool {
    let start = name.get(..PREFIX.len());
    start.is_some_and(|start| start.eq_ignore_ascii_case(PREFIX))
}

/// What the first gateway decided about a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HopRequest {
    /// Selected service; the other gateway selects again if its route does not allow it.
    pub service: String,
    /// Whether the client most likely retries a request that was refused before.
    pub is_client_retry: bool,
    /// Number of servers that the request was sent to so far.
    pub attempts: u32,
    /// Whether the other gateway should send the request only to an owner that it has heard lately. The owner is then
    /// the only server that the first gateway can't reach, so it has most likely failed.
    pub only_if_heard: bool,
}

impl HopRequest {
    /// Reads and removes the fields of a request; `None` if they are incomplete.
    pub fn take(request: &mut Request) -> Option<Self> {
        let service = request.fields.get(SERVICE)?.to_owned();
        let is_client_retry = request.fields.get(CLIENT_RETRY).is_some();
        let only_if_heard = request.fields.get(IF_HEARD).is_some();
        let attempts = request.fields.get(ATTEMPTS);
        let attempts = attempts.and_then(|text| text.parse().ok())?;
        request.fields = without_hop_fields(&request.fields);
        Some(Self {
            service,
            is_client_retry,
            attempts,
            only_if_heard,
        })
    }

    /// Writes the fields of a request.
    pub fn write(&self, out: &mut Vec<u8>) {
        let Self {
            service, attempts, ..
        } = self;
        let _ = write!(out, "{SERVICE}: {service}\r\n{ATTEMPTS}: {attempts}\r\n");
        if self.is_client_retry {
            let _ = write!(out, "{CLIENT_RETRY}: 1\r\n");
        }
        if self.only_if_heard {
            let _ = write!(out, "{IF_HEARD}: 1\r\n");
        }
    }
}

/// Why a gateway answers a forwarded request itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HopOutcome {
    /// The gateway can't reach the server either. The request did not run.
    Unreachable,
    /// The gateway has lost its paths to the servers of the service. The request did not run.
    PathsLost,
    /// The gateway can serve no requests, or not know the route. The request did not run.
    Unavailable,
    /// The gateway's network link is full. The request did not run.
    Overloaded,
    /// The server, or the gateway on its behalf, accepts no request now. The request did not run.
    Refused,
    /// The request may have run.
    Unknown,
}

impl HopOutcome {
    const ALL: [Self; 6] = [
        Self::Unreachable,
        Self::PathsLost,
        Self::Unavailable,
        Self::Overloaded,
        Self::Refused,
        Self::Unknown,
    ];

    fn as_str(self) -> &'static str {
        match self {
            Self::Unreachable => "unreachable",
            Self::PathsLost => "paths lost",
            Self::Unavailable => "unavailable",
            Self::Overloaded => "overloaded",
            Self::Refused => "refused",
            Self::Unknown => "unknown",
        }
    }

    /// Outcome of a refusal. `paths_lost` tells whether the gateway has lost its paths to the service.
    pub fn of_refusal(refusal: Refusal, paths_lost: bool) -> Self {
        match refusal {
            Refusal::Unreachable if paths_lost => Self::PathsLost,
            Refusal::Unreachable => Self::Unreachable,
            Refusal::Unconfigured
            | Refusal::Undecided
            | Refusal::StateOutdated
            | Refusal::Stopping => Self::Unavailable,
            Refusal::LinkFull | Refusal::NoMemory => Self::Overloaded,
            _ => Self::Refused,
        }
    }

    /// Outcome of an answer with a status of the gateway's own and no more specific reason.
    pub fn of_status(status: u16) -> Self {
        match status {
            500.. if status != 503 => Self::Unknown,
            503 => Self::Refused,
            _ => Self::Unavailable,
        }
    }
}

/// Answer of the other gateway.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HopAnswer {
    /// `None` if the answer is a server's.
    pub outcome: Option<HopOutcome>,
    /// Number of servers that the request was sent to in all; `None` if it is not told.
    pub attempts: Option<u32>,
    /// Zone of the gateway that answers.
    pub zone: Option<String>,
}

impl HopAnswer {
    /// Reads the fields of a response. An outcome of an unknown name may mean that the request ran.
    pub fn read(response: &Response) -> Self {
        let outcome = response.fields.get(OUTCOME).map(|text| {
            let mut all = HopOutcome::ALL.into_iter();
            all.find(|outcome| outcome.as_str() == text)
                .unwrap_or(HopOutcome::Unknown)
        });
        let zone = response.fields.get(ZONE).map(str::to_owned);
        let attempts = response.fields.get(ATTEMPTS);
        let attempts = attempts.and_then(|text| text.parse().ok());
        Self {
            outcome,
            attempts,
            zone,
        }
    }
}

/// What the answer to another gateway tells besides the outcome.
#[derive(Clone, Copy, Debug)]
pub struct AnsweringGateway<'a> {
    /// Zone of this gateway.
    pub zone: &'a str,
    /// Number of servers that the request was sent to in all.
    pub attempts: u32,
}

/// Writes the fields of an answer to another gateway.
pub fn write_answer_fields(
    out: &mut Vec<u8>,
    outcome: Option<HopOutcome>,
    gateway: AnsweringGateway<'_>,
) {
    if let Some(outcome) = outcome {
        let _ = write!(out, "{OUTCOME}: {}\r\n", outcome.as_str());
    }
    let AnsweringGateway { zone, attempts } = gateway;
    let _ = write!(out, "{ZONE}: {zone}\r\n{ATTEMPTS}: {attempts}\r\n");
}

fn without_hop_fields(fields: &Fields) -> Fields {
    let mut kept = Fields::default();
    for (name, value) in fields.iter().filter(|(name, _)| !is_hop_field(name)) {
        kept.push(name, value);
    }
    kept
}
