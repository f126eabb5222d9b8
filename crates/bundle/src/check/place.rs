//! Where in a bundle a rule is looked at; its text is made only for a finding.

use std::fmt;

/// The bundle, a service, or one entry of a service's list.
#[derive(Clone, Copy)]
pub(super) enum Place<'a> {
    Bundle,
    Service(&'a str),
    Entry {
        service: &'a str,
        list: &'static str,
        name: &'a str,
    },
}

impl<'a> Place<'a> {
    /// An entry of one of this service's lists.
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

    /// Path of a field at this place; an empty one names the place itself.
    pub(super) fn field(self, field: &str) -> String {
        match (self, field) {
            (Self::Bundle, field) => field.to_owned(),
            (place, "") => place.to_string(),
            (place, field) => format!("{place}.{field}"),
        }
    }
}

impl fmt::Display for Place<'_> {
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
