//! Routing table, admission, retries, outcomes of a request: pure policies.
