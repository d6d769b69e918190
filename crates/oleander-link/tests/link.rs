//! A frame is delivered at most once, in order, and only if it was signed with a known key.

use oleander_link::mailbox::FRAME_MAX_BYTES;
use oleander_link::wire::frame::Body;
use oleander_link::wire::{DrainOrder, Frame};
use oleander_link::{Delivery, LinkError, LinkKeys, Mailbox, PeerChange, Peers};
use oleander_standins::free_address::free_address;
use oleanderlock::prelude::*;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::{Mutex, mpsc};
use std::time::Duration;

/// Longest wait before a missing frame fails a test.
const TIMEOUT: Duration = Duration::from_secs(20);

fn keys(phrases: &[&str]) -> LinkKeys {
    let phrases: Vec<String> = phrases.iter().map(|phrase| (*phrase).to_owned()).collect();
    LinkKeys::derive(&phrases)
}

fn frame() -> Frame {
    Frame {
        from: "tcp://127.0.0.1:1".to_owned(),
        incarnation: 7,
        body: Some(Body::DrainOrder(DrainOrder { fence: 9 })),
    }
}

fn free_link_address() -> String {
    format!("tcp://{}", free_address().expect("a free address"))
}

#[test]
fn a_frame_opens_with_any_accepted_key() {
    let sealed = keys(&["new"]).seal(&frame());
    assert_eq!(keys(&["old", "new"]).open(sealed.into()), Ok(frame()));
}

#[test]
fn a_frame_with_an_unknown_key_or_a_changed_byte_is_refused() {
    let sealed = keys(&["mine"]).seal(&frame());
    assert_eq!(
        keys(&["other"]).open(sealed.clone().into()),
        Err(LinkError::WrongKey)
    );
    for i in 0..sealed.len() {
        let mut changed = sealed.clone();
        changed[i] ^= 1;
        assert!(keys(&["mine"]).open(changed.into()).is_err(), "byte {i}");
    }
}

#[test]
fn frames_arrive_in_order_and_once() {
    let address = free_link_address();
    let (tx, rx) = mpsc::channel();
    let deliver = move |delivery| drop(tx.send(delivery));
    let _mailbox = Mailbox::bind(&address, keys(&["k"]), deliver).expect("bound");
    let peers = Peers::new("tcp://127.0.0.1:1", Incarnation(7), keys(&["k"]), |_| ());
    for fence in 0..500 {
        peers
            .send(&address, Body::DrainOrder(DrainOrder { fence }))
            .expect("sent");
    }
    for fence in 0..500 {
        let Delivery::Frame(got) = rx.recv_timeout(TIMEOUT).expect("a frame") else {
            panic!("a refused frame");
        };
        assert_eq!(got.body, Some(Body::DrainOrder(DrainOrder { fence })));
    }
    assert!(rx.try_recv().is_err());
}

#[test]
fn sending_without_a_connection_fails_at_once() {
    let peers = Peers::new("tcp://127.0.0.1:1", Incarnation(7), keys(&["k"]), |_| ());
    let address = free_link_address();
    peers.dial(&address).expect("dialling");
    let sent = peers.send_connected(&address, Body::DrainOrder(DrainOrder { fence: 1 }));
    assert_eq!(sent, Err(LinkError::NotConnected { peer: address }));
}

/// A connection to a mailbox that has sent a greeting of its own.
fn connect_raw(address: &str, greeting: &[u8]) -> TcpStream {
    let socket = address.strip_prefix("tcp://").expect("a scheme");
    let mut stream = TcpStream::connect(socket).expect("connected");
    stream
        .set_read_timeout(Some(TIMEOUT))
        .expect("a time limit");
    stream.write_all(greeting).expect("written");
    stream
}

/// Whether the other side closes the connection after its greeting.
fn is_closed(stream: &mut TcpStream) -> bool {
    let mut rest = Vec::new();
    stream.read_to_end(&mut rest).is_ok() && rest == PULL
}

/// Greetings by `sp-tcp-mapping-01`.
const PUSH: &[u8] = b"\0SP\0\0\x50\0\0";
const PULL: &[u8] = b"\0SP\0\0\x51\0\0";

/// A mailbox and what it delivers.
fn bind(address: &str) -> (Mailbox, mpsc::Receiver<Delivery>) {
    let (tx, rx) = mpsc::channel();
    let deliver = move |delivery| drop(tx.send(delivery));
    let mailbox = Mailbox::bind(address, keys(&["k"]), deliver).expect("bound");
    (mailbox, rx)
}

fn message(len: usize, bytes: &[u8]) -> Vec<u8> {
    [&(len as u64).to_be_bytes(), bytes].concat()
}

#[test]
fn a_mailbox_reads_the_published_form() {
    let address = free_link_address();
    let (_mailbox, delivered) = bind(&address);
    let mut stream = connect_raw(&address, PUSH);
    let mut greeting = [0; 8];
    stream.read_exact(&mut greeting).expect("a greeting");
    assert_eq!(greeting, PULL);
    let sealed = keys(&["k"]).seal(&frame());
    for byte in message(sealed.len(), &sealed) {
        stream.write_all(&[byte]).expect("written");
    }
    let delivery = delivered.recv_timeout(TIMEOUT).expect("a frame");
    assert!(matches!(delivery, Delivery::Frame(got) if *got == frame()));
}

#[test]
fn a_peer_is_sent_the_published_form() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bound");
    let address = format!("tcp://{}", listener.local_addr().expect("an address"));
    let peers = Peers::new("tcp://127.0.0.1:1", Incarnation(7), keys(&["k"]), |_| ());
    let body = frame().body.expect("a body");
    peers.send(&address, body).expect("sent");
    let (mut stream, _) = listener.accept().expect("a connection");
    stream
        .set_read_timeout(Some(TIMEOUT))
        .expect("a time limit");
    stream.write_all(PULL).expect("written");
    let sealed = keys(&["k"]).seal(&frame());
    let expected = [PUSH, &message(sealed.len(), &sealed)].concat();
    let mut got = vec![0; expected.len()];
    stream.read_exact(&mut got).expect("a frame");
    assert_eq!(got, expected);
}

#[test]
fn other_bytes_end_their_own_connection_only() {
    let address = free_link_address();
    let (_mailbox, delivered) = bind(&address);
    let other_greeting = b"GET / HTTP/1.1\r\n\r\n";
    assert!(is_closed(&mut connect_raw(&address, &other_greeting[..8])));
    assert!(is_closed(&mut connect_raw(&address, PULL)));
    let mut long = connect_raw(&address, PUSH);
    long.write_all(&message(FRAME_MAX_BYTES + 1, &[]))
        .expect("written");
    assert!(is_closed(&mut long));
    let mut cut = connect_raw(&address, PUSH);
    cut.write_all(&message(2, &[1])).expect("written");
    cut.shutdown(Shutdown::Write).expect("shut down");
    assert!(is_closed(&mut cut));
    let peers = Peers::new("tcp://127.0.0.1:1", Incarnation(7), keys(&["k"]), |_| ());
    peers
        .send(&address, frame().body.expect("a body"))
        .expect("sent");
    let delivery = delivered.recv_timeout(TIMEOUT).expect("a frame");
    assert!(matches!(delivery, Delivery::Frame(got) if *got == frame()));
}

#[test]
fn connections_that_announce_long_messages_use_no_memory_for_them() {
    let address = free_link_address();
    let (_mailbox, _delivered) = bind(&address);
    let before = resident_kib();
    let connections: Vec<TcpStream> = (0..100)
        .map(|_| {
            let mut stream = connect_raw(&address, PUSH);
            let start = message(FRAME_MAX_BYTES, &[0; 100]);
            stream.write_all(&start).expect("written");
            stream.read_exact(&mut [0; 8]).expect("a greeting");
            stream
        })
        .collect();
    std::thread::sleep(Duration::from_millis(300));
    let used = resident_kib().saturating_sub(before);
    assert!(
        used < 20_000,
        "{used} KiB for {} connections",
        connections.len()
    );
}

/// Memory of this process, in KiB.
fn resident_kib() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").expect("a status");
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().nth(1));
    kib.and_then(|kib| kib.parse().ok()).expect("a number")
}

/// A peer that is dialled, and the changes of its connection.
fn dial(address: &str) -> (Peers, mpsc::Receiver<bool>) {
    let (tx, rx) = mpsc::channel();
    let tx = Mutex::new(tx);
    let on_change = move |change: PeerChange| {
        let _ = tx.lock().expect("unpoisoned").send(change.connected);
    };
    let peers = Peers::new("tcp://127.0.0.1:1", Incarnation(7), keys(&["k"]), on_change);
    peers.dial(address).expect("dialling");
    (peers, rx)
}

#[test]
fn a_lost_peer_is_dialled_again_and_gets_what_was_buffered() {
    let address = free_link_address();
    let (mailbox, _delivered) = bind(&address);
    let (peers, changes) = dial(&address);
    assert_eq!(changes.recv_timeout(TIMEOUT), Ok(true));
    drop(mailbox);
    assert_eq!(changes.recv_timeout(TIMEOUT), Ok(false));
    assert!(!peers.is_connected(&address));
    peers
        .send(&address, frame().body.expect("a body"))
        .expect("buffered");
    let (_mailbox, delivered) = bind(&address);
    assert_eq!(changes.recv_timeout(TIMEOUT), Ok(true));
    let delivery = delivered.recv_timeout(TIMEOUT).expect("a frame");
    assert!(matches!(delivery, Delivery::Frame(got) if *got == frame()));
}

#[test]
fn a_removed_peer_is_reported_once_and_not_after_its_successor() {
    let address = free_link_address();
    let (_mailbox, _delivered) = bind(&address);
    let (peers, changes) = dial(&address);
    for _ in 0..50 {
        assert_eq!(changes.recv_timeout(TIMEOUT), Ok(true));
        assert!(peers.is_connected(&address));
        peers.remove(&address);
        assert_eq!(changes.try_recv(), Ok(false));
        assert!(!peers.is_connected(&address));
        peers.dial(&address).expect("dialling");
    }
}

#[test]
fn frames_for_a_peer_that_does_not_read_are_refused_at_last() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bound");
    let address = format!("tcp://{}", listener.local_addr().expect("an address"));
    let peers = Peers::new("tcp://127.0.0.1:1", Incarnation(7), keys(&["k"]), |_| ());
    let send = || peers.send(&address, frame().body.expect("a body"));
    let refused = (0..5000).map(|_| send()).find_map(Result::err);
    assert_eq!(
        refused,
        Some(LinkError::Backlog {
            peer: address.clone()
        })
    );
    let other = free_link_address();
    let (_mailbox, delivered) = bind(&other);
    peers
        .send(&other, frame().body.expect("a body"))
        .expect("sent");
    delivered.recv_timeout(TIMEOUT).expect("a frame");
}

#[test]
fn an_address_of_another_form_is_refused() {
    let peers = Peers::new("tcp://127.0.0.1:1", Incarnation(7), keys(&["k"]), |_| ());
    for address in ["", "127.0.0.1:1", "tcp://host", "ipc:///tmp/x"] {
        let dialled = peers.dial(address);
        assert!(
            matches!(dialled, Err(LinkError::Socket { .. })),
            "{address}"
        );
    }
}

#[test]
fn an_address_in_use_is_refused() {
    let address = free_link_address();
    let _mailbox = bind(&address);
    let second = Mailbox::bind(&address, keys(&["k"]), |_| ());
    assert!(matches!(second, Err(LinkError::Socket { .. })));
}
