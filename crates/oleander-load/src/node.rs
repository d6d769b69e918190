//! One daemon of a deployment, which can crash, stop and start again.

use crate::process::Process;
use oleander_standins::api::Api;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

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

    /// Takes the program from another folder from the next start on.
    pub fn use_programs(&mut self, folder: &Path) {
        if let Some(name) = self.program.file_name() {
            self.program = folder.join(name);
        }
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
