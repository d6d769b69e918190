//! The weight store stand-in, whose rate all readers share.

use crate::reply::{self, with};
use crate::server::{Server, StopFlag};
use crate::switches::Switches;
use indexmap::{IndexMap, IndexSet};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use smol::Timer;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};
use trillium::Conn;
use trillium_router::{Router, RouterConnExt};

const SHARE_TICK_MS: u64 = 10;

/// Settings and fault switches of the weight store stand-in.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WeightsSwitches {
    /// Rate of all readers together, in megabytes per second.
    pub rate_mb_s: f64,
    /// Size of one version, in megabytes.
    pub size_mb: f64,
    /// Every call answers 503.
    pub outage: bool,
}

impl Default for WeightsSwitches {
    fn default() -> Self {
        Self {
            rate_mb_s: 1000.0,
            size_mb: 100.0,
            outage: false,
        }
    }
}

/// What truly happened at the weight store.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct WeightsRecord {
    /// Reads that were answered in full.
    pub reads: u64,
    /// Most readers at once.
    pub readers_max: usize,
}

#[derive(Serialize)]
struct Fetched {
    model: String,
    version: u64,
    size_mb: f64,
}

#[derive(Serialize)]
struct Versions {
    versions: Vec<u64>,
}

struct WeightStore {
    switches: Switches<WeightsSwitches>,
    stopped: StopFlag,
    versions: Mutex<IndexMap<String, IndexSet<u64>>>,
    readers: AtomicUsize,
    record: Mutex<WeightsRecord>,
}

/// Starts a weight store stand-in.
pub fn spawn(listen: SocketAddr, switches: WeightsSwitches) -> io::Result<Server> {
    let stopped = StopFlag::default();
    let store = Arc::new(WeightStore {
        switches: Switches::new(switches),
        stopped: stopped.clone(),
        versions: Mutex::default(),
        readers: AtomicUsize::new(0),
        record: Mutex::default(),
    });
    let router = Router::new()
        .put("/weights/:model/:version", with(&store, put))
        .get("/weights/:model/:version", with(&store, get))
        .get("/weights/:model", with(&store, list))
        .get("/control", with(&store.switches, Switches::show))
        .post("/control", with(&store.switches, Switches::change))
        .get("/record", with(&store, record));
    Server::bind(listen, stopped, router)
}

impl WeightStore {
    /// Waits until a reader's share of the rate adds up to one version.
    async fn transfer(&self) {
        let readers = self.readers.fetch_add(1, Ordering::AcqRel) + 1;
        {
            let mut record = self.record.lock();
            record.readers_max = record.readers_max.max(readers);
        }
        let mut done_mb = 0.0;
        let mut last = Instant::now();
        while done_mb < self.switches.lock().size_mb && !self.stopped.is_set() {
            Timer::after(Duration::from_millis(SHARE_TICK_MS)).await;
            let now = Instant::now();
            let elapsed = (now - last).as_secs_f64();
            let readers = self.readers.load(Ordering::Acquire).max(1);
            done_mb += elapsed * self.switches.lock().rate_mb_s / readers as f64;
            last = now;
        }
        self.readers.fetch_sub(1, Ordering::AcqRel);
    }

    fn has(&self, model: &str, version: u64) -> bool {
        let versions = self.versions.lock();
        let known = versions.get(model);
        known.is_some_and(|known| known.contains(&version))
    }
}

fn model(conn: &Conn) -> String {
    conn.param("model").unwrap_or_default().to_owned()
}

fn version(conn: &Conn) -> Option<u64> {
    conn.param("version")?.parse().ok()
}

async fn put(store: Arc<WeightStore>, conn: Conn) -> Conn {
    if store.switches.lock().outage {
        return reply::error(conn, 503, "outage");
    }
    let Some(version) = version(&conn) else {
        return reply::error(conn, 400, "the version is not a number");
    };
    let mut versions = store.versions.lock();
    versions.entry(model(&conn)).or_default().insert(version);
    drop(versions);
    reply::json(
        conn,
        200,
        &Versions {
            versions: vec![version],
        },
    )
}

async fn get(store: Arc<WeightStore>, conn: Conn) -> Conn {
    if store.switches.lock().outage {
        return reply::error(conn, 503, "outage");
    }
    let model = model(&conn);
    let version = version(&conn).filter(|version| store.has(&model, *version));
    let Some(version) = version else {
        return reply::error(conn, 404, "no such version");
    };
    store.transfer().await;
    if store.stopped.is_set() {
        return reply::break_connection(conn);
    }
    store.record.lock().reads += 1;
    let size_mb = store.switches.lock().size_mb;
    let fetched = Fetched {
        model,
        version,
        size_mb,
    };
    reply::json(conn, 200, &fetched)
}

async fn list(store: Arc<WeightStore>, conn: Conn) -> Conn {
    if store.switches.lock().outage {
        return reply::error(conn, 503, "outage");
    }
    let versions = {
        let versions = store.versions.lock();
        let known = versions.get(&model(&conn));
        known.map(|known| known.iter().copied().collect())
    };
    let versions = versions.unwrap_or_default();
    reply::json(conn, 200, &Versions { versions })
}

async fn record(store: Arc<WeightStore>, conn: Conn) -> Conn {
    let record = store.record.lock().clone();
    reply::json(conn, 200, &record)
}
