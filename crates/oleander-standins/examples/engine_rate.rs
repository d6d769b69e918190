//! Prints the tokens per second that one engine stand-in streams to readers on loopback, of 100,000
//! asked for.

use futures_lite::{AsyncReadExt, StreamExt, stream};
use oleander_standins::api::Api;
use oleander_standins::batch::Generate;
use oleander_standins::engine::{self, EngineCfg, EngineRecord};
use oleander_standins::engine_switches::EngineSwitches;
use std::net::SocketAddr;
use std::time::Instant;
use trillium_client::Method;

const READERS: u64 = 64;
const TOKENS: u64 = 6_400;
/// Pace that makes 100,000 tokens a second in all.
const TOKEN_US: u64 = 640;

fn main() {
    let cfg = EngineCfg {
        model: "model".to_owned(),
        version: 1,
        switches: EngineSwitches {
            capacity: READERS as usize,
            token_us: TOKEN_US,
            chunk_tokens: 16,
            ..EngineSwitches::default()
        },
    };
    let server = engine::spawn(SocketAddr::from(([127, 0, 0, 1], 0)), cfg).expect("bind");
    let api = Api::new(server.address());
    let started = Instant::now();
    let readers: Vec<_> = (0..READERS)
        .map(|reader| smol::spawn(read(api.clone(), reader)))
        .collect();
    let bytes: usize = smol::block_on(
        stream::iter(readers)
            .then(|task| task)
            .fold(0, |a, b| a + b),
    );
    let seconds = started.elapsed().as_secs_f64();
    let record: EngineRecord = smol::block_on(api.record()).expect("record");
    let rate = record.tokens as f64 / seconds;
    println!(
        "tokens={} bytes={bytes} seconds={seconds:.2} rate={rate:.0}",
        record.tokens
    );
}

async fn read(api: Api, reader: u64) -> usize {
    let req = Generate {
        request: reader.to_string(),
        prompt: format!("prompt {reader} {}", "seedling ".repeat(40)),
        max_tokens: TOKENS,
        priority: 0,
        resume_from: 0,
        kv_handle: None,
    };
    let body = serde_json::to_vec(&req).expect("serialise");
    let mut conn = api.conn(Method::Post, "/v1/generate").with_body(body);
    (&mut conn).await.expect("answer");
    let mut buf = Vec::new();
    conn.response_body()
        .read_to_end(&mut buf)
        .await
        .expect("body");
    buf.len()
}
