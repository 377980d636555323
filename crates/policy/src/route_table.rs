//! Looks up the route of a request and chooses one of its target services.

use std::collections::HashMap;

use comfreyturn_types::{HostName, RouteSpec, RouteTarget};

/// Routes by host and path prefix.
#[derive(Debug, Default)]
pub struct RouteTable {
    /// Invariant: the routes of a host are sorted by prefix length, the longest first.
    hosts: HashMap<HostName, Vec<RouteSpec>>,
}

impl RouteTable {
    /// Builds the table.
    pub fn new(routes: &[RouteSpec]) -> Self {
        let mut hosts: HashMap<HostName, Vec<RouteSpec>> = HashMap::new();
        for route in routes {
            hosts.entry(route.host.clone()).or_default().push(route.clone());
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Self { hosts }
    }

    /// The route with the longest prefix of the path. The port and the case of the host are
    /// ignored.
    pub fn find(&self, host: &str, path: &str) -> Option<&RouteSpec> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = self.hosts.get(&HostName::from(name.to_ascii_lowercase()))?;
        routes.iter().find(|route| path.starts_with(route.prefix.as_str()))
    }
}

/// Chooses one of a route's targets by weight; `draw` is a random number in `0.0..1.0`.
pub fn choose_target(route: &RouteSpec, draw: f64) -> Option<&RouteTarget> {
    let total: f64 = route.targets.iter().map(|target| f64::from(target.weight)).sum();
    let mut rest = draw * total;
    for target in &route.targets {
        rest -= f64::from(target.weight);
        if rest < 0.0 {
            return Some(target);
        }
    }
    route.targets.iter().rfind(|target| target.weight > 0)
}
