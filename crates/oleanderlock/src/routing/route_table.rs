//! Lookup of routes by host and longest path prefix.

use super::deployment_config::DeploymentConfig;
use super::route::Route;
use super::route_kind::RouteKind;
use crate::workspaces::key_table::KeyTable;
use std::collections::HashMap;

/// The routes of one configuration, indexed for lookup.
#[derive(Clone, Debug)]
pub struct RouteTable {
    /// The configuration from which the table was built.
    pub config: DeploymentConfig,
    /// Keys of the workspaces; `None` if the deployment has none, so that requests need no key.
    pub keys: Option<KeyTable>,
    /// Indices into `config.routes` by host, longest path prefix first.
    by_host: HashMap<String, Vec<usize>>,
}

impl RouteTable {
    /// Builds the lookup table of a configuration.
    pub fn new(config: DeploymentConfig) -> Self {
        let mut by_host: HashMap<String, Vec<usize>> = HashMap::new();
        for (index, route) in config.routes.iter().enumerate() {
            by_host.entry(route.host.clone()).or_default().push(index);
        }
        for indexes in by_host.values_mut() {
            let length = |index: &usize| config.routes[*index].path_prefix.len();
            indexes.sort_by_key(|index| std::cmp::Reverse(length(index)));
        }
        let keys = config.workspaces.as_deref().map(KeyTable::new);
        Self {
            config,
            keys,
            by_host,
        }
    }

    /// Whether a route of a kind for which `of_kind` holds leads to a service.
    pub fn leads_to(&self, service: &str, of_kind: impl Fn(RouteKind) -> bool) -> bool {
        let mut routes = self.config.routes.iter();
        routes.any(|route| {
            let mut targets = route.targets.iter();
            of_kind(route.kind) && targets.any(|target| target.service == service)
        })
    }

    /// Returns the route of a host with the longest prefix of `path`.
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let indexes = self.by_host.get(host)?;
        let routes = indexes.iter().map(|index| &self.config.routes[*index]);
        routes
            .into_iter()
            .find(|route| path.starts_with(&route.path_prefix))
    }
}
