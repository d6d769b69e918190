//! The plain service stand-in: every call runs once.

use crate::reply::{self, with};
use crate::server::{Server, StopFlag};
use crate::slots::Slots;
use crate::switches::{Switches, take_one};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use smol::Timer;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use trillium::Conn;
use trillium_router::Router;

/// Most runs that the record keeps.
const RUNS_MAX: usize = 1_000_000;

/// Settings and fault switches of a plain service stand-in.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceSwitches {
    /// Most calls at once.
    pub capacity: usize,
    /// Length of one call, in milliseconds.
    pub service_ms: u64,
    /// Multiplies the length of a call.
    pub slow_factor: f64,
    /// The next connections close before the run.
    pub break_before: u64,
    /// The next calls run and their connections close without an answer.
    pub break_after: u64,
    /// The next calls answer 500 without running.
    pub fail: u64,
    /// Calls are held; those still held go on once this is off.
    pub hang: bool,
}

impl Default for ServiceSwitches {
    fn default() -> Self {
        Self {
            capacity: 16,
            service_ms: 5,
            slow_factor: 1.0,
            break_before: 0,
            break_after: 0,
            fail: 0,
            hang: false,
        }
    }
}

/// One call that ran.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRun {
    /// Header `X-Request-Id`.
    pub request: String,
    /// Path of the call.
    pub path: String,
    /// Header `Idempotency-Key`.
    pub key: String,
    /// Body of the call.
    pub body: String,
}

/// What truly happened at a service.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ServiceRecord {
    /// Calls that ran, in the order in which they started.
    pub runs: Vec<ServiceRun>,
}

#[derive(Serialize)]
struct Answer {
    path: String,
    run: usize,
    echo: String,
}

struct Service {
    switches: Switches<ServiceSwitches>,
    stopped: StopFlag,
    slots: Slots,
    record: Mutex<ServiceRecord>,
}

/// What the switches have in store for a call.
enum Fate {
    Run,
    BreakBefore,
    BreakAfter,
    Fail,
}

/// Starts a plain service stand-in.
pub fn spawn(listen: SocketAddr, switches: ServiceSwitches) -> io::Result<Server> {
    let stopped = StopFlag::default();
    let service = Arc::new(Service {
        switches: Switches::new(switches),
        stopped: stopped.clone(),
        slots: Slots::default(),
        record: Mutex::default(),
    });
    let router = Router::new()
        .post("/control", with(&service.switches, Switches::change))
        .get("/control", with(&service.switches, Switches::show))
        .get("/record", with(&service, record))
        .post("/", with(&service, call))
        .post("*", with(&service, call));
    Server::bind(listen, stopped, router)
}

impl Service {
    fn fate(&self) -> Fate {
        let mut switches = self.switches.lock();
        if take_one(&mut switches.break_before) {
            Fate::BreakBefore
        } else if take_one(&mut switches.fail) {
            Fate::Fail
        } else if take_one(&mut switches.break_after) {
            Fate::BreakAfter
        } else {
            Fate::Run
        }
    }

    async fn run(&self, run: ServiceRun) -> Answer {
        let path = run.path.clone();
        let echo = run.body.clone();
        let number = self.enter(run);
        let switches = self.switches.get();
        let length_ms = switches.service_ms as f64 * switches.slow_factor;
        Timer::after(Duration::from_secs_f64(length_ms / 1000.0)).await;
        Answer {
            path,
            run: number,
            echo,
        }
    }

    /// Adds a run to the record and returns its number, counted from 1.
    fn enter(&self, run: ServiceRun) -> usize {
        let mut record = self.record.lock();
        if record.runs.len() < RUNS_MAX {
            record.runs.push(run);
        }
        record.runs.len()
    }
}

async fn call(service: Arc<Service>, mut conn: Conn) -> Conn {
    let Ok(body) = conn.request_body_string().await else {
        return reply::error(conn, 400, "the body is not UTF-8 text");
    };
    let run = ServiceRun {
        request: header(&conn, "X-Request-Id"),
        path: conn.path().to_owned(),
        key: header(&conn, "Idempotency-Key"),
        body,
    };
    let fate = service.fate();
    match fate {
        Fate::BreakBefore => return reply::break_connection(conn),
        Fate::Fail => return reply::error(conn, 500, "failed without running"),
        Fate::Run | Fate::BreakAfter => {}
    }
    service.switches.hold(&service.stopped, |s| s.hang).await;
    let capacity = service.switches.lock().capacity;
    let _slot = service.slots.take(capacity).await;
    if service.stopped.is_set() {
        return reply::break_connection(conn);
    }
    let answer = service.run(run).await;
    if matches!(fate, Fate::BreakAfter) || service.stopped.is_set() {
        return reply::break_connection(conn);
    }
    reply::json(conn, 200, &answer)
}

fn header(conn: &Conn, name: &'static str) -> String {
    let value = conn.request_headers().get_str(name);
    value.unwrap_or_default().to_owned()
}

async fn record(service: Arc<Service>, conn: Conn) -> Conn {
    let record = service.record.lock().clone();
    reply::json(conn, 200, &record)
}
