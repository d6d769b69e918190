//! Free addresses and children that start at the same time.

use oleander_standins::free_address::{free_address, spawn_child};
use std::collections::BTreeSet;
use std::io::{BufRead, BufReader, Write, stdin, stdout};
use std::net::{SocketAddr, TcpListener};
use std::process::{Child, Command, Stdio};
use std::thread;

/// Threads that ask for addresses and start children.
const THREADS: usize = 8;
/// Rounds of each thread.
const ROUNDS: usize = 40;
/// Children of a round.
const CHILDREN: usize = 6;
/// Addresses that each child is to bind.
const ADDRESSES: usize = 4;

/// Processes that ask for addresses at the same time.
const PROCESSES: usize = 4;
/// Addresses that each of them asks for.
const ADDRESSES_PER_PROCESS: usize = 250;

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

/// Starts a process that prints addresses and ends when its standard input does.
fn start_printer() -> Child {
    let program = std::env::current_exe().expect("the path of this program");
    let mut command = Command::new(program);
    command.args(["--ignored", "--exact", "prints_addresses", "--nocapture"]);
    let command = command.stdin(Stdio::piped()).stdout(Stdio::piped());
    spawn_child(command).expect("it starts")
}

/// Reads the addresses that a process prints; its output stays open, since it prints a summary at its
/// end.
fn read_addresses(printer: &mut Child) -> Vec<String> {
    let output = BufReader::new(printer.stdout.as_mut().expect("its output"));
    let lines = output.lines().map(|line| line.expect("a line"));
    let addresses = lines.filter(|line| line.starts_with("127.0.0.1:"));
    addresses.take(ADDRESSES_PER_PROCESS).collect()
}

#[test]
fn processes_that_run_at_the_same_time_get_different_ports() {
    let mut printers: Vec<Child> = (0..PROCESSES).map(|_| start_printer()).collect();
    let given: Vec<String> = printers.iter_mut().flat_map(read_addresses).collect();
    let different: BTreeSet<&String> = given.iter().collect();
    assert_eq!(given.len(), PROCESSES * ADDRESSES_PER_PROCESS);
    assert_eq!(different.len(), given.len());
    for mut printer in printers {
        drop(printer.stdin.take());
        printer.wait().expect("it ends");
    }
}

#[test]
#[ignore = "a process of the test above"]
fn prints_addresses() {
    let mut output = stdout().lock();
    for _ in 0..ADDRESSES_PER_PROCESS {
        let addr = free_address().expect("a free address");
        writeln!(output, "{addr}").expect("it is read");
    }
    output.flush().expect("it is read");
    drop(output);
    let _ = stdin().read_line(&mut String::new());
}
