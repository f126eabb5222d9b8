//! Collects the invalid values of one settings file.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::Path;

use grebepin_schema::SocketAddress;

use crate::error::{Problem, ProblemKind, SettingsError};

/// Placeholder for an address that does not parse. It is never used, because the reported problem makes the
/// whole file invalid.
const PLACEHOLDER_ADDRESS: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::UNSPECIFIED), 0);

/// Invalid values found so far.
#[derive(Debug, Default)]
pub(crate) struct Problems(Vec<Problem>);

impl Problems {
    pub(crate) fn push(&mut self, field: impl Into<String>, kind: ProblemKind) {
        let field = field.into();
        self.0.push(Problem { field, kind });
    }

    /// Reports a value that is less than `minimum` or greater than `maximum`.
    pub(crate) fn check_range(&mut self, field: &str, value: u64, minimum: u64, maximum: u64) {
        if value < minimum || value > maximum {
            let kind = ProblemKind::OutOfRange {
                value,
                minimum,
                maximum,
            };
            self.push(field, kind);
        }
    }

    /// Reports a value that is less than `factor` times the value of another field.
    pub(crate) fn check_at_least(
        &mut self,
        (field, value): (&str, u64),
        factor: u64,
        (other, other_value): (&'static str, u64),
    ) {
        if value < other_value.saturating_mul(factor) {
            let kind = ProblemKind::TooSmallFor {
                value,
                factor,
                other,
                other_value,
            };
            self.push(field, kind);
        }
    }

    /// Parses an address on which this process listens, and reports a text that is not one.
    pub(crate) fn parse_address(&mut self, field: &str, address: &SocketAddress) -> SocketAddr {
        address.parse().unwrap_or_else(|_| {
            let value = address.to_string();
            self.push(field, ProblemKind::NotAnAddress { value });
            PLACEHOLDER_ADDRESS
        })
    }

    /// Parses an address that other processes use, and reports one that they can't reach: an unspecified or
    /// multicast IP address, or port 0.
    pub(crate) fn parse_reachable_address(
        &mut self,
        field: &str,
        address: &SocketAddress,
    ) -> SocketAddr {
        let before = self.0.len();
        let address = self.parse_address(field, address);
        let ip = address.ip();
        let is_reachable = address.port() != 0 && !ip.is_unspecified() && !ip.is_multicast();
        if self.0.len() == before && !is_reachable {
            self.push(field, ProblemKind::Unreachable { address });
        }
        address
    }

    /// Parses the addresses of other processes, and reports those that occur more than once.
    pub(crate) fn parse_peer_addresses(
        &mut self,
        field: &str,
        addresses: &[SocketAddress],
    ) -> Vec<SocketAddr> {
        let mut parsed = Vec::new();
        for (position, address) in addresses.iter().enumerate() {
            let field = format!("{field}[{position}]");
            parsed.push(self.parse_reachable_address(&field, address));
        }
        self.check_distinct(field, &parsed);
        parsed
    }

    /// Reports each repetition of a value.
    pub(crate) fn check_distinct<T: Ord + ToString>(&mut self, field: &str, values: &[T]) {
        let mut seen = BTreeSet::new();
        for value in values {
            if !seen.insert(value) {
                let value = value.to_string();
                self.push(field, ProblemKind::Duplicate { value });
            }
        }
    }

    /// Returns an error if any problem was reported.
    pub(crate) fn into_result(self, path: &Path) -> Result<(), SettingsError> {
        if self.0.is_empty() {
            return Ok(());
        }
        Err(SettingsError::Invalid {
            path: path.to_owned(),
            problems: self.0,
        })
    }
}
