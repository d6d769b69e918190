//! Stand-in for the platform's store. Each machine of the system has an address of its own there, so
//! that the store can turn single machines away.

use oleander_platform_standins::connection_action::ConnectionAction;
use oleander_platform_standins::http_server::{respond, serve};
use oleander_platform_standins::objects::Objects;
use oleander_platform_standins::request::Request;
use oleander_platform_standins::write_result::WriteResult;
use serde_json::{Value, json};
use std::collections::HashSet;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Time that an answer takes.
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// Rate of a link of a `store` machine: 600 Mbit/s.
const LINK_BYTES_PER_MS: u64 = 75_000;
/// Most objects of a page, and most bytes of its objects.
const PAGE_OBJECTS: usize = 500;
const PREFIX: &str = "/-/objects/";

#[derive(Default)]
struct State {
    objects: Objects,
    down: bool,
    turned_away: HashSet<String>,
}

/// A stand-in store; clones share it.
#[derive(Clone, Default)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    /// Returns an address at which a machine reaches the store.
    pub fn address_for(&self, machine: &str) -> SocketAddr {
        let (store, machine) = (self.clone(), machine.to_owned());
        serve(move |req, stream| store.handle(&machine, req, stream))
    }

    /// Answers 503 to all machines, or serves them again.
    pub fn set_down(&self, down: bool) {
        self.lock().down = down;
        self.shared.1.notify_all();
    }

    /// Answers 503 to one machine, or serves it again.
    pub fn turn_away(&self, machine: &str, away: bool) {
        let mut state = self.lock();
        if away {
            state.turned_away.insert(machine.to_owned());
        } else {
            state.turned_away.remove(machine);
        }
        drop(state);
        self.shared.1.notify_all();
    }

    /// Creates an object or replaces its spec, as an operator, a worker or a trainer does.
    pub fn put(&self, kind: &str, name: &str, spec: &Value) {
        self.lock().objects.put(kind, name, spec);
        self.shared.1.notify_all();
    }

    pub fn remove(&self, kind: &str, name: &str) {
        self.lock().objects.remove(kind, name);
        self.shared.1.notify_all();
    }

    pub fn get(&self, kind: &str, name: &str) -> Option<Value> {
        self.lock().objects.get(kind, name).cloned()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.shared.0.lock().expect("the state of the store")
    }

    fn refuses(&self, machine: &str) -> bool {
        let state = self.lock();
        state.down || state.turned_away.contains(machine)
    }

    fn handle(
        &self,
        machine: &str,
        req: &Request,
        stream: &mut TcpStream,
    ) -> std::io::Result<ConnectionAction> {
        sleep(ANSWER_TIME);
        if self.refuses(machine) {
            return respond(stream, 503, &[], b"");
        }
        let Some(rest) = req.path().strip_prefix(PREFIX) else {
            return respond(stream, 404, &[], b"");
        };
        let mut parts = rest.split('/');
        let kind = parts.next().unwrap_or_default().to_owned();
        let name = parts.next().map(decoded);
        let is_status = parts.next().is_some();
        if req.method != "GET" {
            let result = self.write(req, &kind, name.as_deref(), is_status);
            self.shared.1.notify_all();
            return match result {
                WriteResult::Done(object) => answer(stream, 200, &object),
                WriteResult::Conflict(object) => answer(stream, 409, &object),
                WriteResult::Missing => respond(stream, 404, &[], b""),
            };
        }
        if let Some(name) = name {
            let found = self.get(&kind, &name);
            return match found {
                Some(object) => answer(stream, 200, &object),
                None => respond(stream, 404, &[], b""),
            };
        }
        let number = |name: &str| req.query_parameter(name).and_then(|text| text.parse().ok());
        if let Some(after) = number("watch") {
            let wait = Duration::from_millis(number("wait_ms").unwrap_or(0));
            return self.watch(machine, &kind, (after, wait), stream);
        }
        let after = req.query_parameter("after").map(decoded);
        let (items, more, revision) = {
            let state = self.lock();
            let (items, more) = state.objects.list(&kind, after.as_deref(), PAGE_OBJECTS);
            (items, more, state.objects.revision())
        };
        let page = json!({"items": items, "has_more": more, "as_of": revision});
        answer(stream, 200, &page)
    }

    fn write(&self, req: &Request, kind: &str, name: Option<&str>, is_status: bool) -> WriteResult {
        let body: Value = serde_json::from_slice(&req.body).unwrap_or_default();
        let revision = body["meta"]["rev"].as_u64();
        let objects = &mut self.lock().objects;
        match (req.method.as_str(), name) {
            ("POST", None) => {
                let name = body["meta"]["name"].as_str().unwrap_or_default();
                objects.create(kind, name, &body["spec"])
            }
            ("PUT", Some(name)) => {
                let field = if is_status { "status" } else { "spec" };
                objects.replace(kind, name, field, &body[field], revision)
            }
            ("DELETE", Some(name)) if objects.remove(kind, name) => WriteResult::Done(json!({})),
            _ => WriteResult::Missing,
        }
    }

    fn watch(
        &self,
        machine: &str,
        kind: &str,
        (after, wait): (u64, Duration),
        stream: &mut TcpStream,
    ) -> std::io::Result<ConnectionAction> {
        let until = Instant::now() + wait;
        let mut state = self.lock();
        let (events, revision) = loop {
            if state.down || state.turned_away.contains(machine) {
                return Ok(ConnectionAction::Close);
            }
            let Some(events) = state.objects.changes(kind, after) else {
                drop(state);
                return respond(stream, 410, &[], b"");
            };
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                break (events, state.objects.revision());
            }
            let waited = self.shared.1.wait_timeout(state, left);
            state = waited.expect("the state of the store").0;
        };
        drop(state);
        answer(stream, 200, &json!({"events": events, "as_of": revision}))
    }
}

/// Sends an answer at the rate of the link.
fn answer(stream: &mut TcpStream, status: u16, body: &Value) -> std::io::Result<ConnectionAction> {
    let body = body.to_string();
    sleep(Duration::from_millis(body.len() as u64 / LINK_BYTES_PER_MS));
    respond(stream, status, &[], body.as_bytes())
}

/// Decodes the escapes of a part of a path or query.
fn decoded(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes().iter();
    while let Some(byte) = rest.next() {
        if *byte != b'%' {
            bytes.push(*byte);
            continue;
        }
        let digits: String = rest
            .by_ref()
            .take(2)
            .map(|byte| char::from(*byte))
            .collect();
        bytes.extend(u8::from_str_radix(&digits, 16).ok());
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
