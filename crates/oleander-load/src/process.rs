//! A child process that ends with its handle.

use oleander_standins::free_address::spawn_child;
use parking_lot::Mutex;
use rustix::process::{Pid, Signal, WaitId, WaitIdOptions, kill_process, waitid};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::fs::File;
use std::io;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

const EXIT_POLL_MS: u64 = 20;
/// Exit code after a stop signal.
const STOPPED_EXIT_CODE: i32 = 130;

/// Ids of the children that run.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends this process and all its children when it is told to stop.
pub fn end_children_on_stop() -> io::Result<()> {
    let mut signals = Signals::new([SIGINT, SIGTERM])?;
    std::thread::Builder::new()
        .name("signals".to_owned())
        .spawn(move || {
            if signals.forever().next().is_some() {
                kill_children();
                std::process::exit(STOPPED_EXIT_CODE);
            }
        })?;
    Ok(())
}

/// Kills all children; the lock is kept, so that no other starts.
fn kill_children() {
    let running = RUNNING.lock();
    for id in running.iter() {
        if let Some(pid) = Pid::from_raw(*id as i32) {
            let _ = kill_process(pid, Signal::KILL);
        }
    }
    std::mem::forget(running);
}

/// A running child process; dropping it kills the process.
#[derive(Debug)]
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts `program` with a settings file; its output goes to the end of `log`.
    pub fn spawn(program: &Path, settings: &Path, log: &Path) -> io::Result<Self> {
        let log = File::options().create(true).append(true).open(log)?;
        let mut running = RUNNING.lock();
        let mut command = Command::new(program);
        let command = command
            .arg("--settings")
            .arg(settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log);
        let child = spawn_child(command)?;
        running.push(child.id());
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

    /// Pauses the process; returns when all of its threads stand still.
    ///
    /// # Errors
    ///
    /// The error of the operating system, or `NotFound` when the process has ended.
    pub fn pause(&self) -> io::Result<()> {
        self.signal(Signal::STOP)?;
        let id = WaitId::Pid(Pid::from_child(&self.child));
        // `NOWAIT` leaves a child that has ended to be reaped by this handle.
        let options = WaitIdOptions::STOPPED | WaitIdOptions::EXITED | WaitIdOptions::NOWAIT;
        let status = waitid(id, options)?;
        if status.is_some_and(|status| status.stopped()) {
            return Ok(());
        }
        Err(io::ErrorKind::NotFound.into())
    }

    /// Lets a paused process go on.
    pub fn resume(&self) -> io::Result<()> {
        self.signal(Signal::CONT)
    }

    /// Whether the process runs.
    pub fn is_running(&mut self) -> bool {
        let runs = matches!(self.child.try_wait(), Ok(None));
        if !runs {
            self.forget();
        }
        runs
    }

    /// Waits until the process has ended.
    pub async fn ended(&mut self) {
        while self.is_running() {
            smol::Timer::after(Duration::from_millis(EXIT_POLL_MS)).await;
        }
    }

    /// Takes the child off the list, since its id may soon be another's.
    fn forget(&self) {
        RUNNING.lock().retain(|id| *id != self.child.id());
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
        self.forget();
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
