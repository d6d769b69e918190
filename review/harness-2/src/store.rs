//! Stand-in for the platform's store: objects by kind and name, conditional writes, watches.

use crate::http::{Request, decoded, respond, serve};
use crate::json::{Json, number, object, text};
use std::collections::BTreeMap;
use std::io::Read;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

const PREFIX: &str = "/-/objects/";
const PAGE_OBJECTS: usize = 500;

struct Change {
    revision: u64,
    kind: String,
    object: Json,
    deleted: bool,
}

struct State {
    revision: u64,
    kinds: BTreeMap<String, BTreeMap<String, Json>>,
    history: Vec<Change>,
    /// Kind whose writes are carried out and not answered; `None` for no kind.
    unanswered_kind: Option<String>,
    writes: u64,
    unanswered: u64,
}

#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
    pub addr: SocketAddr,
}

/// Addresses that a process is told instead of others: what it sees of a machine behind a relay.
pub type Rewrites = Vec<(String, String)>;

impl Store {
    pub fn start(ip: &str) -> Self {
        let state = State {
            revision: 1,
            kinds: BTreeMap::new(),
            history: Vec::new(),
            unanswered_kind: None,
            writes: 0,
            unanswered: 0,
        };
        let shared = Arc::new((Mutex::new(state), Condvar::new()));
        let addr = listen(ip, Arc::clone(&shared), Rewrites::new());
        Self { shared, addr }
    }

    /// Serves the same store at a further address, where it shows `rewrites` of addresses.
    pub fn listen_rewritten(&self, ip: &str, rewrites: Rewrites) -> SocketAddr {
        listen(ip, Arc::clone(&self.shared), rewrites)
    }

    pub fn put(&self, kind: &str, name: &str, spec: Json) {
        let mut state = self.shared.0.lock().unwrap();
        let known = state.get(kind, name);
        let mut new = known.unwrap_or_else(|| new_object(name));
        if new.get("spec") == &spec {
            return;
        }
        new.set("spec", spec);
        state.save(kind, name, new);
        drop(state);
        self.shared.1.notify_all();
    }

    /// Loses the answers of all further writes of a kind, which are carried out all the same; `None`
    /// ends that. Returns the numbers of writes and of lost answers since the last call.
    pub fn lose_answers(&self, kind: Option<&str>) -> (u64, u64) {
        let mut state = self.shared.0.lock().unwrap();
        state.unanswered_kind = kind.map(str::to_owned);
        let counts = (state.writes, state.unanswered);
        (state.writes, state.unanswered) = (0, 0);
        counts
    }

    pub fn spec(&self, kind: &str, name: &str) -> Option<Json> {
        let state = self.shared.0.lock().unwrap();
        state
            .get(kind, name)
            .map(|object| object.get("spec").clone())
    }
}

fn new_object(name: &str) -> Json {
    let meta = object(&[
        ("name", text(name)),
        ("rev", number(0)),
        ("create_rev", number(0)),
        ("finalizers", Json::List(Vec::new())),
        ("deleting", Json::Bool(false)),
    ]);
    object(&[("meta", meta), ("spec", Json::Null), ("status", Json::Null)])
}

impl State {
    fn get(&self, kind: &str, name: &str) -> Option<Json> {
        self.kinds.get(kind)?.get(name).cloned()
    }

    fn save(&mut self, kind: &str, name: &str, mut new: Json) -> Json {
        self.revision += 1;
        let mut meta = new.get("meta").clone();
        if meta.get("create_rev").number() == Some(0) {
            meta.set("create_rev", number(self.revision));
        }
        meta.set("rev", number(self.revision));
        new.set("meta", meta);
        let of_kind = self.kinds.entry(kind.to_owned()).or_default();
        of_kind.insert(name.to_owned(), new.clone());
        self.record(kind, new.clone(), false);
        new
    }

    fn record(&mut self, kind: &str, object: Json, deleted: bool) {
        self.history.push(Change {
            revision: self.revision,
            kind: kind.to_owned(),
            object,
            deleted,
        });
    }

    fn write(
        &mut self,
        req: &Request,
        kind: &str,
        name: Option<&str>,
        status: bool,
    ) -> (u16, Json) {
        let body = Json::parse(&String::from_utf8_lossy(&req.body)).unwrap_or(Json::Null);
        let expected = body.get("meta").get("rev").number();
        let expected = expected.or_else(|| req.query("rev")?.parse().ok());
        match (req.method.as_str(), name) {
            ("POST", None) => {
                let name = body.get("meta").get("name").text().to_owned();
                if let Some(known) = self.get(kind, &name) {
                    return (409, known);
                }
                let mut new = new_object(&name);
                new.set("spec", body.get("spec").clone());
                (201, self.save(kind, &name, new))
            }
            ("PUT", Some(name)) => {
                let Some(known) = self.get(kind, name) else {
                    return (404, Json::Null);
                };
                if expected.is_some() && expected != known.get("meta").get("rev").number() {
                    return (409, known);
                }
                let field = if status { "status" } else { "spec" };
                if known.get(field) == body.get(field) {
                    return (200, known);
                }
                let mut new = known;
                new.set(field, body.get(field).clone());
                (200, self.save(kind, name, new))
            }
            ("DELETE", Some(name)) => {
                let Some(known) = self.get(kind, name) else {
                    return (404, Json::Null);
                };
                if expected.is_some() && expected != known.get("meta").get("rev").number() {
                    return (409, known);
                }
                self.revision += 1;
                if let Some(of_kind) = self.kinds.get_mut(kind) {
                    of_kind.remove(name);
                }
                self.record(kind, known, true);
                (200, object(&[]))
            }
            _ => (400, Json::Null),
        }
    }

    fn list(&self, kind: &str, after: Option<&str>) -> Json {
        let of_kind = self.kinds.get(kind);
        let objects = of_kind.into_iter().flatten();
        let mut following =
            objects.filter(|(name, _)| after.is_none_or(|after| name.as_str() > after));
        let items: Vec<Json> = following
            .by_ref()
            .take(PAGE_OBJECTS)
            .map(|(_, object)| object.clone())
            .collect();
        object(&[
            ("items", Json::List(items)),
            ("has_more", Json::Bool(following.next().is_some())),
            ("as_of", number(self.revision)),
        ])
    }

    fn changes(&self, kind: &str, after: u64) -> Vec<Json> {
        let changes = self.history.iter();
        let changes = changes.filter(|change| change.kind == kind && change.revision > after);
        changes
            .map(|change| {
                object(&[
                    ("object", change.object.clone()),
                    ("deleted", Json::Bool(change.deleted)),
                ])
            })
            .collect()
    }
}

fn listen(ip: &str, shared: Arc<(Mutex<State>, Condvar)>, rewrites: Rewrites) -> SocketAddr {
    serve(ip, move |req, stream| {
        handle(&shared, &rewrites, req, stream)
    })
}

fn answer(
    stream: &mut TcpStream,
    rewrites: &Rewrites,
    status: u16,
    body: &Json,
) -> std::io::Result<bool> {
    let mut text = body.to_string();
    for (from, to) in rewrites {
        text = text.replace(&format!("\"{from}\""), &format!("\"{to}\""));
    }
    let headers = [("content-type", "application/json")];
    respond(stream, status, &headers, text.as_bytes())
}

fn handle(
    shared: &(Mutex<State>, Condvar),
    rewrites: &Rewrites,
    req: &Request,
    stream: &mut TcpStream,
) -> std::io::Result<bool> {
    let Some(rest) = req.path().strip_prefix(PREFIX) else {
        return respond(stream, 404, &[], b"");
    };
    let mut parts = rest.split('/');
    let kind = parts.next().unwrap_or_default().to_owned();
    let name = parts.next().map(decoded);
    let is_status = parts.next().is_some();
    let mut state = shared.0.lock().unwrap();
    if req.method != "GET" {
        let (status, body) = state.write(req, &kind, name.as_deref(), is_status);
        let is_lost = state.unanswered_kind.as_ref() == Some(&kind);
        state.writes += 1;
        state.unanswered += u64::from(is_lost);
        drop(state);
        shared.1.notify_all();
        if is_lost {
            // Nothing more comes on this connection; it ends when the caller closes it.
            while stream.read(&mut [0; 256]).is_ok_and(|read| read > 0) {}
            return Ok(false);
        }
        return answer(stream, rewrites, status, &body);
    }
    if let Some(name) = name {
        let found = state.get(&kind, &name);
        drop(state);
        return match found {
            Some(object) => answer(stream, rewrites, 200, &object),
            None => respond(stream, 404, &[], b""),
        };
    }
    let Some(from) = req.query("watch").and_then(|text| text.parse().ok()) else {
        let page = state.list(&kind, req.query("after").as_deref());
        drop(state);
        return answer(stream, rewrites, 200, &page);
    };
    let wait = req.query("wait_ms").and_then(|text| text.parse().ok());
    let until = Instant::now() + Duration::from_millis(wait.unwrap_or(0));
    loop {
        let events = state.changes(&kind, from);
        let left = until.saturating_duration_since(Instant::now());
        if !events.is_empty() || left.is_zero() {
            let body = object(&[
                ("events", Json::List(events)),
                ("as_of", number(state.revision)),
            ]);
            drop(state);
            return answer(stream, rewrites, 200, &body);
        }
        state = shared.1.wait_timeout(state, left).unwrap().0;
    }
}
