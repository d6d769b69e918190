//! A process of the system, started by the command of the deploy file with settings like those of a
//! small deployment.

use crate::http::free_addr;
use std::fs::File;
use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

pub struct Node {
    pub name: String,
    pub calls: SocketAddr,
    pub ready: SocketAddr,
    process: Option<Child>,
}

/// What a process is told in its settings.
pub struct NodeSpec<'a> {
    pub ip: &'a str,
    pub name: &'a str,
    pub role: &'a str,
    pub zone: &'a str,
    pub store: SocketAddr,
    /// Address at which others reach it, if it is not its own.
    pub told: Option<SocketAddr>,
    /// Its own address for other processes, if it was chosen before.
    pub peers: Option<SocketAddr>,
    pub engine: Option<SocketAddr>,
}

impl Node {
    pub fn start(spec: &NodeSpec<'_>, folder: &Path) -> std::io::Result<Self> {
        let (calls, ready) = (free_addr(spec.ip), free_addr(spec.ip));
        let peers = spec.peers.unwrap_or_else(|| free_addr(spec.ip));
        let (memory, listen) = match spec.role {
            "entry" => (110, format!("calls = {calls}\nready = {ready}\n")),
            "dispatcher" => (130, "calls =\nready =\n".to_owned()),
            _ => (192, "calls =\nready =\n".to_owned()),
        };
        let told = spec.told.map(|addr| format!("told = {addr}\n"));
        let engine = spec.engine.map(|addr| addr.to_string());
        // The lines of deploy/node.ini, filled in as for siam-ascend-ops.
        let settings = format!(
            "[node]\nname = {}\ndomain = {}\nmemory_mb = {memory}\n\n\
             [listen]\n{listen}peers = {peers}\n{}metrics = {}\n\n\
             [store]\naddr = {}\nvalue_bytes = 1048576\n\n\
             [engine]\naddr = {}\n\n\
             [platform_api]\naddr =\nduties =\n\n\
             [duties]\nlease = 3000ms\n\n\
             [keys]\nconfig_within = 2000ms\n\n\
             [deployment]\n\
             contracts = base,drain,config,cost,recover,samples,stream,engine,batch,platform\n\n\
             [bounds]\ngrace = 8s\nleave_within = 2000ms\nsettle = 1000ms\nkeep_results = 120s\n",
            spec.name,
            spec.zone,
            told.unwrap_or_default(),
            free_addr(spec.ip),
            spec.store,
            engine.unwrap_or_default(),
        );
        let file = folder.join(format!("{}.ini", spec.name));
        std::fs::write(&file, settings)?;
        let log = File::create(folder.join(format!("{}.log", spec.name)))?;
        let process = Command::new(program())
            .arg(spec.role)
            .env("OLEANDERLOCK_SETTINGS", &file)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        // For run.sh, should this process be ended from outside.
        let mut pids = File::options()
            .create(true)
            .append(true)
            .open(folder.join("pids"))?;
        writeln!(pids, "{}", process.id())?;
        Ok(Self {
            name: spec.name.to_owned(),
            calls,
            ready,
            process: Some(process),
        })
    }

    /// Whether the process still runs.
    pub fn runs(&mut self) -> bool {
        let process = self.process.as_mut();
        process.is_some_and(|process| matches!(process.try_wait(), Ok(None)))
    }
}

fn program() -> PathBuf {
    PathBuf::from("target/release/oleanderlock")
}

impl Drop for Node {
    fn drop(&mut self) {
        if let Some(mut process) = self.process.take() {
            // It may have ended by itself.
            let _ = process.kill();
            let _ = process.wait();
        }
    }
}
