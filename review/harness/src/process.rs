//! Processes of the system.

use crate::record::Record;
use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::os::unix::process::ExitStatusExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};

/// Range of the ports of the system's processes, below those that the kernel gives to others.
const PORTS: std::ops::Range<u32> = 12_000..30_000;

/// Returns a loopback address with a port that is free now and was not returned before.
pub fn free_address() -> SocketAddr {
    static TAKEN: AtomicU32 = AtomicU32::new(0);
    let ports = PORTS.end - PORTS.start;
    loop {
        let taken = TAKEN.fetch_add(1, Ordering::Relaxed);
        let place = (std::process::id() * 97 + taken) % ports;
        let port = u16::try_from(PORTS.start + place).expect("a port");
        let addr = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(addr).is_ok() {
            return addr;
        }
    }
}

/// One machine of the system with its role; its process may be down.
pub struct Node {
    pub name: String,
    pub role: &'static str,
    pub calls: SocketAddr,
    pub ready: SocketAddr,
    pub peers: SocketAddr,
    metrics: SocketAddr,
    store: SocketAddr,
    bound_ms: u64,
    engine: Option<SocketAddr>,
    dir: PathBuf,
    record: Record,
    child: Option<Child>,
    starts: usize,
}

impl Node {
    pub fn new(
        name: &str,
        role: &'static str,
        store: SocketAddr,
        bound_ms: u64,
        engine: Option<SocketAddr>,
        dir: &std::path::Path,
        record: &Record,
    ) -> Self {
        Self {
            name: name.to_owned(),
            role,
            calls: free_address(),
            ready: free_address(),
            peers: free_address(),
            metrics: free_address(),
            store,
            bound_ms,
            engine,
            dir: dir.to_owned(),
            record: record.clone(),
            child: None,
            starts: 0,
        }
    }

    /// Returns the text that `deploy/node.ini` gives for this node with the bounds of a site, of which
    /// `drain_ms` and `config_ms` are equal.
    fn settings(&self) -> String {
        let (listen, ready) = match self.role {
            "entry" => (self.calls.to_string(), self.ready.to_string()),
            _ => (String::new(), String::new()),
        };
        let bound = self.bound_ms;
        let engine = self.engine.map(|addr| addr.to_string()).unwrap_or_default();
        format!(
            "[node]\nname = {}\ndomain = wdh-a\n\n[listen]\ncalls = {listen}\nready = {ready}\n\
             peers = {}\nmetrics = {}\n\n[store]\naddr = {}\nvalue_bytes = 1048576\n\n\
             [engine]\naddr = {engine}\n\n[platform_api]\naddr = \nduties = \n\n[duties]\n\
             lease = 3000ms\n\n[keys]\nconfig_within = {bound}ms\n\n[deployment]\n\
             contracts = base,drain,config,cost,recover,samples,stream,engine,batch,platform\n\n\
             [bounds]\ngrace = 8s\nleave_within = {bound}ms\nsettle = 1000ms\nkeep_results = 120s\n",
            self.name, self.peers, self.metrics, self.store
        )
    }

    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self) {
        let file = self.dir.join(format!("{}.ini", self.name));
        fs::write(&file, self.settings()).expect("settings");
        let log = self.dir.join(format!("{}-{}.log", self.name, self.starts));
        self.starts += 1;
        let out = fs::File::create(&log).expect("a log");
        let child = Command::new("target/release/oleanderlock")
            .arg(self.role)
            .env_clear()
            .env("OLEANDERLOCK_SETTINGS", &file)
            .stdin(Stdio::null())
            .stdout(out.try_clone().expect("a log"))
            .stderr(out)
            .spawn()
            .expect("the program of the deploy file; build it first");
        self.record
            .line(&format!("start {} pid={}", self.name, child.id()));
        self.child = Some(child);
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            self.record.line(&format!("killed {}", self.name));
        }
    }

    /// Returns how the process has ended by itself; `None` while it runs.
    pub fn ended(&mut self) -> Option<String> {
        let status = self.child.as_mut()?.try_wait().expect("a status")?;
        self.child = None;
        Some(format!(
            "code={:?} signal={:?}",
            status.code(),
            status.signal()
        ))
    }

    /// Returns the output of all its processes.
    pub fn log(&self) -> String {
        let logs = (0..self.starts).map(|n| self.dir.join(format!("{}-{n}.log", self.name)));
        logs.map(|log| fs::read_to_string(log).unwrap_or_default())
            .collect()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}
