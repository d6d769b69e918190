//! Stand-in for a model worker that holds several models.
//!
//! The body of a run is the number of its events; event `n` of the request `id` has the data `id:n`.

use crate::record::Record;
use oleander_platform_standins::connection_action::ConnectionAction;
use oleander_platform_standins::http_server::{respond, serve_until_crash};
use oleander_platform_standins::request::Request;
use parking_lot::Mutex;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Requests that a worker runs at once, as on the sheet of krh-ops.
pub const SLOTS: usize = 12;
/// Time that a change of version takes, as on the sheets.
const LOAD_TIME: Duration = Duration::from_millis(900);

/// One run of a request.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub began: Duration,
    /// `None` while it runs.
    pub ended: Option<Duration>,
    /// Whether all events were sent.
    pub whole: bool,
}

struct State {
    versions: BTreeMap<String, u64>,
    accepted: u64,
    loading: Option<String>,
    event_interval: Duration,
    runs: Vec<Run>,
    // Id of a request whose stream breaks off within the event of this number, once.
    break_off: Option<(String, u64)>,
}

impl State {
    fn running(&self) -> usize {
        self.runs.iter().filter(|run| run.ended.is_none()).count()
    }
}

/// Handle of a worker; clones share it.
#[derive(Clone)]
pub struct Engine {
    pub instance: String,
    pub addr: SocketAddr,
    born: u64,
    state: Arc<Mutex<State>>,
    crashed: Arc<AtomicBool>,
}

impl Engine {
    pub fn spawn(name: &str, models: &[&str], event_interval: Duration, record: &Record) -> Self {
        let versions = models.iter().map(|model| ((*model).to_owned(), 1));
        let state = Arc::new(Mutex::new(State {
            versions: versions.collect(),
            accepted: 0,
            loading: None,
            event_interval,
            runs: Vec::new(),
            break_off: None,
        }));
        let born = SystemTime::now().duration_since(UNIX_EPOCH);
        let born = born.expect("a time after 1970").as_millis() as u64;
        let (shared, instance, log) = (Arc::clone(&state), name.to_owned(), record.clone());
        let (addr, crashed) = serve_until_crash(move |req, stream| {
            handle(&shared, (&instance, born), &log, req, stream)
        });
        Self {
            instance: name.to_owned(),
            addr,
            born,
            state,
            crashed,
        }
    }

    /// Returns the spec of its entry in the list of workers.
    pub fn entry(&self, service: &str) -> Value {
        let state = self.state.lock();
        json!({"service": service, "addr": self.addr.to_string(), "zone": "z", "version": "v1",
            "slots": SLOTS, "state": "ready", "cold_left_ms": 0, "seq": 1, "born": self.born,
            "stage": "both", "models": models(&state)})
    }

    /// Loses the worker for good.
    pub fn crash(&self) {
        self.crashed.store(true, Ordering::Relaxed);
    }

    pub fn set_event_interval(&self, interval: Duration) {
        self.state.lock().event_interval = interval;
    }

    /// Breaks the stream of a request off within the event `number`, once.
    pub fn break_off(&self, id: &str, number: u64) {
        self.state.lock().break_off = Some((id.to_owned(), number));
    }

    pub fn runs(&self) -> Vec<Run> {
        self.state.lock().runs.clone()
    }

    pub fn version(&self, model: &str) -> u64 {
        self.state.lock().versions[model]
    }
}

fn models(state: &State) -> Value {
    let models = state.versions.iter();
    let models =
        models.map(|(name, version)| json!({"name": name, "version": version, "adapters": []}));
    models.collect()
}

fn handle(
    state: &Arc<Mutex<State>>,
    (instance, born): (&str, u64),
    record: &Record,
    req: &Request,
    stream: &mut TcpStream,
) -> std::io::Result<ConnectionAction> {
    let id = req.header("request-id").unwrap_or_default().to_owned();
    if req
        .header("expect-instance")
        .is_some_and(|expected| expected != instance)
    {
        return respond(
            stream,
            421,
            &[("instance-id", instance), ("request-id", &id)],
            b"",
        );
    }
    match (req.method.as_str(), req.path()) {
        ("GET", "/-/report") => {
            let body = {
                let state = state.lock();
                json!({"stage": "both", "models": models(&state), "busy": state.loading.is_some(),
                    "seq": state.accepted, "queued": 0, "running": state.running(),
                    "kv_used": 0, "kv_total": 97_451, "handles": 0, "born": born})
            };
            respond(stream, 200, &[], body.to_string().as_bytes())
        }
        ("GET", "/health") => respond(stream, 200, &[("instance-id", instance)], b""),
        ("POST", "/-/order") => order(state, instance, record, req, stream),
        ("POST", _) => run(state, instance, record, (&id, req), stream),
        _ => respond(stream, 404, &[], b""),
    }
}

fn order(
    state: &Arc<Mutex<State>>,
    instance: &str,
    record: &Record,
    req: &Request,
    stream: &mut TcpStream,
) -> std::io::Result<ConnectionAction> {
    let body: Value = serde_json::from_slice(&req.body).unwrap_or_default();
    let model = body["model"].as_str().unwrap_or_default().to_owned();
    let version = body["version"].as_u64().unwrap_or_default();
    let status = {
        let mut state = state.lock();
        let expected = body["expected"].as_u64().unwrap_or(state.accepted);
        if body["holder"].is_null()
            || body["fence"].is_null()
            || !state.versions.contains_key(&model)
        {
            400
        } else if state.loading.is_some() || expected != state.accepted {
            409
        } else if state.versions[&model] == version {
            200
        } else {
            state.accepted += 1;
            state.loading = Some(model.clone());
            202
        }
    };
    record.line(&format!(
        "order at {instance}: {model} version {version} -> {status}"
    ));
    if status == 202 {
        let state = Arc::clone(state);
        thread::spawn(move || {
            thread::sleep(LOAD_TIME);
            let mut state = state.lock();
            state.versions.insert(model, version);
            state.loading = None;
        });
    }
    respond(stream, status, &[], b"")
}

fn run(
    state: &Mutex<State>,
    instance: &str,
    record: &Record,
    (id, req): (&str, &Request),
    stream: &mut TcpStream,
) -> std::io::Result<ConnectionAction> {
    let model = req.header("model").unwrap_or_default().to_owned();
    let after_event = req
        .header("last-event-id")
        .and_then(|text| text.parse().ok());
    let after_event: u64 = after_event.unwrap_or(0);
    let total: u64 = String::from_utf8_lossy(&req.body).parse().unwrap_or(1);
    let begun = {
        let mut state = state.lock();
        let may_run = state.running() < SLOTS
            && state.loading.as_ref() != Some(&model)
            && state.versions.contains_key(&model);
        may_run.then(|| {
            state.runs.push(Run {
                id: id.to_owned(),
                began: record.now(),
                ended: None,
                whole: false,
            });
            (state.runs.len() - 1, state.versions[&model])
        })
    };
    let Some((index, version)) = begun else {
        return respond(stream, 503, &[("not-run", "1"), ("request-id", id)], b"");
    };
    record.line(&format!(
        "run at {instance}: {id} of {model} after event {after_event} version {version}"
    ));
    let sent = stream_events(state, (id, &model), (after_event, total, version), stream);
    let mut locked = state.lock();
    locked.runs[index].ended = Some(record.now());
    locked.runs[index].whole = matches!(sent, Ok(ConnectionAction::KeepOpen));
    drop(locked);
    let end = match &sent {
        Ok(ConnectionAction::KeepOpen) => "whole",
        Ok(ConnectionAction::Close) => "broken off by the worker",
        Err(_) => "left by the caller",
    };
    record.line(&format!("run at {instance}: {id} ends, {end}"));
    sent
}

fn stream_events(
    state: &Mutex<State>,
    (id, model): (&str, &str),
    (after_event, total, mut version): (u64, u64, u64),
    stream: &mut TcpStream,
) -> std::io::Result<ConnectionAction> {
    let head = format!(
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nrequest-id: {id}\r\n\
         server-stamp: run-{id}\r\nweight-versions: {version}\r\ntransfer-encoding: chunked\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    for number in after_event + 1..=total {
        let interval = state.lock().event_interval;
        thread::sleep(interval);
        let (current, breaks) = {
            let mut state = state.lock();
            let breaks = state
                .break_off
                .as_ref()
                .is_some_and(|(of, at)| of == id && *at == number);
            if breaks {
                state.break_off = None;
            }
            (state.versions[model], breaks)
        };
        if breaks {
            stream.write_all(b"8\r\nid: 9\nda\r\n")?;
            return Ok(ConnectionAction::Close);
        }
        let line = if current == version {
            String::new()
        } else {
            format!("weight-versions: {current}\n")
        };
        version = current;
        let event = format!("{line}id: {number}\ndata: {id}:{number}\n\n");
        stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
    }
    stream.write_all(b"0\r\n\r\n")?;
    Ok(ConnectionAction::KeepOpen)
}
