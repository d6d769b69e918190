//! A frame is delivered at most once, in order, and only if it was signed with a known key.

use oleander_link::wire::frame::Body;
use oleander_link::wire::{DrainOrder, Frame};
use oleander_link::{Delivery, LinkError, LinkKeys, Mailbox, Peers};
use oleander_standins::free_address::free_address;
use oleanderlock::prelude::*;
use std::sync::mpsc;
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
