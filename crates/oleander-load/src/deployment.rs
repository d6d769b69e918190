//! A small deployment on loopback: stand-ins in this process, daemons as child processes.

use crate::deployment_cfg::DeploymentCfg;
use crate::deployment_error::DeploymentError;
use crate::endpoint::{self, Endpoint, EndpointCfg};
use crate::node::Node;
use crate::platform::Platform;
use crate::settings_text::{EndpointText, write_agent, write_entry};
use oleander_daemon::entry::fleet_summary::FleetSummary;
use oleander_daemon::store::agent_list::SUBSET_SIZE;
use oleander_standins::api::Api;
use oleander_standins::engine::EngineCfg;
use oleander_standins::free_address::free_address;
use oleander_standins::list::{InstanceState, Role};
use oleander_standins::runtime;
use oleanderlock::contract::Contract;
use serde::Deserialize;
use smol::Timer;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};
use trillium_client::Method;

const READY_POLL_MS: u64 = 50;

/// A running deployment; dropping it ends every process that it started.
#[derive(Debug)]
pub struct Deployment {
    /// What it consists of.
    pub cfg: DeploymentCfg,
    /// The platform's stand-ins.
    pub platform: Platform,
    /// The entries.
    pub entries: Vec<Node>,
    /// The endpoints with their agents.
    pub endpoints: Vec<Endpoint>,
    folder: PathBuf,
}

#[derive(Deserialize)]
struct Amended {
    generation: u64,
}

impl Deployment {
    /// Starts everything, puts the contracts in force and waits until all is ready.
    pub async fn start(cfg: DeploymentCfg, timeout: Duration) -> Result<Self, DeploymentError> {
        runtime::init(cfg.threads);
        let folder = create_folder()?;
        let platform = Platform::spawn(&cfg)?;
        let mut deployment = Self {
            cfg,
            platform,
            entries: Vec::new(),
            endpoints: Vec::new(),
            folder,
        };
        deployment.start_endpoints().await?;
        deployment.start_entries().await?;
        let until = Instant::now() + timeout;
        let started = deployment.settle(until).await;
        // The logs tell why it did not start.
        deployment.cfg.keep_folder |= started.is_err();
        started?;
        Ok(deployment)
    }

    async fn settle(&self, until: Instant) -> Result<(), DeploymentError> {
        self.put_contracts(until).await?;
        self.wait_ready(until).await
    }

    /// Folder of settings and logs.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// HTTP addresses of the entries.
    pub fn entry_addresses(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(|entry| entry.http).collect()
    }

    /// Names of all endpoints in a failure domain.
    pub fn in_domain(&self, domain: &str) -> Vec<String> {
        let endpoints = self.endpoints.iter();
        let inside = endpoints.filter(|endpoint| endpoint.agent.domain == domain);
        inside.map(|endpoint| endpoint.agent.name.clone()).collect()
    }

    /// The endpoint whose agent has this name.
    pub fn endpoint_mut(&mut self, name: &str) -> Result<&mut Endpoint, DeploymentError> {
        let mut endpoints = self.endpoints.iter_mut();
        let found = endpoints.find(|endpoint| endpoint.agent.name == name);
        found.ok_or_else(|| unknown(name))
    }

    /// The entry with this name.
    pub fn entry_mut(&mut self, name: &str) -> Result<&mut Node, DeploymentError> {
        let found = self.entries.iter_mut().find(|entry| entry.name == name);
        found.ok_or_else(|| unknown(name))
    }

    /// Amends a contract through the first entry; `base` is the generation that it amends, 0 for a
    /// new one. Returns the new generation.
    pub async fn put_contract(&self, text: &str, base: u64) -> Result<u64, DeploymentError> {
        let customer = customer_of(text)?;
        let entry = self.entries.first().ok_or_else(|| unknown("entry"))?;
        let api = self.operator(entry);
        let conn = api
            .conn(Method::Put, &format!("/v1/contracts/{customer}"))
            .with_request_header("if-match", base.to_string())
            .with_body(text.to_owned());
        let amended: Amended = api.send(conn).await?.json()?;
        Ok(amended.generation)
    }

    /// Client of an entry that shows the operators' token.
    fn operator(&self, entry: &Node) -> Api {
        entry.api().with_token(self.cfg.tokens.operators.clone())
    }

    /// What an entry knows of the fleet.
    pub async fn fleet(&self, entry: &Node) -> Result<FleetSummary, DeploymentError> {
        Ok(self.operator(entry).get("/v1/fleet").await?.json()?)
    }

    /// Stops all daemons gracefully, entries first.
    pub async fn stop(&mut self) -> Result<(), DeploymentError> {
        for entry in &mut self.entries {
            entry.stop().await?;
        }
        for endpoint in &mut self.endpoints {
            endpoint.agent.stop().await?;
        }
        Ok(())
    }

    /// Waits until every entry hears every running agent with the configuration in force.
    pub async fn wait_ready(&self, until: Instant) -> Result<(), DeploymentError> {
        loop {
            let Some(reason) = self.missing().await else {
                return Ok(());
            };
            if Instant::now() >= until {
                return Err(self.not_ready(reason));
            }
            Timer::after(Duration::from_millis(READY_POLL_MS)).await;
        }
    }

    /// Says what is not ready yet.
    async fn missing(&self) -> Option<String> {
        for entry in &self.entries {
            let fleet = match self.fleet(entry).await {
                Ok(fleet) => fleet,
                Err(e) => return Some(format!("{}: {e}", entry.name)),
            };
            if fleet.config.len() < self.cfg.contracts.len() {
                return Some(format!("{} has not all contracts", entry.name));
            }
            let serving = fleet.agents.iter().filter(|agent| {
                agent.state == "serving" && agent.config_digest == fleet.config_digest
            });
            let serving = serving.count();
            // An entry uses a subset of a larger fleet.
            let expected = self.running_agents().min(SUBSET_SIZE);
            if serving < expected {
                return Some(format!(
                    "{} hears {serving} of {expected} agents",
                    entry.name
                ));
            }
        }
        None
    }

    fn running_agents(&self) -> usize {
        let endpoints = self.endpoints.iter();
        let running = endpoints.filter(|endpoint| endpoint.agent.process().is_some());
        running.count()
    }

    fn not_ready(&self, reason: String) -> DeploymentError {
        DeploymentError::NotReady {
            reason,
            folder: self.folder.clone(),
        }
    }

    async fn put_contracts(&self, until: Instant) -> Result<(), DeploymentError> {
        for text in &self.cfg.contracts {
            loop {
                match self.put_contract(text, 0).await {
                    Ok(_) => break,
                    Err(e) if Instant::now() >= until => return Err(e),
                    Err(_) => Timer::after(Duration::from_millis(READY_POLL_MS)).await,
                };
            }
        }
        Ok(())
    }

    async fn start_entries(&mut self) -> Result<(), DeploymentError> {
        for number in 0..self.cfg.entries {
            let mut node = self.node("entry", number, number)?;
            write_entry(&self.cfg, &node, &self.platform)?;
            node.start()?;
            self.enlist(&node, Role::Entry).await?;
            self.entries.push(node);
        }
        Ok(())
    }

    async fn start_endpoints(&mut self) -> Result<(), DeploymentError> {
        for group in self.cfg.models.clone() {
            for number in 0..group.engines {
                let cfg = EngineCfg {
                    model: group.model.clone(),
                    version: group.version,
                    switches: group.switches.clone(),
                };
                let text = EndpointText {
                    kind: "engine",
                    address: any_address(),
                    targets: vec![group.model.clone()],
                    capacity: group.switches.capacity,
                };
                let cfg = EndpointCfg::Engine(cfg);
                self.start_endpoint(&group.model, number, cfg, text).await?;
            }
        }
        for group in self.cfg.services.clone() {
            for number in 0..group.instances {
                let text = EndpointText {
                    kind: "service",
                    address: any_address(),
                    targets: group.services.clone(),
                    capacity: group.switches.capacity,
                };
                let name = group.services.join("-");
                let cfg = EndpointCfg::Service(group.switches.clone());
                self.start_endpoint(&name, number, cfg, text).await?;
            }
        }
        Ok(())
    }

    async fn start_endpoint(
        &mut self,
        name: &str,
        number: usize,
        cfg: EndpointCfg,
        mut text: EndpointText,
    ) -> Result<(), DeploymentError> {
        let server = endpoint::spawn(&cfg, any_address())?;
        text.address = server.address();
        let mut node = self.node(name, number, self.endpoints.len())?;
        node.program = self.program("oleander-agent", &node.name)?;
        write_agent(&self.cfg, &node, &self.platform, &text)?;
        node.start()?;
        self.enlist(&node, Role::Agent).await?;
        let endpoint = Endpoint::new(node, text.targets, cfg, server);
        self.endpoints.push(endpoint);
        Ok(())
    }

    async fn enlist(&self, node: &Node, role: Role) -> Result<(), DeploymentError> {
        let region = &self.cfg.region;
        self.platform
            .enlist(node, role, region, InstanceState::Live)
            .await
    }

    /// Makes a node that does not run yet; `place` picks its failure domain.
    fn node(&self, kind: &str, number: usize, place: usize) -> Result<Node, DeploymentError> {
        let name = format!("{kind}-{}", number + 1);
        let domain = place.checked_rem(self.cfg.domains.len());
        let domain = domain.map(|at| self.cfg.domains[at].clone());
        Ok(Node {
            domain: domain.unwrap_or_default(),
            http: free_address()?,
            link: free_address()?,
            program: self.program("oleander-entry", &name)?,
            settings: self.folder.join(format!("{name}.ini")),
            log: self.folder.join(format!("{name}.log")),
            process: None,
            name,
        })
    }

    fn program(&self, name: &str, process: &str) -> Result<PathBuf, DeploymentError> {
        let other = self.cfg.other_programs.get(process);
        let path = other.unwrap_or(&self.cfg.programs).join(name);
        if path.exists() {
            Ok(path)
        } else {
            Err(DeploymentError::MissingProgram { path })
        }
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.entries.clear();
        self.endpoints.clear();
        // The logs tell why a test failed.
        if !self.cfg.keep_folder && !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

fn customer_of(text: &str) -> Result<String, DeploymentError> {
    let contract = Contract::parse(text).map_err(|faults| {
        let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
        std::io::Error::new(std::io::ErrorKind::InvalidData, lines.join("\n"))
    })?;
    Ok(contract.customer)
}

fn any_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn unknown(name: &str) -> DeploymentError {
    DeploymentError::UnknownName {
        name: name.to_owned(),
    }
}

fn create_folder() -> std::io::Result<PathBuf> {
    static COUNT: AtomicU32 = AtomicU32::new(0);
    let number = COUNT.fetch_add(1, Ordering::Relaxed);
    let name = format!("oleander-{}-{number}", std::process::id());
    let folder = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&folder)?;
    Ok(folder)
}
