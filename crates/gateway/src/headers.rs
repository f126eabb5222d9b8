//! Header field names that depend on the deployment.

/// Names, in this deployment, of the header fields that a gateway reads or writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeaderNames {
    /// Id of one attempt of a client, echoed in responses.
    pub request_id: &'static str,
    /// Milliseconds that the sender waits for the response.
    pub deadline_ms: &'static str,
    /// Proof that a response comes from a server.
    pub signature: &'static str,
    /// Identity of the only server instance that may execute the request.
    pub expected_instance: &'static str,
    /// Set in a response by a server that did not execute the request.
    pub not_executed: &'static str,
    /// Requests per second that the responding server accepts from all gateways together; sent by a server
    /// that is short of capacity.
    pub stated_rate: &'static str,
    /// Set to 1 in every response of a server that is about to shut down.
    pub leaving: &'static str,
    /// Key of a request to a sharded service, from 0 to 65,535.
    pub shard_key: &'static str,
}
