//! A process of the system with its settings.

use super::process::Process;
use oleander_standins::free_address::free_address;
use std::net::SocketAddr;

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
    pub process: Option<Process>,
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
            process: None,
        }
    }

    fn settings(&self) -> String {
        let engine = self.engine.map(|addr| addr.to_string()).unwrap_or_default();
        format!(
            "[node]\nname = {}\ndomain = z\n[listen]\ncalls = {}\nready = {}\npeers = {}\n\
             told = {}\nmetrics = {}\n[store]\naddr = {}\n[engine]\naddr = {engine}\n\
             [bounds]\ngrace = 6s\n",
            self.name,
            self.calls,
            self.ready,
            self.peers,
            self.advertised,
            self.metrics,
            self.store
        )
    }

    pub fn start(&mut self) {
        self.process = Some(Process::start(&self.name, self.role, &self.settings()));
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
