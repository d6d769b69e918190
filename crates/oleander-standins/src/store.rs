//! The object API stand-in.

use crate::rate::Rate;
use crate::reply::{self, with};
use crate::server::{Server, StopFlag};
use crate::store_state::{Condition, Event, Object, StoreState};
use crate::store_switches::StoreSwitches;
use crate::switches::{Switches, take_one};
use async_channel::{Receiver, Sender};
use futures_lite::FutureExt;
use parking_lot::Mutex;
use serde::Serialize;
use smol::Timer;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use trillium::Conn;
use trillium_router::{Router, RouterConnExt};

/// Longest value in bytes.
const VALUE_MAX_BYTES: usize = 1 << 20;
/// Longest wait of one watch in milliseconds.
const WATCH_MAX_MS: u64 = 60_000;

#[derive(Serialize)]
struct Versioned {
    version: u64,
}

#[derive(Serialize)]
struct Listing<'a> {
    revision: u64,
    objects: Vec<&'a Object>,
}

#[derive(Serialize)]
struct Watched {
    revision: u64,
    events: Vec<Event>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Call {
    Read,
    Write,
}

struct Rates {
    writes: Rate,
    reads: Rate,
}

struct Store {
    switches: Switches<StoreSwitches>,
    stopped: StopFlag,
    state: Mutex<StoreState>,
    rates: Mutex<Rates>,
    watchers: Mutex<Vec<Sender<()>>>,
}

/// Starts an object API stand-in.
pub fn spawn(listen: SocketAddr, switches: StoreSwitches) -> io::Result<Server> {
    let stopped = StopFlag::default();
    let rates = Rates {
        writes: Rate::new(switches.write_rate),
        reads: Rate::new(switches.read_rate),
    };
    let store = Arc::new(Store {
        switches: Switches::new(switches),
        stopped: stopped.clone(),
        state: Mutex::default(),
        rates: Mutex::new(rates),
        watchers: Mutex::default(),
    });
    let router = Router::new()
        .get("/objects", with(&store, list))
        .get("/objects/*", with(&store, get))
        .put("/objects/*", with(&store, put))
        .delete("/objects/*", with(&store, delete))
        .get("/watch", with(&store, watch))
        .get("/control", with(&store.switches, Switches::show))
        .post("/control", with(&store, change))
        .get("/record", with(&store, record));
    Server::bind(listen, stopped, router)
}

impl Store {
    /// Applies delay, outage and rate; the error is the answer to send.
    async fn admit(&self, conn: Conn, call: Call) -> Result<Conn, Conn> {
        self.switches.hold(&self.stopped, |s| s.hang).await;
        let switches = self.switches.get();
        if switches.delay_ms > 0 {
            Timer::after(Duration::from_millis(switches.delay_ms)).await;
        }
        if self.stopped.is_set() {
            return Err(reply::break_connection(conn));
        }
        if switches.outage {
            return Err(reply::error(conn, 503, "outage"));
        }
        match self.take(call, &switches) {
            Ok(()) => Ok(conn),
            Err(wait_ms) => Err(self.refuse(conn, wait_ms)),
        }
    }

    fn take(&self, call: Call, switches: &StoreSwitches) -> Result<(), u64> {
        let mut rates = self.rates.lock();
        let now = Instant::now();
        match call {
            Call::Read => rates.reads.take(switches.read_rate, now),
            Call::Write => rates.writes.take(switches.write_rate, now),
        }
    }

    fn refuse(&self, conn: Conn, wait_ms: u64) -> Conn {
        self.state.lock().record.refused += 1;
        let conn = conn.with_response_header("retry-after-ms", wait_ms.to_string());
        reply::error(conn, 429, "over the rate")
    }

    /// Writes and returns the answer, unless the switches say that it is lost.
    fn write(&self, conn: Conn, name: &str, value: Option<String>) -> Conn {
        let Some(condition) = condition(&conn) else {
            return reply::error(conn, 400, "the condition can't be read");
        };
        let history = self.switches.lock().history;
        let written = self.state.lock().write(name, value, condition, history);
        self.wake();
        if written.is_ok() && self.lose_answer() {
            return reply::break_connection(conn);
        }
        match written {
            Ok(version) => reply::json(conn, 200, &Versioned { version }),
            Err(version) => reply::json(conn, 412, &Versioned { version }),
        }
    }

    fn lose_answer(&self) -> bool {
        let writes = self.state.lock().record.writes;
        let mut switches = self.switches.lock();
        let every = switches.lose_every;
        take_one(&mut switches.lose_answers) || (every > 0 && writes.is_multiple_of(every))
    }

    fn wake(&self) {
        for tx in self.watchers.lock().drain(..) {
            let _ = tx.try_send(());
        }
    }

    /// Registers a watch; done before its events are read, so that no write is missed.
    fn register(&self) -> Receiver<()> {
        let (tx, rx) = async_channel::bounded(1);
        let mut watchers = self.watchers.lock();
        watchers.retain(|tx| !tx.is_closed());
        watchers.push(tx);
        rx
    }

    async fn wait(&self, rx: Receiver<()>, until: Instant) {
        let woken = async {
            let _ = rx.recv().await;
        };
        let timeout = async {
            Timer::at(until).await;
        };
        woken.or(timeout).await;
    }
}

fn condition(conn: &Conn) -> Option<Condition> {
    let headers = conn.request_headers();
    if let Some(version) = headers.get_str("If-Match") {
        let version = version.trim_matches('"').parse().ok()?;
        return Some(Condition::Match(version));
    }
    match headers.get_str("If-None-Match") {
        None => Some(Condition::Any),
        Some("*") => Some(Condition::Absent),
        Some(_) => None,
    }
}

fn object_name(conn: &Conn) -> String {
    conn.wildcard().unwrap_or_default().to_owned()
}

async fn list(store: Arc<Store>, conn: Conn) -> Conn {
    let conn = match store.admit(conn, Call::Read).await {
        Ok(conn) => conn,
        Err(conn) => return conn,
    };
    let prefix = reply::query(&conn, "prefix").unwrap_or_default();
    let mut state = store.state.lock();
    state.record.reads += 1;
    let listing = Listing {
        revision: state.revision,
        objects: state.list(&prefix),
    };
    reply::json(conn, 200, &listing)
}

async fn get(store: Arc<Store>, conn: Conn) -> Conn {
    let conn = match store.admit(conn, Call::Read).await {
        Ok(conn) => conn,
        Err(conn) => return conn,
    };
    let name = object_name(&conn);
    let mut state = store.state.lock();
    state.record.reads += 1;
    match state.get(&name) {
        Some(object) => reply::json(conn, 200, object),
        None => reply::error(conn, 404, "no such object"),
    }
}

async fn put(store: Arc<Store>, mut conn: Conn) -> Conn {
    let name = object_name(&conn);
    let Ok(value) = conn.request_body_string().await else {
        return reply::error(conn, 400, "the value is not UTF-8 text");
    };
    if value.len() > VALUE_MAX_BYTES {
        return reply::error(conn, 413, "the value is larger than 1 MiB");
    }
    match store.admit(conn, Call::Write).await {
        Ok(conn) => store.write(conn, &name, Some(value)),
        Err(conn) => conn,
    }
}

async fn delete(store: Arc<Store>, conn: Conn) -> Conn {
    let name = object_name(&conn);
    match store.admit(conn, Call::Write).await {
        Ok(conn) => store.write(conn, &name, None),
        Err(conn) => conn,
    }
}

async fn watch(store: Arc<Store>, conn: Conn) -> Conn {
    let conn = match store.admit(conn, Call::Read).await {
        Ok(conn) => conn,
        Err(conn) => return conn,
    };
    let prefix = reply::query(&conn, "prefix").unwrap_or_default();
    let after = number(&conn, "after");
    let wait_ms = number(&conn, "wait_ms").min(WATCH_MAX_MS);
    let until = Instant::now() + Duration::from_millis(wait_ms);
    loop {
        if store.stopped.is_set() {
            return reply::break_connection(conn);
        }
        if store.switches.lock().outage {
            return reply::error(conn, 503, "outage");
        }
        let rx = store.register();
        let watched = watched(&store, &prefix, after);
        let Some(watched) = watched else {
            return reply::error(conn, 410, "the history does not reach back so far");
        };
        if !watched.events.is_empty() || Instant::now() >= until {
            store.state.lock().record.watches += 1;
            return reply::json(conn, 200, &watched);
        }
        store.wait(rx, until).await;
    }
}

fn watched(store: &Store, prefix: &str, after: u64) -> Option<Watched> {
    let state = store.state.lock();
    let events = state.events_after(prefix, after)?;
    Some(Watched {
        revision: state.revision,
        events,
    })
}

fn number(conn: &Conn, name: &str) -> u64 {
    let value = reply::query(conn, name);
    value.and_then(|text| text.parse().ok()).unwrap_or_default()
}

async fn change(store: Arc<Store>, conn: Conn) -> Conn {
    let conn = store.switches.clone().change(conn).await;
    store.wake();
    conn
}

async fn record(store: Arc<Store>, conn: Conn) -> Conn {
    let record = store.state.lock().record.clone();
    reply::json(conn, 200, &record)
}
