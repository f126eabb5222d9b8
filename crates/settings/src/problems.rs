//! Collects the problems of one file.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::Path;

use grebepin_schema::SocketAddress;

use crate::error::{Problem, ProblemKind, SettingsError};

/// Stands for an address that does not parse; its problem is noted, so it is never used.
const NO_ADDRESS: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::UNSPECIFIED), 0);

/// Problems found so far.
#[derive(Debug, Default)]
pub(crate) struct Problems(Vec<Problem>);

impl Problems {
    pub(crate) fn push(&mut self, field: impl Into<String>, kind: ProblemKind) {
        let field = field.into();
        self.0.push(Problem { field, kind });
    }

    pub(crate) fn range(&mut self, field: &str, value: u64, minimum: u64, maximum: u64) {
        if value < minimum || value > maximum {
            let kind = ProblemKind::OutOfRange {
                value,
                minimum,
                maximum,
            };
            self.push(field, kind);
        }
    }

    /// Notes a value that must be at least `factor` times that of another field.
    pub(crate) fn at_least(
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

    /// An address that this process listens on.
    pub(crate) fn address(&mut self, field: &str, address: &SocketAddress) -> SocketAddr {
        address.parse().unwrap_or_else(|_| {
            let value = address.to_string();
            self.push(field, ProblemKind::NotAnAddress { value });
            NO_ADDRESS
        })
    }

    /// An address that other processes are told.
    pub(crate) fn reachable(&mut self, field: &str, address: &SocketAddress) -> SocketAddr {
        let before = self.0.len();
        let address = self.address(field, address);
        let ip = address.ip();
        let is_reachable = address.port() != 0 && !ip.is_unspecified() && !ip.is_multicast();
        if self.0.len() == before && !is_reachable {
            self.push(field, ProblemKind::Unreachable { address });
        }
        address
    }

    /// Addresses of other processes, each once.
    pub(crate) fn others(&mut self, field: &str, addresses: &[SocketAddress]) -> Vec<SocketAddr> {
        let mut parsed = Vec::new();
        for (position, address) in addresses.iter().enumerate() {
            let field = format!("{field}[{position}]");
            parsed.push(self.reachable(&field, address));
        }
        self.distinct(field, &parsed);
        parsed
    }

    pub(crate) fn distinct<T: Ord + ToString>(&mut self, field: &str, values: &[T]) {
        let mut seen = BTreeSet::new();
        for value in values {
            if !seen.insert(value) {
                let value = value.to_string();
                self.push(field, ProblemKind::Duplicate { value });
            }
        }
    }

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
