//! A process of the system that a test starts and kills.

use oleander_standins::free_address::spawn_child;
use rustix::process::{Pid, WaitId, WaitIdOptions, waitid};
use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};

/// The program of the present build.
pub const PROGRAM: &str = env!("CARGO_BIN_EXE_oleanderlock");

/// A process of the system; it is killed when this is dropped.
pub struct Process {
    child: Child,
    pub settings: PathBuf,
    pub log: PathBuf,
}

impl Process {
    /// Starts a process of a role with the text of its settings file.
    pub fn start(name: &str, role: &str, settings: &str) -> Self {
        Self::start_program(PROGRAM.as_ref(), name, role, settings)
    }

    /// Starts a program in a role with settings of its own.
    pub fn start_program(program: &Path, name: &str, role: &str, settings: &str) -> Self {
        let path = new_file(name, "ini");
        fs::write(&path, settings).expect("settings are written");
        Self::start_on_file(program, name, role, path)
    }

    /// Returns the most memory that the process has used so far, in bytes.
    pub fn peak_memory(&self) -> u64 {
        self.status_bytes("VmHWM:")
    }

    /// Returns the memory that the process uses, in bytes.
    pub fn memory(&self) -> u64 {
        self.status_bytes("VmRSS:")
    }

    fn status_bytes(&self, field: &str) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.expect("the status of a running process");
        let line = status.lines().find(|line| line.starts_with(field));
        let line = line.expect("a field of the status");
        let kilobytes = line.split_whitespace().nth(1).map(str::parse::<u64>);
        kilobytes.expect("a number").expect("a number") << 10
    }

    /// Returns the CPU time that the process has used so far, in clock ticks of 10 ms.
    pub fn cpu_ticks(&self) -> u64 {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.child.id()));
        let stat = stat.expect("the state of a running process");
        // The name of the program, in parentheses, may contain spaces.
        let (_, fields) = stat.rsplit_once(')').expect("a name");
        let mut times = fields.split_whitespace().skip(11).map(str::parse::<u64>);
        let mut next = || times.next().expect("a field").expect("a number");
        next() + next()
    }

    /// Starts a program in a role with a settings file that is there.
    pub fn start_on_file(program: &Path, name: &str, role: &str, path: PathBuf) -> Self {
        let log = new_file(name, "log");
        let out = fs::File::create(&log).expect("a log file");
        let mut command = Command::new(program);
        let command = command
            .args(["--settings".as_ref(), path.as_os_str(), role.as_ref()])
            .stdin(Stdio::null())
            .stdout(out.try_clone().expect("a second handle"))
            .stderr(out);
        let child = spawn_child(command).expect("the program starts");
        Self {
            child,
            settings: path,
            log,
        }
    }

    /// Sends a signal, named without `SIG`; after `STOP`, waits until all threads stand still.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let mut command = Command::new("kill");
        let sent = spawn_child(command.args([&format!("-{name}"), &id]));
        let sent = sent.and_then(|mut kill| kill.wait());
        assert!(sent.expect("kill runs").success());
        if name == "STOP" {
            self.wait_until_stopped();
        }
    }

    fn wait_until_stopped(&self) {
        let id = WaitId::Pid(Pid::from_child(&self.child));
        // `NOWAIT` leaves a child that has ended to be reaped by this handle.
        let options = WaitIdOptions::STOPPED | WaitIdOptions::EXITED | WaitIdOptions::NOWAIT;
        let status = waitid(id, options).expect("a child to wait for");
        assert!(status.is_some_and(|status| status.stopped()));
    }

    /// Waits until the process exits; returns its exit code, `None` if a signal ended it.
    pub fn wait(&mut self) -> Option<i32> {
        self.child.wait().expect("a child to wait for").code()
    }

    /// Returns the exit code if the process has exited, -1 if a signal ended it.
    pub fn exit_code(&mut self) -> Option<i32> {
        let status = self.child.try_wait().expect("a child to ask");
        status.map(|status| status.code().unwrap_or(-1))
    }

    /// Returns its output so far.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

/// Returns the path of a file that is not there yet.
fn new_file(name: &str, extension: &str) -> PathBuf {
    static MADE: AtomicU32 = AtomicU32::new(0);
    let number = MADE.fetch_add(1, Ordering::Relaxed);
    let dir = std::env::temp_dir().join(format!("oleander-rollout-{}", std::process::id()));
    fs::create_dir_all(&dir).expect("a folder for settings");
    dir.join(format!("{name}-{number}.{extension}"))
}

impl Drop for Process {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
