//! Loopback addresses for test deployments.

use parking_lot::Mutex;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::process::{Child, Command};

/// First port given out, below the range from which the system takes ports for outgoing
/// connections.
const FIRST_PORT: u16 = 10_000;
/// Blocks of ports; a port belongs to the process that holds its block.
const BLOCKS: u16 = 110;
/// Ports of a block.
const BLOCK_PORTS: u16 = 200;

/// Held while an address is probed and while a child is started.
static PROBE_OR_FORK: Mutex<()> = Mutex::new(());
/// Blocks that this process holds; ports are given out of the last one.
static HELD: Mutex<Vec<Block>> = Mutex::new(Vec::new());

/// A block of ports that no other process holds.
#[derive(Debug)]
struct Block {
    next: u16,
    end: u16,
    // Bound to the first port for as long as the process runs, so that others see that the block is held.
    _mark: UdpSocket,
}

impl Block {
    /// Takes a block that no process holds.
    ///
    /// # Errors
    ///
    /// The system's fault at the last block that was tried.
    fn take() -> io::Result<Self> {
        let first_tried = std::process::id();
        let mut fault = io::Error::from(io::ErrorKind::AddrInUse);
        for n in 0..BLOCKS {
            let block = first_tried.wrapping_add(n.into()) % u32::from(BLOCKS);
            let first = FIRST_PORT + block as u16 * BLOCK_PORTS;
            match UdpSocket::bind((Ipv4Addr::LOCALHOST, first)) {
                Ok(mark) => {
                    return Ok(Self {
                        next: first,
                        end: first + BLOCK_PORTS,
                        _mark: mark,
                    });
                }
                Err(e) => fault = e,
            }
        }
        Err(fault)
    }
}

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

/// Returns a loopback address that is free, and that neither an outgoing connection nor another process
/// of this function takes meanwhile, also while nothing listens there. Children must be started with
/// [`spawn_child`] for it to stay free.
///
/// # Errors
///
/// The system's fault when no port at all is free.
pub fn free_address() -> io::Result<SocketAddr> {
    let mut held = HELD.lock();
    let mut fault = io::Error::from(io::ErrorKind::AddrInUse);
    for _ in 0..BLOCKS * BLOCK_PORTS {
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, next_port(&mut held)?));
        let _no_fork = PROBE_OR_FORK.lock();
        // A process of another program may use the port.
        match TcpListener::bind(address) {
            Ok(_) => return Ok(address),
            Err(e) => fault = e,
        }
    }
    Err(fault)
}

/// Returns the next port of the last block, or of another one if that has none left.
fn next_port(held: &mut Vec<Block>) -> io::Result<u16> {
    loop {
        if let Some(block) = held.last_mut().filter(|block| block.next < block.end) {
            block.next += 1;
            return Ok(block.next - 1);
        }
        match Block::take() {
            Ok(block) => held.push(block),
            Err(fault) if held.is_empty() => return Err(fault),
            Err(_) => {
                // All blocks are held: the ports of the oldest one are given out again.
                let mut oldest = held.remove(0);
                oldest.next = oldest.end - BLOCK_PORTS;
                held.push(oldest);
            }
        }
    }
}
