//! The stand-ins of a test deployment.

use super::deployment_size::DeploymentSize;
use super::{MODEL, config};
use oleander_platform_standins::stand_in_engine::StandInEngine;
use oleander_platform_standins::stand_in_service::StandInService;
use oleander_platform_standins::stand_in_store::StandInStore;
use serde_json::json;
use std::net::SocketAddr;
use std::time::Duration;

/// Interval between two events of a run.
const EVENT_INTERVAL: Duration = Duration::from_millis(15);

/// The stand-ins of a test deployment.
pub struct StandIns {
    pub store: StandInStore,
    pub engines: Vec<StandInEngine>,
    pub services: Vec<StandInService>,
}

impl StandIns {
    /// Starts the stand-ins; the store has a configuration and no endpoints.
    pub fn spawn(size: DeploymentSize) -> Self {
        let store = StandInStore::spawn();
        store.put("config", "main", &config(1));
        let engines = (0..size.engines)
            .map(|n| StandInEngine::spawn(&format!("engine-{n}"), MODEL, EVENT_INTERVAL));
        let services = (0..size.services).map(|n| StandInService::spawn(&format!("desk-{n}")));
        Self {
            store,
            engines: engines.collect(),
            services: services.collect(),
        }
    }

    /// Lists an engine in the store as an endpoint at `addr`, which may be a relay.
    pub fn list_engine(&self, n: usize, addr: SocketAddr) {
        let engine = &self.engines[n];
        let mut entry = engine.entry("llm");
        entry["addr"] = json!(addr.to_string());
        self.store.put("servers", &engine.instance(), &entry);
    }

    /// Lists a service in the store as an endpoint at `addr`, which may be a relay.
    pub fn list_service(&self, n: usize, addr: SocketAddr) {
        let service = &self.services[n];
        let mut entry = service.entry("desk");
        entry["addr"] = json!(addr.to_string());
        self.store.put("servers", &service.instance(), &entry);
    }
}
