//! Callers of a plain service that reuse their connections.

use super::keep_alive_client::KeepAliveClient;
use super::known_call::KnownCall;
use super::observations::Observations;
use super::soak_deployment::DEADLY;
use crate::support::HOST;
use crate::support::http::call;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

/// Path of the calls under which each service crashes.
pub const DEADLY_TARGET: &str = "/calls/deadly";
/// Shortest time after which a refused deadly call may return, in seconds.
const DEADLY_RETRY_AFTER_MIN: f64 = 10.0;
/// Pause between two deadly calls.
const DEADLY_PAUSE: Duration = Duration::from_millis(700);
/// Pause between two calls.
const PAUSE: Duration = Duration::from_millis(25);
/// Body of every call.
pub const BODY: &[u8] = b"body bytes";

/// Calls one entry until the soak is over; every second call may run at most once.
pub fn call_until_done(caller: usize, entry: SocketAddr, observed: &Observations) {
    let mut client = KeepAliveClient::new(entry);
    let mut number = 0;
    while !observed.is_done() {
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
        observed.calls.lock().insert(id.clone(), known);
        let head = format!(
            "POST {target} HTTP/1.1\r\nhost: {HOST}\r\nrequest-id: {id}\r\ndeadline-ms: 1400\r\n\
             content-length: {}\r\n\r\n",
            BODY.len()
        );
        let Some(reply) = client.call(&head, BODY) else {
            thread::sleep(PAUSE);
            continue;
        };
        match reply.status {
            200 => {
                let stamp = reply.headers.get("server-stamp").cloned();
                let own = reply.body == format!("for {id}").as_bytes();
                if !own || stamp != Some(format!("stamp-{id}")) {
                    observed
                        .add_violation(format!("{id} got the response to another call: {reply:?}"));
                }
                observed.complete_calls.fetch_add(1, Ordering::Relaxed);
            }
            // Without the stamp of an endpoint the entry itself refused the call, which must then
            // not run.
            429 | 503 | 408 | 421 if !reply.headers.contains_key("server-stamp") => {
                observed
                    .calls
                    .lock()
                    .get_mut(&id)
                    .expect("a known call")
                    .refused = true;
            }
            status @ 400..500 => observed.add_violation(format!("{id} denied with {status}")),
            _ => {}
        }
        thread::sleep(PAUSE);
    }
}

/// Repeats the call under which services crash, at random entries, until the soak is over.
pub fn repeat_deadly(seed: u64, entries: &[SocketAddr], observed: &Observations) {
    let mut rng = StdRng::seed_from_u64(seed ^ 0x6465_6164);
    while !observed.is_done() {
        call_deadly(entries[rng.random_range(0..entries.len())]);
        thread::sleep(DEADLY_PAUSE);
    }
}

/// Sends the call under which services crash; returns whether it was refused for that reason.
pub fn call_deadly(entry: SocketAddr) -> bool {
    let id = format!("deadly-{:016x}", rand::random::<u64>());
    let headers = [
        ("host", HOST),
        ("request-id", id.as_str()),
        ("deadline-ms", "1400"),
    ];
    let reply = call(entry, "POST", DEADLY_TARGET, &headers, DEADLY);
    let retry_after = reply.filter(|reply| reply.status == 503).and_then(|reply| {
        let seconds = reply.headers.get("retry-after")?;
        seconds.parse::<f64>().ok()
    });
    retry_after.is_some_and(|seconds| seconds >= DEADLY_RETRY_AFTER_MIN)
}
