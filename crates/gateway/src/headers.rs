//! Names of the header fields that a deployment gives its own names.

/// Header fields that a gateway reads or sets, by their name in the deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeaderNames {
    /// Id of one attempt of a client, echoed in answers.
    pub request_id: &'static str,
    /// Milliseconds that the sender will wait.
    pub deadline_ms: &'static str,
    /// Proof that an answer comes from a server.
    pub signature: &'static str,
    /// Identity of the only server that may run the request.
    pub expected_instance: &'static str,
    /// Set in an answer by a server that did not run the request.
    pub not_executed: &'static str,
    /// Requests a second that the answering server takes from all gateways together, in an answer of a server in need.
    pub stated_rate: &'static str,
    /// Set to 1 in every answer of a server that is about to end.
    pub leaving: &'static str,
    /// Key of a request to a sharded service, 0 to 65,535.
    pub shard_key: &'static str,
}
