//! Configuration of the deployment.

use super::client_limits::ClientLimits;
use super::route::Route;
use super::service_config::ServiceConfig;
use crate::workspaces::workspace::Workspace;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// One version of the deployment's configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeploymentConfig {
    /// Version number; higher is newer.
    pub version: u64,
    /// Routes in the order of the configuration.
    pub routes: Vec<Route>,
    /// Services by name.
    pub services: IndexMap<String, ServiceConfig>,
    /// Limits on client requests.
    pub limits: ClientLimits,
    /// Workspaces; `None` if the deployment has none, so that requests need no key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub workspaces: Option<Vec<Workspace>>,
}

impl DeploymentConfig {
    /// Removes the keys of all workspaces, for processes that check none.
    pub fn remove_keys(&mut self) {
        let workspaces = self.workspaces.iter_mut().flatten();
        workspaces.for_each(|workspace| workspace.keys.clear());
    }
}
