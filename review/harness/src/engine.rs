//! Stand-in for a model worker.
//!
//! The body of a request says what its run does: `events N` sends N events; `fail N` does so from
//! the third run on, and the first two are answered with 500 after 300 ms.

use crate::record::Record;
use crate::store::Store;
use oleander_platform_standins::connection_action::ConnectionAction;
use oleander_platform_standins::http_server::{respond, serve_until_crash};
use oleander_platform_standins::request::Request;
use serde_json::{Value, json};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::Duration;

/// Model that all engines hold.
pub const MODEL: &str = "advisor";
/// Runs of an item with `fail` that are answered with 500.
const FAILED_RUNS: usize = 2;
/// Time of a run that is answered with 500.
const FAIL_TIME: Duration = Duration::from_millis(300);
/// Three heartbeats, after which the entry of a worker that is gone is removed.
const LAPSE_TIME: Duration = Duration::from_millis(3600);
/// Time that a change of version takes.
const LOAD_TIME: Duration = Duration::from_millis(900);

/// A run that an engine has begun, or a request that it answered with 500.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub failed: bool,
    /// Version of each event made, in order.
    pub versions: Vec<u64>,
    /// Whether it has made the last event of its item.
    pub is_whole: bool,
    /// Whether it goes on.
    pub is_running: bool,
}

struct State {
    service: String,
    instance: String,
    software: String,
    born: u64,
    slots: usize,
    event_ms: u64,
    version: u64,
    loading: bool,
    seq: u64,
    running: usize,
    reports: usize,
    runs: Vec<Run>,
}

/// A stand-in engine; clones share it.
#[derive(Clone)]
pub struct Engine {
    pub addr: SocketAddr,
    state: Arc<Mutex<State>>,
    down: Arc<AtomicBool>,
    /// Items of runs that were answered with 500, of all engines.
    failures: Arc<Mutex<Vec<String>>>,
    store: Store,
    record: Record,
}

fn unix_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.expect("a time after 1970").as_millis() as u64
}

impl Engine {
    /// Starts an engine of a service at version 1 and lists it in the store.
    pub fn start(
        service: &str,
        name: &str,
        slots: usize,
        event_ms: u64,
        store: &Store,
        failures: &Arc<Mutex<Vec<String>>>,
        record: &Record,
    ) -> Self {
        let state = Arc::new(Mutex::new(State {
            service: service.to_owned(),
            instance: name.to_owned(),
            software: "v1".to_owned(),
            born: unix_ms(),
            slots,
            event_ms,
            version: 1,
            loading: false,
            seq: 0,
            running: 0,
            reports: 0,
            runs: Vec::new(),
        }));
        let cell: Arc<Mutex<Option<Engine>>> = Arc::default();
        let of_server = Arc::clone(&cell);
        let (addr, down) = serve_until_crash(move |req, stream| {
            let engine = of_server.lock().expect("an engine").clone();
            match engine {
                Some(engine) => engine.handle(req, stream),
                None => Ok(ConnectionAction::Close),
            }
        });
        let engine = Self {
            addr,
            state,
            down,
            failures: Arc::clone(failures),
            store: store.clone(),
            record: record.clone(),
        };
        *cell.lock().expect("an engine") = Some(engine.clone());
        engine.list();
        engine
    }

    /// Writes its entry to the list of workers.
    pub fn list(&self) {
        let state = self.state.lock().expect("a state");
        let spec = json!({"service": state.service, "addr": self.addr.to_string(), "zone": "wdh-a",
            "version": state.software, "slots": state.slots, "state": "ready", "cold_left_ms": 0,
            "seq": state.seq, "born": state.born, "stage": "both", "models": models(&state)});
        let instance = state.instance.clone();
        drop(state);
        self.store.put("servers", &instance, &spec);
    }

    /// Removes its entry from the list of workers once it has lapsed.
    pub fn unlist_after_lapse(&self) {
        let instance = self.state.lock().expect("a state").instance.clone();
        let store = self.store.clone();
        spawn(move || {
            sleep(LAPSE_TIME);
            store.remove("servers", &instance);
        });
    }

    /// Returns its service.
    pub fn service(&self) -> String {
        self.state.lock().expect("a state").service.clone()
    }

    /// Waits until its agent has asked for its report once more, as it does each 400 ms.
    pub fn wait_for_report(&self) {
        let reports = || self.state.lock().expect("a state").reports;
        let before = reports();
        while reports() == before {
            sleep(Duration::from_millis(2));
        }
    }

    /// Whether it has crashed and does not listen.
    pub fn is_down(&self) -> bool {
        self.down.load(Ordering::Relaxed)
    }

    /// Returns the items that it works on.
    pub fn running_items(&self) -> Vec<String> {
        let state = self.state.lock().expect("a state");
        let running = state.runs.iter().filter(|run| run.is_running);
        running.map(|run| run.id.clone()).collect()
    }

    /// Crashes: connections break, and nothing listens.
    pub fn crash(&self) {
        self.record.line(&format!("engine {} crashes", self.addr));
        self.down.store(true, Ordering::Relaxed);
        while TcpStream::connect(self.addr).is_ok() {
            sleep(Duration::from_millis(2));
        }
    }

    /// Starts again after a crash as a new incarnation, which lists itself after `register_after`. The
    /// entry of the one before lapses later.
    pub fn restart(&self, instance: &str, software: &str, register_after: Duration) {
        let before = {
            let mut state = self.state.lock().expect("a state");
            let before = std::mem::replace(&mut state.instance, instance.to_owned());
            state.software = software.to_owned();
            state.born = unix_ms();
            state.seq = 0;
            state.running = 0;
            state.loading = false;
            before
        };
        self.down.store(false, Ordering::Relaxed);
        while TcpStream::connect(self.addr).is_err() {
            sleep(Duration::from_millis(2));
        }
        self.record.line(&format!(
            "engine {} starts as {instance}, software {software}",
            self.addr
        ));
        sleep(register_after);
        self.list();
        self.record.line(&format!("engine {} is listed", self.addr));
        let store = self.store.clone();
        spawn(move || {
            sleep(LAPSE_TIME);
            store.remove("servers", &before);
        });
    }

    /// Returns all runs so far.
    pub fn runs(&self) -> Vec<Run> {
        self.state.lock().expect("a state").runs.clone()
    }

    pub fn running(&self) -> usize {
        self.state.lock().expect("a state").running
    }

    fn handle(&self, req: &Request, stream: &mut TcpStream) -> std::io::Result<ConnectionAction> {
        let instance = self.state.lock().expect("a state").instance.clone();
        let expected = req.header("expect-instance");
        if expected.is_some_and(|expected| expected != instance) {
            return respond(stream, 421, &[("not-run", "1")], b"");
        }
        match (req.method.as_str(), req.path()) {
            ("GET", "/-/report") => {
                let mut state = self.state.lock().expect("a state");
                state.reports += 1;
                let body = json!({"stage": "both", "models": models(&state), "busy": state.loading,
                    "seq": state.seq, "queued": 0, "running": state.running, "kv_used": 0,
                    "kv_total": 97451, "handles": 0, "born": state.born});
                drop(state);
                respond(stream, 200, &[], body.to_string().as_bytes())
            }
            ("POST", "/-/order") => self.order(req, stream),
            ("POST", _) => self.run(req, stream),
            _ => respond(stream, 404, &[], b""),
        }
    }

    fn order(&self, req: &Request, stream: &mut TcpStream) -> std::io::Result<ConnectionAction> {
        let body: Value = serde_json::from_slice(&req.body).unwrap_or_default();
        let version = body["version"].as_u64().unwrap_or_default();
        self.record.line(&format!("order {} {body}", self.addr));
        let status = {
            let mut state = self.state.lock().expect("a state");
            let expected = body["expected"].as_u64();
            if state.version >= version {
                200
            } else if state.loading || expected.is_some_and(|seq| seq != state.seq) {
                409
            } else {
                state.seq += 1;
                state.loading = true;
                202
            }
        };
        if status == 202 {
            let (engine, born) = (self.clone(), self.state.lock().expect("a state").born);
            spawn(move || {
                sleep(LOAD_TIME);
                let mut state = engine.state.lock().expect("a state");
                if state.born == born {
                    state.version = version;
                }
                state.loading = false;
                drop(state);
                engine
                    .record
                    .line(&format!("engine {} has version {version}", engine.addr));
                engine.list();
            });
        }
        respond(stream, status, &[], b"")
    }

    fn run(&self, req: &Request, stream: &mut TcpStream) -> std::io::Result<ConnectionAction> {
        let id = req.header("request-id").unwrap_or_default().to_owned();
        let after = req
            .header("last-event-id")
            .and_then(|text| text.parse().ok());
        let after: u64 = after.unwrap_or(0);
        let text = String::from_utf8_lossy(&req.body).into_owned();
        let (what, number) = text.split_once(' ').unwrap_or(("events", "1"));
        let number: u64 = number.parse().unwrap_or(1);
        let fails = what == "fail" && {
            let failures = self.failures.lock().expect("failures");
            failures.iter().filter(|item| **item == id).count() < FAILED_RUNS
        };
        let index = {
            let mut state = self.state.lock().expect("a state");
            if state.running >= state.slots || state.loading {
                drop(state);
                return respond(stream, 503, &[("request-id", &id), ("not-run", "1")], b"");
            }
            state.running += 1;
            state.runs.push(Run {
                id: id.clone(),
                failed: fails,
                versions: Vec::new(),
                is_whole: false,
                is_running: true,
            });
            state.runs.len() - 1
        };
        let born = self.state.lock().expect("a state").born;
        self.record
            .line(&format!("run {} item={id} after={after}", self.addr));
        let result = if fails {
            sleep(FAIL_TIME);
            self.failures.lock().expect("failures").push(id.clone());
            self.record.line(&format!("answer 500 item={id}"));
            respond(stream, 500, &[("request-id", &id)], b"failed")
        } else {
            self.events(&id, (after, number), (index, born), stream)
        };
        let mut state = self.state.lock().expect("a state");
        state.runs[index].is_running = false;
        let (whole, events) = (state.runs[index].is_whole, state.runs[index].versions.len());
        self.record.line(&format!(
            "run ends {} item={id} events={events} whole={whole}",
            self.addr
        ));
        if state.born == born {
            state.running -= 1;
        }
        result
    }

    fn events(
        &self,
        id: &str,
        (after, total): (u64, u64),
        (index, born): (usize, u64),
        stream: &mut TcpStream,
    ) -> std::io::Result<ConnectionAction> {
        let mut version = self.state.lock().expect("a state").version;
        let head = format!(
            "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nrequest-id: {id}\r\n\
             server-stamp: run-{id}\r\nweight-versions: {version}\r\n\
             transfer-encoding: chunked\r\n\r\n"
        );
        stream.write_all(head.as_bytes())?;
        for number in after + 1..=total {
            let interval = self.state.lock().expect("a state").event_ms;
            sleep(Duration::from_millis(interval));
            if self.down.load(Ordering::Relaxed) {
                return Ok(ConnectionAction::Close);
            }
            let current = {
                let mut state = self.state.lock().expect("a state");
                if state.born != born {
                    return Ok(ConnectionAction::Close);
                }
                let current = state.version;
                state.runs[index].versions.push(current);
                state.runs[index].is_whole = number == total;
                current
            };
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
}

fn models(state: &State) -> Value {
    json!([{"name": MODEL, "version": state.version, "adapters": []}])
}
