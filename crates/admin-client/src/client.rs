//! Calls to the admin interface, and the search for the leader.

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
use crate::http::{agent, request, request_bytes, Call};
use crate::search::{is_retryable, LeaderSearch, StatusSearch};

/// Pause before the next pass over the addresses, when no replica in the last one was the leader.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Passes over all replicas in search of the leader's status before a follower's is returned.
const STATUS_PASSES: u32 = 3;

/// Pause between two such passes, about the duration of an election.
const STATUS_PAUSE: Duration = Duration::from_millis(300);

/// Timeouts of an [`AdminClient`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientOptions {
    /// Timeout of one request to one replica, from connecting to the last byte of the response.
    pub timeout: Duration,
    /// How long a request that only the leader answers is retried; after this no further replica is tried.
    pub leader_search_timeout: Duration,
}

impl Default for ClientOptions {
    fn default() -> Self {
        Self {
            timeout: Duration::from_secs(2),
            leader_search_timeout: Duration::from_secs(5),
        }
    }
}

/// Sends requests to the control replicas of one group.
#[derive(Clone, Debug)]
pub struct AdminClient {
    addresses: Vec<SocketAddr>,
    options: ClientOptions,
    agent: ureq::Agent,
}

impl AdminClient {
    /// Creates a client for a group. `addresses` are replicas' admin addresses; they needn't be complete.
    pub fn new(addresses: Vec<SocketAddr>, options: ClientOptions) -> Self {
        let agent = agent(options.timeout);
        Self {
            addresses,
            options,
            agent,
        }
    }

    /// Admin addresses that the client was created with.
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// Fetches one replica's identity: its number, zone, addresses, and whether it was founded.
    pub fn identity(&self, address: SocketAddr) -> Result<IdentityAnswer, ClientError> {
        self.get(address, "/v1/identity")
    }

    /// Founds a group at one replica. The same request goes to each founding replica.
    pub fn found(&self, address: SocketAddr, request: &FoundRequest) -> Result<(), ClientError> {
        let call = Call::Post(request);
        request_bytes(&self.agent, address, "/v1/found", &call)?;
        Ok(())
    }

    /// Submits a signed bundle. When the bundle was already accepted, the answer has `repeated` set.
    pub fn roll(&self, bundle: &SignedBundle) -> Result<RollAnswer, ClientError> {
        self.send_to_leader("/v1/bundles", &Call::Post(bundle))
    }

    /// Fetches the bundle in force; `None` before the first one is accepted.
    pub fn bundle(&self) -> Result<Option<SignedBundle>, ClientError> {
        match self.send_to_leader::<(), _>("/v1/bundle", &Call::Get) {
            Ok(bundle) => Ok(Some(bundle)),
            Err(error) if error.kind() == Some(ApiErrorKind::NotFound) => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Fetches the routing table in force by a linearizable read.
    pub fn table(&self) -> Result<TableSnapshot, ClientError> {
        self.send_to_leader::<(), _>("/v1/table", &Call::Get)
    }

    /// Fetches the leader's status, or, when no leader is found, the newest status of any other replica.
    pub fn status(&self) -> Result<Status, ClientError> {
        if self.addresses.is_empty() {
            return Err(ClientError::NoAddresses);
        }
        let mut search = StatusSearch::default();
        for pass in 0..STATUS_PASSES {
            if pass > 0 {
                std::thread::sleep(STATUS_PAUSE);
            }
            for address in search.addresses(&self.addresses) {
                match self.status_of(address) {
                    Ok(status) if status.role == ReplicaRole::Leader => return Ok(status),
                    Ok(status) => search.record_status(status),
                    Err(error) if is_retryable(&error) => search.record_failure(address, &error),
                    Err(error) => return Err(error),
                }
            }
        }
        search.into_result()
    }

    /// Fetches the status that one replica reports, leader or not.
    pub fn status_of(&self, address: SocketAddr) -> Result<Status, ClientError> {
        self.get(address, "/v1/status")
    }

    /// Drains a server, or ends its drain.
    pub fn drain(
        &self,
        server: &ServerName,
        draining: bool,
    ) -> Result<DrainServerAnswer, ClientError> {
        let request = DrainServerRequest {
            server: server.clone(),
            draining,
        };
        self.send_to_leader("/v1/drain", &Call::Post(&request))
    }

    /// Removes a member permanently; its identity is never used again.
    pub fn remove_member(&self, replica: ReplicaId) -> Result<RemoveMemberAnswer, ClientError> {
        let request = RemoveMemberRequest { replica };
        self.send_to_leader("/v1/members/remove", &Call::Post(&request))
    }

    /// Fetches the metrics of one replica in the Prometheus text format.
    pub fn metrics(&self, address: SocketAddr) -> Result<String, ClientError> {
        let call = Call::<()>::Get;
        let (_, body) = request_bytes(&self.agent, address, "/metrics", &call)?;
        Ok(String::from_utf8_lossy(&body).into_owned())
    }

    fn get<A: DeserializeOwned>(&self, address: SocketAddr, path: &str) -> Result<A, ClientError> {
        request(&self.agent, address, path, &Call::<()>::Get)
    }

    /// Tries one replica after another until the leader answers or the search time is over. When a
    /// replica names the leader, that one is tried next.
    fn send_to_leader<T: Serialize, A: DeserializeOwned>(
        &self,
        path: &str,
        call: &Call<'_, T>,
    ) -> Result<A, ClientError> {
        if self.addresses.is_empty() {
            return Err(ClientError::NoAddresses);
        }
        let started = Instant::now();
        let mut search = LeaderSearch::new(&self.addresses);
        loop {
            let address = search.next();
            match request(&self.agent, address, path, call) {
                Err(error) if is_retryable(&error) => search.record_failure(address, &error),
                result => return result,
            }
            if started.elapsed() >= self.options.leader_search_timeout {
                return Err(search.into_error());
            }
            if search.pass_is_over() {
                std::thread::sleep(RETRY_PAUSE);
            }
        }
    }
}
