//! The model engine stand-in.

use crate::batch::{Generate, Run};
use crate::engine_state::{Engine, Swap, Weights, WeightsOrder, run_batch};
use crate::engine_switches::EngineSwitches;
use crate::feed;
use crate::prefix_cache::CacheEvent;
use crate::reply::{self, with};
use crate::running::Serving;
use crate::server::{Server, StopFlag};
use crate::switches::Switches;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use smol::Timer;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use trillium::Conn;
use trillium_router::Router;
use trillium_smol::async_global_executor::spawn as spawn_task;

/// How an engine stand-in starts.
#[derive(Clone, Debug)]
pub struct EngineCfg {
    /// Model that it serves.
    pub model: String,
    /// Version that it serves.
    pub version: u64,
    /// Settings and fault switches.
    pub switches: EngineSwitches,
}

/// What truly happened at an engine.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct EngineRecord {
    /// Requests that started.
    pub runs: Vec<Run>,
    /// Weight orders, oldest first.
    pub swaps: Vec<Swap>,
    /// Tokens made.
    pub tokens: u64,
}

/// The answer of `GET /v1/version`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionReport {
    /// Model that serves.
    pub model: String,
    /// Version that serves, if the engine knows it.
    pub version: Option<u64>,
}

/// An exported KV cache.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct KvCache {
    /// Key under which it can be used after an import.
    pub handle: String,
    /// Tokens that it covers.
    pub tokens: u64,
    /// Opaque contents.
    pub blob: String,
}

#[derive(Deserialize)]
struct Named {
    request: String,
}

#[derive(Serialize)]
struct Cancelled {
    cancelled: bool,
}

#[derive(Serialize)]
struct Loaded {
    version: u64,
}

#[derive(Serialize)]
struct Refused {
    fence: u64,
}

#[derive(Serialize)]
struct CacheEvents {
    next: u64,
    events: Vec<CacheEvent>,
}

/// Starts a model engine stand-in.
pub fn spawn(listen: SocketAddr, cfg: EngineCfg) -> io::Result<Server> {
    let stopped = StopFlag::default();
    let (wake, woken) = async_channel::bounded(1);
    let weights = Weights {
        model: cfg.model,
        serving: Serving {
            version: cfg.version,
            known: true,
        },
        fence: 0,
        resolves: Instant::now(),
        swaps: Vec::new(),
    };
    let engine = Arc::new(Engine {
        switches: Switches::new(cfg.switches),
        stopped: stopped.clone(),
        started: Instant::now(),
        batch: Mutex::default(),
        weights: Mutex::new(weights),
        swapping: smol::lock::Mutex::new(()),
        wake,
    });
    let router = Router::new()
        .post("/v1/generate", with(&engine, generate))
        .post("/v1/cancel", with(&engine, cancel))
        .get("/v1/load", with(&engine, load))
        .get("/v1/version", with(&engine, version))
        .post("/v1/weights", with(&engine, weights_order))
        .post("/v1/kv/export", with(&engine, kv_export))
        .post("/v1/kv/import", with(&engine, kv_import))
        .get("/v1/cache/events", with(&engine, cache_events))
        .get("/control", with(&engine.switches, Switches::show))
        .post("/control", with(&engine, change))
        .get("/record", with(&engine, record));
    let server = Server::bind(listen, stopped, router)?;
    spawn_task(run_batch(Arc::clone(&engine), woken)).detach();
    Ok(server)
}

async fn generate(engine: Arc<Engine>, conn: Conn) -> Conn {
    let (conn, req) = match reply::read::<Generate>(conn).await {
        Ok(read) => read,
        Err(conn) => return conn,
    };
    engine.hold().await;
    if engine.stopped.is_set() {
        return reply::break_connection(conn);
    }
    let (tx, body) = feed::open();
    let _ = tx.try_send(Ok(feed::padding()));
    if !engine.batch.lock().push(req, tx) {
        return reply::error(conn, 503, "the queue is full");
    }
    engine.wake();
    conn.with_status(200)
        .with_response_header("content-type", "text/event-stream")
        .with_response_header("cache-control", "no-cache")
        .with_body(body)
        .halt()
}

async fn cancel(engine: Arc<Engine>, conn: Conn) -> Conn {
    let (conn, named) = match reply::read::<Named>(conn).await {
        Ok(read) => read,
        Err(conn) => return conn,
    };
    engine.hold().await;
    let cancelled = engine.batch.lock().cancel(&named.request);
    engine.wake();
    reply::json(conn, 200, &Cancelled { cancelled })
}

async fn load(engine: Arc<Engine>, conn: Conn) -> Conn {
    engine.hold().await;
    let switches = engine.switches.get();
    let at_us = engine.now_us().checked_sub(switches.load_lag_ms * 1000);
    let batch = engine.batch.lock();
    let load = batch.load_at(at_us.unwrap_or_default(), switches.capacity);
    reply::json(conn, 200, &load)
}

async fn version(engine: Arc<Engine>, conn: Conn) -> Conn {
    engine.hold().await;
    let known = {
        let weights = engine.weights.lock();
        weights.serving.known
    };
    if !known {
        engine.serve(|weights| {
            weights.serving.known = Instant::now() >= weights.resolves;
        });
    }
    let weights = engine.weights.lock();
    let report = VersionReport {
        model: weights.model.clone(),
        version: weights.serving.known.then_some(weights.serving.version),
    };
    reply::json(conn, 200, &report)
}

async fn weights_order(engine: Arc<Engine>, conn: Conn) -> Conn {
    let (conn, order) = match reply::read::<WeightsOrder>(conn).await {
        Ok(read) => read,
        Err(conn) => return conn,
    };
    engine.hold().await;
    let _swapping = engine.swapping.lock().await;
    if let Err(fence) = engine.take_fence(order.fence) {
        return reply::json(conn, 409, &Refused { fence });
    }
    let swap_ms = engine.switches.lock().swap_ms;
    Timer::after(Duration::from_millis(swap_ms)).await;
    if engine.stopped.is_set() {
        return reply::break_connection(conn);
    }
    if engine.finish_swap(&order) {
        let version = order.version;
        return reply::json(conn, 200, &Loaded { version });
    }
    reply::error(conn, 500, "the swap failed")
}

async fn kv_export(engine: Arc<Engine>, conn: Conn) -> Conn {
    let (conn, named) = match reply::read::<Named>(conn).await {
        Ok(read) => read,
        Err(conn) => return conn,
    };
    engine.hold().await;
    let progress = engine.batch.lock().progress(&named.request);
    let Some(tokens) = progress else {
        return reply::error(conn, 404, "no such request runs");
    };
    let handle = format!("{}@{tokens}", named.request);
    let blob = blake3::hash(handle.as_bytes()).to_hex().to_string();
    let cache = KvCache {
        handle,
        tokens,
        blob,
    };
    reply::json(conn, 200, &cache)
}

async fn kv_import(engine: Arc<Engine>, conn: Conn) -> Conn {
    let (conn, cache) = match reply::read::<KvCache>(conn).await {
        Ok(read) => read,
        Err(conn) => return conn,
    };
    engine.hold().await;
    let expected = blake3::hash(cache.handle.as_bytes()).to_hex();
    if cache.blob != expected.as_str() {
        return reply::error(conn, 400, "the blob does not belong to the handle");
    }
    engine.batch.lock().import(cache.handle.clone());
    reply::json(conn, 200, &cache)
}

async fn cache_events(engine: Arc<Engine>, conn: Conn) -> Conn {
    engine.hold().await;
    let after = reply::query(&conn, "after");
    let after = after.and_then(|text| text.parse().ok()).unwrap_or_default();
    let switches = engine.switches.get();
    let lag_us = switches.event_lag_ms * 1000;
    let now_us = engine.now_us();
    let batch = engine.batch.lock();
    let events = batch
        .cache
        .events(after, lag_us, switches.event_gap, now_us);
    let next = events.last().map_or(after, |event| event.seq);
    reply::json(conn, 200, &CacheEvents { next, events })
}

async fn change(engine: Arc<Engine>, conn: Conn) -> Conn {
    let conn = engine.switches.clone().change(conn).await;
    engine.wake();
    conn
}

async fn record(engine: Arc<Engine>, conn: Conn) -> Conn {
    let record = {
        let batch = engine.batch.lock();
        EngineRecord {
            runs: batch.runs.clone(),
            tokens: batch.tokens,
            swaps: engine.weights.lock().swaps.clone(),
        }
    };
    reply::json(conn, 200, &record)
}
