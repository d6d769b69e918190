//! Callers of a plain service that keep using their connections.

use super::keep_alive::KeepAlive;
use super::world::{KnownCall, Seen};
use crate::support::HOST;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

/// Pause between two calls.
const PAUSE: Duration = Duration::from_millis(25);
/// What a call carries.
pub const BODY: &[u8] = b"body bytes";

/// Calls one entry until the soak is over; every second call may run once at most.
pub fn call_on(caller: usize, entry: SocketAddr, seen: &Seen) {
    let mut connection = KeepAlive::new(entry);
    let mut number = 0;
    while !seen.is_done() {
        number += 1;
        let once = number % 2 == 0;
        let id = format!("call-{caller}-{number}");
        let prefix = if once { "/once/" } else { "/calls/" };
        let target = format!("{prefix}{id}?x=%20");
        let known = KnownCall {
            once,
            target: target.clone(),
            refused: false,
        };
        seen.calls.lock().insert(id.clone(), known);
        let head = format!(
            "POST {target} HTTP/1.1\r\nhost: {HOST}\r\nrequest-id: {id}\r\ndeadline-ms: 1400\r\n\
             content-length: {}\r\n\r\n",
            BODY.len()
        );
        let Some(reply) = connection.call(&head, BODY) else {
            thread::sleep(PAUSE);
            continue;
        };
        match reply.status {
            200 => {
                let stamp = reply.headers.get("server-stamp").cloned();
                let own = reply.body == format!("for {id}").as_bytes();
                if !own || stamp != Some(format!("stamp-{id}")) {
                    seen.violation(format!("{id} got an answer that is not its own: {reply:?}"));
                }
                seen.whole_calls.fetch_add(1, Ordering::Relaxed);
            }
            // "Not run" holds even where no signature of an endpoint stands beside it.
            429 | 503 | 408 | 421 if !reply.headers.contains_key("server-stamp") => {
                seen.calls.lock().get_mut(&id).expect("known").refused = true;
            }
            status @ 400..500 => seen.violation(format!("{id} denied with {status}")),
            _ => {}
        }
        thread::sleep(PAUSE);
    }
}
