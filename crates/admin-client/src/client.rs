//! Calls of the admin interface, and the search for the leader.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use grebepin_schema::{
    ApiError, ApiErrorKind, DrainServerAnswer, DrainServerRequest, FoundRequest, IdentityAnswer,
    RemoveMemberAnswer, RemoveMemberRequest, ReplicaId, RollAnswer, ServerName, SignedBundle,
    Status, TableSnapshot,
};
use serde::de::DeserializeOwned;
use serde::Serialize;

use crate::error::{Attempt, ClientError};
use crate::http::{agent, exchange, exchange_bytes, Call};

/// Pause before the replicas are asked once more, when none of them led.
const PAUSE: Duration = Duration::from_millis(50);

/// Replicas asked in a row because the one before named them; two that name each other end there.
const MAXIMUM_HINTS: usize = 2;

/// Times of an [`AdminClient`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientOptions {
    /// Longest time of one exchange with one replica.
    pub timeout: Duration,
    /// Longest time to look for a leader that answers.
    pub patience: Duration,
}

impl Default for ClientOptions {
    fn default() -> Self {
        Self {
            timeout: Duration::from_secs(2),
            patience: Duration::from_secs(5),
        }
    }
}

/// Asks the control replicas of one group.
#[derive(Clone, Debug)]
pub struct AdminClient {
    addresses: Vec<SocketAddr>,
    options: ClientOptions,
    agent: ureq::Agent,
}

impl AdminClient {
    /// A client of the replicas with these admin addresses; some of them suffice.
    pub fn new(addresses: Vec<SocketAddr>, options: ClientOptions) -> Self {
        let agent = agent(options.timeout);
        Self {
            addresses,
            options,
            agent,
        }
    }

    /// Admin addresses that are asked first.
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// Who one replica is.
    pub fn identity(&self, address: SocketAddr) -> Result<IdentityAnswer, ClientError> {
        self.get(address, "/v1/identity")
    }

    /// Founds a group at one replica; send the same request to each founding replica.
    pub fn found(&self, address: SocketAddr, request: &FoundRequest) -> Result<(), ClientError> {
        let call = Call::Post(request);
        exchange_bytes(&self.agent, address, "/v1/found", &call)?;
        Ok(())
    }

    /// Hands in a signed bundle; the answer to a resend says `repeated`.
    pub fn roll(&self, bundle: &SignedBundle) -> Result<RollAnswer, ClientError> {
        self.ask_leader("/v1/bundles", &Call::Post(bundle))
    }

    /// The bundle in force; `None` before the first.
    pub fn bundle(&self) -> Result<Option<SignedBundle>, ClientError> {
        match self.ask_leader::<(), _>("/v1/bundle", &Call::Get) {
            Ok(bundle) => Ok(Some(bundle)),
            Err(error) if error.kind() == Some(ApiErrorKind::NotFound) => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// The routing table in force, from a linearizable read.
    pub fn table(&self) -> Result<TableSnapshot, ClientError> {
        self.ask_leader::<(), _>("/v1/table", &Call::Get)
    }

    /// Status as the leader sees it.
    pub fn status(&self) -> Result<Status, ClientError> {
        self.ask_leader::<(), _>("/v1/status", &Call::Get)
    }

    /// Status as one replica sees it, leader or not.
    pub fn status_of(&self, address: SocketAddr) -> Result<Status, ClientError> {
        self.get(address, "/v1/status")
    }

    /// Drains a server, or brings it back.
    pub fn drain(
        &self,
        server: &ServerName,
        draining: bool,
    ) -> Result<DrainServerAnswer, ClientError> {
        let request = DrainServerRequest {
            server: server.clone(),
            draining,
        };
        self.ask_leader("/v1/drain", &Call::Post(&request))
    }

    /// Removes a member for good; its identity is never used again.
    pub fn remove_member(&self, replica: ReplicaId) -> Result<RemoveMemberAnswer, ClientError> {
        let request = RemoveMemberRequest { replica };
        self.ask_leader("/v1/members/remove", &Call::Post(&request))
    }

    /// Metrics of one replica in Prometheus' text form.
    pub fn metrics(&self, address: SocketAddr) -> Result<String, ClientError> {
        let call = Call::<()>::Get;
        let (_, body) = exchange_bytes(&self.agent, address, "/metrics", &call)?;
        Ok(String::from_utf8_lossy(&body).into_owned())
    }

    fn get<A: DeserializeOwned>(&self, address: SocketAddr, path: &str) -> Result<A, ClientError> {
        exchange(&self.agent, address, path, &Call::<()>::Get)
    }

    /// Asks one replica after another, the named leader first, until one answers as leader.
    fn ask_leader<T: Serialize, A: DeserializeOwned>(
        &self,
        path: &str,
        call: &Call<'_, T>,
    ) -> Result<A, ClientError> {
        if self.addresses.is_empty() {
            return Err(ClientError::NoAddresses);
        }
        let started = Instant::now();
        let mut search = Search::new(&self.addresses);
        loop {
            let address = search.next();
            match exchange(&self.agent, address, path, call) {
                Err(error) if is_worth_another(&error) => search.failed(address, &error),
                result => return result,
            }
            if started.elapsed() >= self.options.patience {
                return Err(search.into_error());
            }
            if search.round_is_over() {
                std::thread::sleep(PAUSE);
            }
        }
    }
}

/// Whether another replica, or the same one later, may answer.
fn is_worth_another(error: &ClientError) -> bool {
    match error {
        ClientError::Unreachable { .. } => true,
        ClientError::Refused { error, .. } => matches!(
            error.kind,
            ApiErrorKind::NotLeader | ApiErrorKind::NoLeader | ApiErrorKind::LostLeadership
        ),
        _ => false,
    }
}

/// Which replica is asked next.
struct Search<'a> {
    addresses: &'a [SocketAddr],
    position: usize,
    named_leader: Option<SocketAddr>,
    hints_followed: usize,
    attempts: BTreeMap<SocketAddr, Attempt>,
}

impl<'a> Search<'a> {
    fn new(addresses: &'a [SocketAddr]) -> Self {
        Self {
            addresses,
            position: 0,
            named_leader: None,
            hints_followed: 0,
            attempts: BTreeMap::new(),
        }
    }

    fn next(&mut self) -> SocketAddr {
        if let Some(leader) = self.named_leader.take() {
            self.hints_followed += 1;
            return leader;
        }
        self.hints_followed = 0;
        let address = self.addresses[self.position % self.addresses.len()];
        self.position += 1;
        address
    }

    fn failed(&mut self, address: SocketAddr, error: &ClientError) {
        let before = self.attempts.get(&address);
        let was_unknown = before.is_some_and(|attempt| attempt.outcome_is_unknown);
        let attempt = Attempt {
            address,
            reason: error.to_string(),
            outcome_is_unknown: was_unknown || error.outcome_is_unknown(),
        };
        self.attempts.insert(address, attempt);
        if self.hints_followed >= MAXIMUM_HINTS {
            return;
        }
        if let ClientError::Refused { error, .. } = error {
            self.named_leader = named_leader(error).filter(|leader| *leader != address);
        }
    }

    fn round_is_over(&self) -> bool {
        self.named_leader.is_none() && self.position.is_multiple_of(self.addresses.len())
    }

    fn into_error(self) -> ClientError {
        ClientError::NoLeader {
            attempts: self.attempts.into_values().collect(),
        }
    }
}

fn named_leader(error: &ApiError) -> Option<SocketAddr> {
    error.leader_admin_address.as_ref()?.parse().ok()
}
