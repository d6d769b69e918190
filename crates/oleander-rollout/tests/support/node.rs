//! A process of the system with its settings.

use super::process::{PROGRAM, Process};
use oleander_standins::free_address::free_address;
use std::net::SocketAddr;
use std::path::PathBuf;

/// A process of the system with its settings; it may not be running.
pub struct Node {
    pub name: String,
    pub role: &'static str,
    pub calls: SocketAddr,
    pub ready: SocketAddr,
    pub peers: SocketAddr,
    /// Address at which other processes connect to `peers`.
    pub advertised: SocketAddr,
    pub metrics: SocketAddr,
    pub engine: Option<SocketAddr>,
    pub store: SocketAddr,
    /// Contracts of the deployment, separated by commas; none if empty.
    pub contracts: String,
    /// Largest value of the store, in bytes; 0 for the default.
    pub value_bytes: usize,
    /// Memory of the process, in megabytes; 0 for the default.
    pub memory_mb: usize,
    pub program: PathBuf,
    /// Settings in addition to those that each process has.
    pub more_settings: String,
    pub process: Option<Process>,
    /// Logs of all its processes, in order.
    pub logs: Vec<PathBuf>,
}

impl Node {
    pub fn new(
        name: &str,
        role: &'static str,
        store: SocketAddr,
        engine: Option<SocketAddr>,
    ) -> Self {
        let free = || free_address().expect("a free address");
        let peers = free();
        Self {
            name: name.to_owned(),
            role,
            calls: free(),
            ready: free(),
            peers,
            advertised: peers,
            metrics: free(),
            engine,
            store,
            contracts: String::new(),
            value_bytes: 0,
            memory_mb: 0,
            program: PROGRAM.into(),
            more_settings: String::new(),
            process: None,
            logs: Vec::new(),
        }
    }

    pub fn settings(&self) -> String {
        let engine = self.engine.map(|addr| addr.to_string()).unwrap_or_default();
        let contracts = match self.contracts.as_str() {
            "" => String::new(),
            contracts => format!("[deployment]\ncontracts = {contracts}\n"),
        };
        let value_bytes = match self.value_bytes {
            0 => String::new(),
            bytes => format!("value_bytes = {bytes}\n"),
        };
        let memory = match self.memory_mb {
            0 => String::new(),
            megabytes => format!("memory_mb = {megabytes}\n"),
        };
        format!(
            "[node]\nname = {}\ndomain = z\n{memory}[listen]\ncalls = {}\nready = {}\npeers = {}\n\
             told = {}\nmetrics = {}\n[store]\naddr = {}\n{value_bytes}[engine]\naddr = {engine}\n\
             [bounds]\ngrace = 6s\n{contracts}{}",
            self.name,
            self.calls,
            self.ready,
            self.peers,
            self.advertised,
            self.metrics,
            self.store,
            self.more_settings
        )
    }

    pub fn start(&mut self) {
        self.start_with("");
    }

    /// Starts it with `more` lines of settings.
    pub fn start_with(&mut self, more: &str) {
        let settings = self.settings() + more;
        let process = Process::start_program(&self.program, &self.name, self.role, &settings);
        self.put(process);
    }

    /// Starts it with the settings file of an earlier process.
    pub fn start_on_file(&mut self, settings: PathBuf) {
        let process = Process::start_on_file(&self.program, &self.name, self.role, settings);
        self.put(process);
    }

    fn put(&mut self, process: Process) {
        self.logs.push(process.log.clone());
        self.process = Some(process);
    }

    pub fn kill(&mut self) {
        self.process = None;
    }

    pub fn process(&self) -> &Process {
        self.process.as_ref().expect("a running process")
    }

    /// Fails the test, with the log of the process, if it has exited.
    pub fn expect_running(&mut self) {
        let process = self.process.as_mut().expect("a started process");
        if let Some(code) = process.exit_code() {
            panic!("{} ended with {code}: {}", self.name, process.log());
        }
    }
}
