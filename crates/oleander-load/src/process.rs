//! A child process that ends with its handle.

use rustix::process::{Pid, Signal, kill_process};
use std::fs::File;
use std::io;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

const EXIT_POLL_MS: u64 = 20;

/// A running child process; dropping it kills the process.
#[derive(Debug)]
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts `program` with a settings file; its output goes to the end of `log`.
    pub fn spawn(program: &Path, settings: &Path, log: &Path) -> io::Result<Self> {
        let log = File::options().create(true).append(true).open(log)?;
        let child = Command::new(program)
            .arg("--settings")
            .arg(settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        Ok(Self { child })
    }

    /// Process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Asks the process to stop gracefully.
    pub fn terminate(&self) -> io::Result<()> {
        self.signal(Signal::TERM)
    }

    /// Pauses the process.
    pub fn pause(&self) -> io::Result<()> {
        self.signal(Signal::STOP)
    }

    /// Lets a paused process go on.
    pub fn resume(&self) -> io::Result<()> {
        self.signal(Signal::CONT)
    }

    /// Whether the process runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits until the process has ended.
    pub async fn ended(&mut self) {
        while self.is_running() {
            smol::Timer::after(Duration::from_millis(EXIT_POLL_MS)).await;
        }
    }

    fn signal(&self, signal: Signal) -> io::Result<()> {
        // The child is not reaped before this handle sees its end, so the id is its own.
        let pid = Pid::from_child(&self.child);
        kill_process(pid, signal)?;
        Ok(())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
