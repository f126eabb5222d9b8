//! Location in a bundle that a rule is checked at. Its text is built only if there is a finding.

use std::fmt;

/// The bundle, a service, or one entry of a service's list.
#[derive(Clone, Copy)]
pub(super) enum Location<'a> {
    Bundle,
    Service(&'a str),
    Entry {
        service: &'a str,
        list: &'static str,
        name: &'a str,
    },
}

impl<'a> Location<'a> {
    /// Location of an entry of a list of this service; in the bundle, of the service with this name.
    pub(super) fn entry(self, list: &'static str, name: &'a str) -> Self {
        match self {
            Self::Service(service) | Self::Entry { service, .. } => Self::Entry {
                service,
                list,
                name,
            },
            Self::Bundle => Self::Service(name),
        }
    }

    /// Path of a field at this location; an empty `field` stands for the location itself.
    pub(super) fn field(self, field: &str) -> String {
        match (self, field) {
            (Self::Bundle, field) => field.to_owned(),
            (location, "") => location.to_string(),
            (location, field) => format!("{location}.{field}"),
        }
    }
}

impl fmt::Display for Location<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Bundle => formatter.write_str("bundle"),
            Self::Service(service) => write!(formatter, "services[{service}]"),
            Self::Entry {
                service,
                list,
                name,
            } => write!(formatter, "services[{service}].{list}[{name}]"),
        }
    }
}
