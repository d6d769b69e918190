//! Free addresses and children that start at the same time.

use oleander_standins::free_address::{free_address, spawn_child};
use std::net::{SocketAddr, TcpListener};
use std::process::{Command, Stdio};
use std::thread;

/// Threads that ask for addresses and start children.
const THREADS: usize = 8;
/// Rounds of each thread.
const ROUNDS: usize = 40;
/// Children of a round.
const CHILDREN: usize = 6;
/// Addresses that each child is to bind.
const ADDRESSES: usize = 4;

/// Starts children, and returns the addresses that could not be bound after their start.
fn start_children() -> Vec<SocketAddr> {
    let free = || free_address().expect("a free address");
    let mut refused = Vec::new();
    for _ in 0..ROUNDS {
        let addresses: Vec<_> = (0..CHILDREN * ADDRESSES).map(|_| free()).collect();
        for of_child in addresses.chunks(ADDRESSES) {
            let mut command = Command::new("true");
            let child = spawn_child(command.stdin(Stdio::null()));
            let taken = of_child
                .iter()
                .filter(|addr| TcpListener::bind(addr).is_err());
            refused.extend(taken);
            child.expect("it starts").wait().expect("it ends");
        }
    }
    refused
}

#[test]
fn a_free_address_stays_free_while_children_start() {
    let threads: Vec<_> = (0..THREADS)
        .map(|_| thread::spawn(start_children))
        .collect();
    let refused = threads
        .into_iter()
        .flat_map(|thread| thread.join().expect("it ends"));
    assert_eq!(refused.collect::<Vec<_>>(), []);
}
