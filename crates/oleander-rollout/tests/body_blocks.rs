//! Blocks of a body that arrives in many small chunks.

use hyper::body::Body as _;
use oleander_rollout::http::blocks::Blocks;
use std::pin::Pin;
use std::task::{Context, Poll, Waker};

/// Returns the number of slices in which a body of `count` chunks of four bytes is sent.
fn slices_of_chunks(count: usize) -> usize {
    let mut body = Blocks::default();
    for _ in 0..count {
        body.push(b"body", 0);
    }
    body.finish();
    let mut slices = 0;
    let mut cx = Context::from_waker(Waker::noop());
    while let Poll::Ready(Some(frame)) = Pin::new(&mut body).poll_frame(&mut cx) {
        frame.expect("a slice");
        slices += 1;
    }
    slices
}

// Guards against an allocation for each chunk of a body whose length is not known, which takes many times
// the memory that is counted.
#[test]
fn many_small_chunks_are_joined() {
    assert_eq!(slices_of_chunks(1), 1);
    let slices = slices_of_chunks(100_000);
    assert!(slices < 100, "{slices}");
}
