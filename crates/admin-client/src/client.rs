//! Calls of the admin interface, and the search for the leader.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use grebepin_schema::{
    ApiErrorKind, DrainServerAnswer, DrainServerRequest, FoundRequest, IdentityAnswer,
    RemoveMemberAnswer, RemoveMemberRequest, ReplicaId, ReplicaRole, RollAnswer, ServerName,
    SignedBundle, Status, TableSnapshot,
};
use serde::de::DeserializeOwned;
use serde::Serialize;

use crate::error::ClientError;
use crate::http::{agent, exchange, exchange_bytes, Call};
use crate::search::{is_worth_another, Search, StatusSearch};

/// Pause before the replicas are asked once more, when none of them led.
const PAUSE: Duration = Duration::from_millis(50);

/// How often all replicas are asked for their status before a follower's is taken.
const STATUS_ROUNDS: u32 = 3;

/// Pause between two such rounds, about the time of an election.
const STATUS_PAUSE: Duration = Duration::from_millis(300);

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

    /// Status as the leader sees it; the newest that another replica has when none leads.
    pub fn status(&self) -> Result<Status, ClientError> {
        if self.addresses.is_empty() {
            return Err(ClientError::NoAddresses);
        }
        let mut search = StatusSearch::default();
        for round in 0..STATUS_ROUNDS {
            if round > 0 {
                std::thread::sleep(STATUS_PAUSE);
            }
            for address in search.addresses(&self.addresses) {
                match self.status_of(address) {
                    Ok(status) if status.role == ReplicaRole::Leader => return Ok(status),
                    Ok(status) => search.found(status),
                    Err(error) if is_worth_another(&error) => search.failed(address, &error),
                    Err(error) => return Err(error),
                }
            }
        }
        search.into_result()
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
