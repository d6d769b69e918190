//! One daemon of a deployment, which can crash, stop and start again.

use crate::process::Process;
use oleander_standins::api::Api;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};

/// A daemon with its settings; its process may be down.
#[derive(Debug)]
pub struct Node {
    /// Name of the instance.
    pub name: String,
    /// Failure domain.
    pub domain: String,
    /// HTTP address.
    pub http: SocketAddr,
    /// Link address.
    pub link: SocketAddr,
    pub(crate) program: PathBuf,
    pub(crate) settings: PathBuf,
    pub(crate) log: PathBuf,
    pub(crate) process: Option<Process>,
}

impl Node {
    /// Starts the process unless it runs.
    pub fn start(&mut self) -> io::Result<()> {
        if self.is_running() {
            return Ok(());
        }
        let process = Process::spawn(&self.program, &self.settings, &self.log)?;
        self.process = Some(process);
        Ok(())
    }

    /// Kills the process.
    pub fn crash(&mut self) {
        self.process = None;
    }

    /// Asks the process to stop and waits until it has ended.
    pub async fn stop(&mut self) -> io::Result<()> {
        if let Some(process) = &mut self.process {
            process.terminate()?;
            process.ended().await;
        }
        self.process = None;
        Ok(())
    }

    /// Folder for data, beside the settings.
    pub fn data_folder(&self) -> PathBuf {
        self.settings.with_extension("data")
    }

    /// The process, unless it is down.
    pub fn process(&self) -> Option<&Process> {
        self.process.as_ref()
    }

    /// Whether the process runs.
    pub fn is_running(&mut self) -> bool {
        self.process.as_mut().is_some_and(Process::is_running)
    }

    /// Client of the daemon's HTTP.
    pub fn api(&self) -> Api {
        Api::new(self.http)
    }
}

/// First port given out, below the range from which the system takes ports for outgoing
/// connections.
const FIRST_PORT: u32 = 10_000;
/// Ports that may be given out.
const PORTS: u32 = 22_000;
/// Distance between the first ports of two processes with neighbouring ids.
const PORTS_PER_PROCESS: u32 = 97;

/// Returns a loopback address that is free, and that no outgoing connection takes meanwhile.
///
/// # Errors
///
/// The system's fault when no port at all is free.
pub fn free_address() -> io::Result<SocketAddr> {
    static GIVEN: AtomicU32 = AtomicU32::new(0);
    let first = std::process::id().wrapping_mul(PORTS_PER_PROCESS);
    let mut fault = io::Error::from(io::ErrorKind::AddrInUse);
    for _ in 0..PORTS {
        let given = GIVEN.fetch_add(1, Ordering::Relaxed);
        let port = FIRST_PORT + first.wrapping_add(given) % PORTS;
        let address = SocketAddr::from(([127, 0, 0, 1], port as u16));
        match TcpListener::bind(address) {
            Ok(_) => return Ok(address),
            Err(e) => fault = e,
        }
    }
    Err(fault)
}
