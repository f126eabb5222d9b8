//! Matches requests to routes by host and longest path prefix.

use std::collections::HashMap;
use std::sync::Arc;

use crate::item::{ItemContent, Route, Version};
use crate::items::Items;

/// A route in force.
#[derive(Clone, Debug)]
pub struct NamedRoute {
    /// Name of the route.
    pub name: String,
    /// Version of the route.
    pub version: Version,
    /// The route itself.
    pub route: Arc<Route>,
}

/// Routes by lower-case host, longest prefix first.
#[derive(Clone, Debug, Default)]
pub struct RouteIndex {
    by_host: HashMap<String, Vec<NamedRoute>>,
}

impl RouteIndex {
    /// Builds the index from the active routes.
    pub fn new(items: &Items) -> Self {
        let mut by_host: HashMap<String, Vec<NamedRoute>> = HashMap::new();
        for item in items.in_force() {
            if let ItemContent::Route(route) = &item.content {
                let host = route.host.to_ascii_lowercase();
                let named = NamedRoute {
                    name: item.name.clone(),
                    version: item.version,
                    route: Arc::new(route.clone()),
                };
                by_host.entry(host).or_default().push(named);
            }
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|named| std::cmp::Reverse(named.route.prefix.len()));
        }
        Self { by_host }
    }

    /// Returns the route of a request. `host` may include a port and is matched without regard to case;
    /// `path` must not include the query.
    pub fn find(&self, host: &str, path: &str) -> Option<&NamedRoute> {
        let name = host_name(host);
        let routes = match self.by_host.get(name) {
            Some(routes) => routes,
            None => self.by_host.get(&name.to_ascii_lowercase())?,
        };
        routes
            .iter()
            .find(|named| path.starts_with(named.route.prefix.as_str()))
    }
}

impl Route {
    /// Returns whether the route's host and prefix match a request, as in [`RouteIndex::find`].
    pub fn matches(&self, host: &str, path: &str) -> bool {
        self.host.eq_ignore_ascii_case(host_name(host)) && path.starts_with(self.prefix.as_str())
    }
}

fn host_name(host: &str) -> &str {
    host.split(':').next().unwrap_or(host)
}
