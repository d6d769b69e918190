//! Streams, weight swaps and faults of the model engine stand-in.

use oleander_standins::api::Api;
use oleander_standins::batch::EngineLoad;
use oleander_standins::engine::{self, EngineCfg, EngineRecord, VersionReport};
use oleander_standins::engine_switches::EngineSwitches;
use oleander_standins::judge;
use oleander_standins::server::Server;
use serde_json::{Value, json};
use smol::Timer;
use std::net::SocketAddr;
use std::time::Duration;

fn engine(switches: EngineSwitches) -> Server {
    let cfg = EngineCfg {
        model: "advisor".to_owned(),
        version: 1,
        switches,
    };
    engine::spawn(SocketAddr::from(([127, 0, 0, 1], 0)), cfg).unwrap()
}

async fn generate(api: &Api, body: Value) -> Option<Vec<Value>> {
    let reply = api.post("/v1/generate", &body).await.ok()?;
    let lines = reply
        .body
        .lines()
        .filter_map(|line| line.strip_prefix("data: "));
    Some(
        lines
            .map(|line| serde_json::from_str(line).unwrap())
            .collect(),
    )
}

fn text(events: &[Value]) -> String {
    events
        .iter()
        .filter_map(|event| event["text"].as_str())
        .collect()
}

fn request(max_tokens: u64, resume_from: u64) -> Value {
    json!({
        "request": "r1",
        "prompt": "which seedlings?",
        "max_tokens": max_tokens,
        "priority": 0,
        "resume_from": resume_from,
    })
}

async fn order(api: &Api, fence: u64, version: u64) -> u16 {
    let body = json!({"fence": fence, "model": "advisor", "version": version});
    api.post("/v1/weights", &body).await.unwrap().status
}

async fn reported(api: &Api) -> Option<u64> {
    let reply = api.get("/v1/version").await.unwrap();
    reply.json::<VersionReport>().unwrap().version
}

/// Waits until the engine reports this many running and queued requests.
async fn settle(api: &Api, running: usize, queued: usize) {
    loop {
        let load: EngineLoad = api.get("/v1/load").await.unwrap().json().unwrap();
        if (load.running, load.queued) == (running, queued) {
            return;
        }
        Timer::after(Duration::from_millis(5)).await;
    }
}

#[test]
fn a_stream_is_whole_and_a_resumed_one_continues_it() {
    let server = engine(EngineSwitches::default());
    let api = Api::new(server.address());
    smol::block_on(async {
        let whole = generate(&api, request(20, 0)).await.unwrap();
        let last = whole.last().unwrap();
        assert_eq!((&last["done"], &last["total"]), (&json!(true), &json!(20)));
        let versions = judge::versions("which seedlings?", 20, &text(&whole));
        assert_eq!(versions, Some(vec![1; 20]));
        assert_eq!(judge::versions("another prompt", 20, &text(&whole)), None);
        let resumed = generate(&api, request(20, 7)).await.unwrap();
        assert_eq!(resumed[0]["offset"], 7);
        assert!(text(&whole).ends_with(&text(&resumed)));
        let record: EngineRecord = api.record().await.unwrap();
        assert_eq!(record.tokens, 33);
        assert!(record.runs.iter().all(|run| run.finished));
        assert!(record.runs[1].cached);
    });
}

#[test]
fn a_swap_changes_the_version_in_the_middle_of_a_stream() {
    let server = engine(EngineSwitches {
        token_us: 5000,
        swap_ms: 10,
        ..EngineSwitches::default()
    });
    let api = Api::new(server.address());
    smol::block_on(async {
        let stream = generate(&api, request(200, 0));
        let swap = async {
            settle(&api, 1, 0).await;
            Timer::after(Duration::from_millis(100)).await;
            order(&api, 1, 2).await
        };
        let (events, status) = futures_lite::future::zip(stream, swap).await;
        let events = events.unwrap();
        assert_eq!(status, 200);
        let versions = judge::versions("which seedlings?", 200, &text(&events)).unwrap();
        assert_eq!((versions[0], versions[199]), (1, 2));
        assert!(versions.is_sorted());
        for event in &events[..events.len() - 1] {
            let first = event["offset"].as_u64().unwrap() as usize;
            assert_eq!(event["version"], versions[first]);
        }
    });
}

#[test]
fn a_failed_swap_leaves_the_version_unknown_until_asked() {
    let server = engine(EngineSwitches {
        swap_ms: 1,
        fail_swaps: 1,
        ..EngineSwitches::default()
    });
    let api = Api::new(server.address());
    smol::block_on(async {
        assert_eq!(order(&api, 1, 2).await, 500);
        let unknown = generate(&api, request(8, 0)).await.unwrap();
        assert_eq!(unknown[0]["version"], Value::Null);
        assert_eq!(reported(&api).await, Some(2));
        let known = generate(&api, request(8, 0)).await.unwrap();
        assert_eq!(known[0]["version"], 2);
        assert_eq!(text(&unknown), text(&known));
        api.control(r#"{"fail_swaps":1,"fail_serves_new":false,"resolve_ms":600000}"#)
            .await
            .unwrap();
        assert_eq!(order(&api, 2, 3).await, 500);
        assert_eq!(reported(&api).await, None);
    });
}

#[test]
fn old_fencing_numbers_are_refused_only_by_engines_that_obey() {
    for obey_fence in [true, false] {
        let server = engine(EngineSwitches {
            swap_ms: 1,
            obey_fence,
            ..EngineSwitches::default()
        });
        let api = Api::new(server.address());
        smol::block_on(async {
            assert_eq!(order(&api, 5, 3).await, 200);
            let status = order(&api, 4, 2).await;
            assert_eq!(status, if obey_fence { 409 } else { 200 });
            assert_eq!(reported(&api).await, Some(if obey_fence { 3 } else { 2 }));
        });
    }
}

#[test]
fn a_broken_stream_has_no_end_mark() {
    let server = engine(EngineSwitches {
        break_streams: 1,
        ..EngineSwitches::default()
    });
    let api = Api::new(server.address());
    smol::block_on(async {
        assert_eq!(generate(&api, request(40, 0)).await, None);
        assert!(generate(&api, request(40, 0)).await.is_some());
        let record: EngineRecord = api.record().await.unwrap();
        assert!(!record.runs[0].finished);
        assert!(record.runs[0].tokens < 40);
    });
}

#[test]
fn a_cancelled_request_stops_and_greater_priority_goes_first() {
    let server = engine(EngineSwitches {
        capacity: 1,
        token_us: 20_000,
        ..EngineSwitches::default()
    });
    let api = Api::new(server.address());
    let named = |name: &str, priority: i64, max_tokens: u64| json!({"request": name, "prompt": name, "max_tokens": max_tokens, "priority": priority});
    smol::block_on(async {
        let first = generate(&api, named("first", 0, 100_000));
        let low = async {
            settle(&api, 1, 0).await;
            generate(&api, named("low", 1, 1)).await
        };
        let high = async {
            settle(&api, 1, 1).await;
            generate(&api, named("high", 2, 1)).await
        };
        let cancel = async {
            settle(&api, 1, 2).await;
            api.post("/v1/cancel", &json!({"request": "first"})).await
        };
        let queued = futures_lite::future::zip(low, high);
        let others = futures_lite::future::zip(queued, cancel);
        let (_, (_, cancelled)) = futures_lite::future::zip(first, others).await;
        assert_eq!(cancelled.unwrap().status, 200);
        let record: EngineRecord = api.record().await.unwrap();
        let order: Vec<_> = record.runs.iter().map(|run| run.request.as_str()).collect();
        assert_eq!(order, ["first", "high", "low"]);
        assert!(record.runs[0].cancelled && record.runs[1].finished);
    });
}

#[test]
fn an_exported_kv_cache_saves_the_prefill_elsewhere() {
    let slow = EngineSwitches {
        token_us: 20_000,
        ..EngineSwitches::default()
    };
    let from = engine(slow);
    let to = engine(EngineSwitches::default());
    let (from, to_api) = (Api::new(from.address()), Api::new(to.address()));
    smol::block_on(async {
        let stream = generate(&from, request(50, 0));
        let moved = async {
            settle(&from, 1, 0).await;
            Timer::after(Duration::from_millis(300)).await;
            let exported = from.post("/v1/kv/export", &json!({"request": "r1"})).await;
            let exported: Value = exported.unwrap().json().unwrap();
            assert!(exported["tokens"].as_u64().unwrap() > 0);
            to_api.post("/v1/kv/import", &exported).await.unwrap();
            let mut resumed = request(50, exported["tokens"].as_u64().unwrap());
            resumed["kv_handle"] = exported["handle"].clone();
            generate(&to_api, resumed).await.unwrap()
        };
        let (whole, resumed) = futures_lite::future::zip(stream, moved).await;
        assert!(text(&whole.unwrap()).ends_with(&text(&resumed)));
        let record: EngineRecord = to_api.record().await.unwrap();
        assert!(record.runs[0].cached);
    });
}
