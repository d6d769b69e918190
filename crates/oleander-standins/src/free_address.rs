//! Loopback addresses for test deployments.

use parking_lot::Mutex;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::process::{Child, Command};
use std::sync::atomic::{AtomicU32, Ordering};

/// First port given out, below the range from which the system takes ports for outgoing
/// connections.
const FIRST_PORT: u32 = 10_000;
/// Ports that may be given out.
const PORTS: u32 = 22_000;
/// Distance between the first ports of two processes with neighbouring ids.
const PORTS_PER_PROCESS: u32 = 97;

/// Held while an address is probed and while a child is started.
static PROBE_OR_FORK: Mutex<()> = Mutex::new(());

/// Starts a child that holds no address which another thread is given meanwhile.
///
/// Between its fork and its exec a child has a copy of every open socket. A copy of a probe would
/// keep the probed address in use when the process that is meant to have it binds it.
///
/// # Errors
///
/// The system's fault when the child can't be started.
pub fn spawn_child(command: &mut Command) -> io::Result<Child> {
    let _no_probe = PROBE_OR_FORK.lock();
    command.spawn()
}

/// Returns a loopback address that is free, and that no outgoing connection takes meanwhile.
/// Children must be started with [`spawn_child`] for it to stay free.
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
        let _no_fork = PROBE_OR_FORK.lock();
        match TcpListener::bind(address) {
            Ok(_) => return Ok(address),
            Err(e) => fault = e,
        }
    }
    Err(fault)
}
