//! A stand-in endpoint, which can crash and start again.

use crate::deployment_error::DeploymentError;
use crate::node::Node;
use oleander_standins::api::Api;
use oleander_standins::engine::{self, EngineCfg, EngineRecord};
use oleander_standins::server::Server;
use oleander_standins::service::{self, ServiceRecord, ServiceSwitches};
use std::io;
use std::net::SocketAddr;

/// What stands behind an agent.
#[derive(Clone, Debug)]
pub enum EndpointCfg {
    /// A model engine.
    Engine(EngineCfg),
    /// A plain service.
    Service(ServiceSwitches),
}

/// An endpoint with its agent; the stand-in may be down.
#[derive(Debug)]
pub struct Endpoint {
    /// The agent.
    pub agent: Node,
    /// Models or services that it serves.
    pub targets: Vec<String>,
    /// HTTP address of the stand-in.
    pub address: SocketAddr,
    cfg: EndpointCfg,
    server: Option<Server>,
    past_engine: EngineRecord,
    past_service: ServiceRecord,
}

impl Endpoint {
    /// Wraps a running stand-in and the agent beside it.
    pub fn new(agent: Node, targets: Vec<String>, cfg: EndpointCfg, server: Server) -> Self {
        Self {
            agent,
            targets,
            address: server.address(),
            cfg,
            server: Some(server),
            past_engine: EngineRecord::default(),
            past_service: ServiceRecord::default(),
        }
    }

    /// Whether this is a model engine.
    pub fn is_engine(&self) -> bool {
        matches!(self.cfg, EndpointCfg::Engine(_))
    }

    /// Client of the stand-in.
    pub fn api(&self) -> Api {
        Api::new(self.address)
    }

    /// Breaks all connections of the stand-in and closes its address; the record is kept.
    pub async fn crash(&mut self) -> Result<(), DeploymentError> {
        self.past_engine = self.engine_record().await?;
        self.past_service = self.service_record().await?;
        if let Some(server) = self.server.take() {
            server.stop();
        }
        Ok(())
    }

    /// Starts the stand-in again at its address, with its first settings.
    pub fn restart(&mut self) -> io::Result<()> {
        if self.server.is_none() {
            self.server = Some(spawn(&self.cfg, self.address)?);
        }
        Ok(())
    }

    /// What ran at this engine, before and after crashes; empty for a service.
    pub async fn engine_record(&self) -> Result<EngineRecord, DeploymentError> {
        let mut record = self.past_engine.clone();
        if self.is_engine() && self.server.is_some() {
            let now: EngineRecord = self.api().record().await?;
            record.runs.extend(now.runs);
            record.swaps.extend(now.swaps);
            record.tokens += now.tokens;
        }
        Ok(record)
    }

    /// What ran at this service, before and after crashes; empty for an engine.
    pub async fn service_record(&self) -> Result<ServiceRecord, DeploymentError> {
        let mut record = self.past_service.clone();
        if !self.is_engine() && self.server.is_some() {
            let now: ServiceRecord = self.api().record().await?;
            record.runs.extend(now.runs);
        }
        Ok(record)
    }
}

/// Starts a stand-in endpoint at `listen`.
pub fn spawn(cfg: &EndpointCfg, listen: SocketAddr) -> io::Result<Server> {
    match cfg {
        EndpointCfg::Engine(cfg) => engine::spawn(listen, cfg.clone()),
        EndpointCfg::Service(switches) => service::spawn(listen, switches.clone()),
    }
}
