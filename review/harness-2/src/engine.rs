//! Stand-in for a model worker: runs items as streams of events, with a number of slots.

use crate::http::{Request, respond, serve};
use crate::json::{Json, number, object, text};
use crate::record::Record;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Requests that wait for a slot.
const QUEUE: usize = 24;
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// A request for an item that reached a worker.
#[derive(Clone, Debug)]
pub struct Run {
    pub item: String,
    pub arrived: Instant,
    /// When it began to run; `None` while it waits for a slot.
    pub began: Option<Instant>,
    /// When it was no longer at the worker; `None` while it is.
    pub left: Option<Instant>,
    pub finished: bool,
}

struct State {
    runs: Vec<Run>,
    running: usize,
    waiting: usize,
}

#[derive(Clone)]
pub struct Engine {
    pub id: String,
    pub service: String,
    pub model: String,
    pub zone: String,
    pub slots: usize,
    pub born: u64,
    pub addr: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

/// What an engine is like.
pub struct EngineSpec<'a> {
    pub ip: &'a str,
    pub id: &'a str,
    pub service: &'a str,
    pub model: &'a str,
    pub zone: &'a str,
    pub slots: usize,
    pub event_interval: Duration,
}

impl Engine {
    /// Starts an engine whose runs send as many events as the body of the request says.
    pub fn start(spec: &EngineSpec<'_>, record: Record) -> Self {
        let state = State {
            runs: Vec::new(),
            running: 0,
            waiting: 0,
        };
        let shared = Arc::new((Mutex::new(state), Condvar::new()));
        let born = crate::unix_ms();
        let server = Server {
            id: spec.id.to_owned(),
            model: spec.model.to_owned(),
            slots: spec.slots,
            interval: spec.event_interval,
            born,
            shared: Arc::clone(&shared),
            record,
        };
        let addr = serve(spec.ip, move |req, stream| server.handle(req, stream));
        Self {
            id: spec.id.to_owned(),
            service: spec.service.to_owned(),
            model: spec.model.to_owned(),
            zone: spec.zone.to_owned(),
            slots: spec.slots,
            born,
            addr,
            shared,
        }
    }

    /// Returns its entry in the platform's list.
    pub fn entry(&self) -> Json {
        object(&[
            ("service", text(&self.service)),
            ("addr", text(&self.addr.to_string())),
            ("zone", text(&self.zone)),
            ("version", text("v1")),
            ("slots", number(self.slots as u64)),
            ("state", text("ready")),
            ("cold_left_ms", number(0)),
            ("stage", text("both")),
            ("models", models(&self.model)),
            ("seq", number(0)),
            ("born", number(self.born)),
        ])
    }

    pub fn runs(&self) -> Vec<Run> {
        self.shared.0.lock().unwrap().runs.clone()
    }

    pub fn running(&self) -> usize {
        self.shared.0.lock().unwrap().running
    }
}

fn models(model: &str) -> Json {
    let model = object(&[
        ("name", text(model)),
        ("version", number(1)),
        ("adapters", Json::List(Vec::new())),
    ]);
    Json::List(vec![model])
}

struct Server {
    id: String,
    model: String,
    slots: usize,
    interval: Duration,
    born: u64,
    shared: Arc<(Mutex<State>, Condvar)>,
    record: Record,
}

impl Server {
    fn handle(&self, req: &Request, stream: &mut TcpStream) -> std::io::Result<bool> {
        let request_id = req.header("request-id").unwrap_or_default().to_owned();
        let expected = req.header("expect-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            let headers = [("request-id", request_id.as_str()), ("not-run", "1")];
            self.record.line(&format!(
                "{}: 421 to {request_id}, which expects {expected:?}",
                self.id
            ));
            return respond(stream, 421, &headers, b"");
        }
        match (req.method.as_str(), req.path()) {
            ("GET", "/-/report") => self.report(stream),
            // No version is named in these cases.
            ("POST", "/-/order") => respond(stream, 400, &[], b""),
            ("POST", _) => self.run(req, &request_id, stream),
            _ => respond(stream, 404, &[], b""),
        }
    }

    fn report(&self, stream: &mut TcpStream) -> std::io::Result<bool> {
        let (running, waiting) = {
            let state = self.shared.0.lock().unwrap();
            (state.running as u64, state.waiting as u64)
        };
        let body = object(&[
            ("stage", text("both")),
            ("models", models(&self.model)),
            ("busy", Json::Bool(false)),
            ("seq", number(0)),
            ("queued", number(waiting)),
            ("running", number(running)),
            ("kv_used", number(running * 300)),
            ("kv_total", number(36_985)),
            ("handles", number(0)),
            ("born", number(self.born)),
        ]);
        let headers = [("content-type", "application/json")];
        respond(stream, 200, &headers, body.to_string().as_bytes())
    }

    fn run(&self, req: &Request, item: &str, stream: &mut TcpStream) -> std::io::Result<bool> {
        let index = {
            let mut state = self.shared.0.lock().unwrap();
            if state.running >= self.slots && state.waiting >= QUEUE {
                drop(state);
                let headers = [("request-id", item), ("not-run", "1")];
                return respond(stream, 503, &headers, b"");
            }
            state.runs.push(Run {
                item: item.to_owned(),
                arrived: Instant::now(),
                began: None,
                left: None,
                finished: false,
            });
            state.runs.len() - 1
        };
        self.record.line(&format!("{}: {item} arrives", self.id));
        let result = self.run_in_slot(req, item, index, stream);
        let mut state = self.shared.0.lock().unwrap();
        state.runs[index].left = Some(Instant::now());
        state.runs[index].finished = result.is_ok();
        if state.runs[index].began.is_some() {
            state.running -= 1;
        }
        drop(state);
        self.shared.1.notify_all();
        let end = if result.is_ok() {
            "finished"
        } else {
            "dropped"
        };
        self.record.line(&format!("{}: {item} {end}", self.id));
        result
    }

    fn run_in_slot(
        &self,
        req: &Request,
        item: &str,
        index: usize,
        stream: &mut TcpStream,
    ) -> std::io::Result<bool> {
        {
            let mut state = self.shared.0.lock().unwrap();
            state.waiting += 1;
            while state.running >= self.slots {
                state = self.shared.1.wait_timeout(state, CHECK_INTERVAL).unwrap().0;
                if has_left(stream) {
                    state.waiting -= 1;
                    return Err(std::io::ErrorKind::BrokenPipe.into());
                }
            }
            state.waiting -= 1;
            state.running += 1;
            state.runs[index].began = Some(Instant::now());
        }
        let events: u64 = String::from_utf8_lossy(&req.body)
            .trim()
            .parse()
            .unwrap_or(1);
        let after = req
            .header("last-event-id")
            .and_then(|text| text.parse().ok());
        let head = format!(
            "HTTP/1.1 200 OK\r\nrequest-id: {item}\r\nserver-stamp: {}.{item}\r\n\
             weight-versions: 1\r\ncontent-type: text/event-stream\r\n\
             transfer-encoding: chunked\r\n\r\n",
            self.id
        );
        stream.write_all(head.as_bytes())?;
        for n in after.unwrap_or(0) + 1..=events {
            let until = Instant::now() + self.interval;
            while Instant::now() < until {
                thread::sleep(CHECK_INTERVAL.min(until - Instant::now().min(until)));
                if has_left(stream) {
                    return Err(std::io::ErrorKind::BrokenPipe.into());
                }
            }
            let event = format!("id: {n}\ndata: {item}:{n}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            stream.write_all(chunk.as_bytes())?;
        }
        stream.write_all(b"0\r\n\r\n")?;
        Ok(true)
    }
}

/// Whether the other side has closed the connection.
fn has_left(stream: &TcpStream) -> bool {
    stream.set_nonblocking(true).ok();
    let peeked = stream.peek(&mut [0; 1]);
    stream.set_nonblocking(false).ok();
    match peeked {
        Ok(0) => true,
        Ok(_) => false,
        Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
    }
}
