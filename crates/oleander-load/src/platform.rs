//! The stand-ins for the platform: store, list of instances and weight store.

use crate::deployment_cfg::DeploymentCfg;
use crate::deployment_error::DeploymentError;
use crate::node::Node;
use oleander_standins::api::Api;
use oleander_standins::list::{self, Instance, InstanceState, ListSwitches, Role};
use oleander_standins::server::Server;
use oleander_standins::store;
use oleander_standins::weights::{self, WeightsSwitches};
use std::net::SocketAddr;
use trillium_client::Method;

/// Running stand-ins for the platform.
#[derive(Debug)]
pub struct Platform {
    /// The object API.
    pub store: Server,
    /// The list of instances.
    pub list: Server,
    /// The weight store.
    pub weights: Server,
}

impl Platform {
    /// Starts the stand-ins.
    pub fn spawn(cfg: &DeploymentCfg) -> Result<Self, DeploymentError> {
        let listen = SocketAddr::from(([127, 0, 0, 1], 0));
        Ok(Self {
            store: store::spawn(listen, cfg.store.clone())?,
            list: list::spawn(listen, ListSwitches::default())?,
            weights: weights::spawn(listen, WeightsSwitches::default())?,
        })
    }

    /// Client of the object API.
    pub fn store_api(&self) -> Api {
        Api::new(self.store.address())
    }

    /// Client of the list.
    pub fn list_api(&self) -> Api {
        Api::new(self.list.address())
    }

    /// Puts an instance on the list, or changes its state there.
    pub async fn enlist(
        &self,
        node: &Node,
        role: Role,
        region: &str,
        state: InstanceState,
    ) -> Result<(), DeploymentError> {
        let instance = Instance {
            name: node.name.clone(),
            role,
            http: node.http.to_string(),
            link: format!("tcp://{}", node.link),
            domain: node.domain.clone(),
            region: region.to_owned(),
            state,
        };
        let path = format!("/instances/{}", node.name);
        let reply = self.list_api().put(&path, &instance).await?;
        reply.json::<Instance>()?;
        Ok(())
    }

    /// Takes an instance off the list.
    pub async fn delist(&self, node: &Node) -> Result<(), DeploymentError> {
        let api = self.list_api();
        let path = format!("/instances/{}", node.name);
        api.send(api.conn(Method::Delete, &path)).await?;
        Ok(())
    }
}
