//! Repeatedly kills and removes a peer while other threads send to it.
//!
//! Guards against the use of a closed connection, which ended the process with an earlier socket
//! library.

use oleander_link::wire::DrainOrder;
use oleander_link::wire::frame::Body;
use oleander_link::{LinkKeys, Mailbox, Peers};
use oleander_standins::free_address::{free_address, spawn_child};
use oleanderlock::prelude::*;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

/// Receiver processes that are started and killed, one after the other.
const RECEIVERS: u64 = 200;
/// Such processes in the long run.
const RECEIVERS_LONG: u64 = 6000;
/// Threads that send at the same time.
const SENDERS: usize = 3;
/// Environment variable with the address that the receiver binds.
const ADDRESS_VARIABLE: &str = "OLEANDER_LINK_ADDRESS";

fn keys() -> LinkKeys {
    LinkKeys::derive(&["k".to_owned()])
}

/// Runs in the child process: receives until it is killed.
#[test]
#[ignore = "a part of the test below"]
fn receive_until_killed() {
    let Ok(address) = std::env::var(ADDRESS_VARIABLE) else {
        return;
    };
    // The previous child may still hold the address.
    let _mailbox = loop {
        match Mailbox::bind(&address, keys(), |_| ()) {
            Ok(mailbox) => break mailbox,
            Err(_) => thread::sleep(Duration::from_millis(1)),
        }
    };
    loop {
        thread::sleep(Duration::from_secs(1));
    }
}

fn start_receiver(address: &str) -> Child {
    let mut command = Command::new(std::env::current_exe().expect("a path"));
    let command = command
        .args(["--ignored", "--exact", "receive_until_killed"])
        .env(ADDRESS_VARIABLE, address)
        .stdout(Stdio::null());
    spawn_child(command).expect("it starts")
}

/// Kills `receivers` processes while threads send to them and the peer is removed.
fn kill_and_remove(receivers: u64) {
    let address = format!("tcp://{}", free_address().expect("a free address"));
    let peers = Peers::new("tcp://127.0.0.1:1", Incarnation(7), keys(), |_| ());
    let stop = Arc::new(AtomicBool::new(false));
    let mut threads = Vec::new();
    for _ in 0..SENDERS {
        let (peers, address, stop) = (peers.clone(), address.clone(), Arc::clone(&stop));
        threads.push(thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                let order = DrainOrder { fence: 1 };
                if peers.send(&address, Body::DrainOrder(order)).is_err() {
                    thread::sleep(Duration::from_micros(50));
                }
            }
        }));
    }
    let (peers_to_prune, peer, stop_pruning) = (peers.clone(), address.clone(), Arc::clone(&stop));
    threads.push(thread::spawn(move || {
        let mut turn = 0;
        while !stop_pruning.load(Ordering::Relaxed) {
            turn += 1;
            thread::sleep(Duration::from_micros(500 + (turn * 7919) % 9000));
            peers_to_prune.remove(&peer);
        }
    }));
    for number in 0..receivers {
        let mut receiver = start_receiver(&address);
        thread::sleep(Duration::from_millis(4 + number % 7));
        receiver.kill().expect("it runs");
        receiver.wait().expect("it ends");
    }
    stop.store(true, Ordering::Relaxed);
    for thread in threads {
        thread.join().expect("it ends");
    }
}

#[test]
fn peers_may_be_killed_and_removed_while_others_send() {
    kill_and_remove(RECEIVERS);
}

#[test]
#[ignore = "takes minutes"]
fn peers_may_be_killed_and_removed_while_others_send_for_long() {
    kill_and_remove(RECEIVERS_LONG);
}
