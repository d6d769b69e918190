//! Bad input at each border is answered with a clear error or closed, and harms nothing else.

mod support;

use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use oleander_link::LinkKeys;
use oleander_link::wire::frame::Body;
use oleander_link::wire::{DrainOrder, Frame};
use oleander_standins::api::Api;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::json;
use smol::net::TcpStream;
use std::net::SocketAddr;
use std::time::Duration;
use support::{HANG, Quote, Told, cfg, start};
use trillium_client::Method;

/// Seed of the random input.
const SEED: u64 = 41;
/// Random messages at each border.
const MESSAGES: usize = 200;
/// Greatest random message, in bytes.
const MESSAGE_MAX_BYTES: usize = 2000;

/// Sends raw bytes and returns what comes back until the connection is closed, or nothing more
/// comes for a while.
async fn raw(address: SocketAddr, bytes: &[u8]) -> Vec<u8> {
    let mut stream = TcpStream::connect(address).await.expect("connected");
    let _ = stream.write_all(bytes).await;
    let mut answer = Vec::new();
    let reading = async { stream.read_to_end(&mut answer).await.map(|_| ()) };
    let quiet = async {
        smol::Timer::after(Duration::from_millis(50)).await;
        Ok(())
    };
    let _ = reading.or(quiet).await;
    answer
}

async fn still_serves(entry: SocketAddr) {
    let told = Quote::new(1).send(entry).await;
    assert!(matches!(told, Told::Answer(_)), "{told:?}");
}

#[test]
fn malformed_calls_get_a_clear_error() {
    smol::block_on(async {
        let deployment = start(cfg(1, 1)).await;
        let entry = deployment.entry_addresses()[0];
        let api = Api::new(entry);
        let json_type = "application/json";
        let big = format!(
            "{{\"model\":\"advisor\",\"prompt\":\"{}\"}}",
            "x".repeat(5 << 20)
        );
        let calls = [
            (
                Method::Post,
                "/v1/completions",
                json_type,
                "{",
                400,
                "bad-request",
            ),
            (
                Method::Post,
                "/v1/completions",
                json_type,
                "[1,2]",
                400,
                "bad-request",
            ),
            (
                Method::Post,
                "/v1/completions",
                "text/plain",
                "{}",
                415,
                "wrong-content-type",
            ),
            (
                Method::Post,
                "/v1/completions",
                json_type,
                &big,
                413,
                "too-large",
            ),
            (
                Method::Post,
                "/v1/services/nothing/x",
                json_type,
                "{}",
                403,
                "no-contract",
            ),
            (
                Method::Post,
                "/v1/keys",
                json_type,
                "{\"service\":1}",
                400,
                "bad-request",
            ),
            (Method::Get, "/v1/nothing", json_type, "", 404, "not-found"),
            (
                Method::Get,
                "/v1/trainers/t/steps/x/samples",
                json_type,
                "",
                400,
                "bad-request",
            ),
            (
                Method::Get,
                "/v1/trainers/t/steps/1/samples",
                json_type,
                "",
                404,
                "not-found",
            ),
            (
                Method::Post,
                "/v1/trainers/t/steps/1",
                json_type,
                "{}",
                400,
                "bad-request",
            ),
            (
                Method::Put,
                "/v1/contracts/kalahari",
                json_type,
                "[nonsense",
                400,
                "bad-request",
            ),
            (
                Method::Get,
                "/v1/requests/zz",
                json_type,
                "",
                404,
                "not-found",
            ),
        ];
        for (method, path, content_type, body, status, kind) in calls {
            let conn = api
                .conn(method, path)
                .with_request_header("content-type", content_type.to_owned())
                .with_body(body.to_owned());
            let reply = api.send(conn).await.expect("an answer");
            let shown: String = reply.body.chars().take(300).collect();
            assert_eq!(reply.status, status, "{method} {path}: {shown}");
            assert!(
                reply.body.contains(&format!("\"kind\":\"{kind}\"")),
                "{path}: {shown}"
            );
            assert!(reply.body.contains("\"ran\":\"no\""), "{path}: {shown}");
        }
        still_serves(entry).await;
    });
}

#[test]
fn wrong_headers_are_refused() {
    smol::block_on(async {
        let deployment = start(cfg(1, 1)).await;
        let entry = deployment.entry_addresses()[0];
        let api = Api::new(entry);
        let headers = [
            ("x-deadline-ms", "soon"),
            ("x-deadline-ms", "-5"),
            ("idempotency-key", "ok1~quote~agent~0~0~0.00"),
            ("x-class", "no-such-class"),
        ];
        for (name, value) in headers {
            let conn = api
                .conn(Method::Post, "/v1/services/quote/quote")
                .with_request_header("content-type", "application/json")
                .with_request_header(name, value.to_owned())
                .with_body("{}");
            let reply = api.send(conn).await.expect("an answer");
            let is_refused = (400..500).contains(&reply.status);
            // The class of a plain service comes from the contract.
            assert!(
                is_refused || name == "x-class",
                "{name}: {value}: {}",
                reply.body
            );
        }
        let long = format!(
            "GET /healthz HTTP/1.1\r\nhost: x\r\nx: {}\r\n\r\n",
            "y".repeat(1 << 17)
        );
        let answer = raw(entry, long.as_bytes()).await;
        let text = String::from_utf8_lossy(&answer);
        assert!(!text.starts_with("HTTP/1.1 200"), "{text}");
        still_serves(entry).await;
    });
}

#[test]
fn random_bytes_at_the_borders_harm_nothing() {
    smol::block_on(async {
        let deployment = start(cfg(1, 1)).await;
        let entry = &deployment.entries[0];
        let agent = &deployment.endpoints[0].agent;
        let mut rng = StdRng::seed_from_u64(SEED);
        for _ in 0..MESSAGES {
            let length = rng.random_range(0..MESSAGE_MAX_BYTES);
            let bytes: Vec<u8> = (0..length).map(|_| rng.random()).collect();
            let borders = [entry.http, entry.link, agent.http, agent.link];
            let border = borders[rng.random_range(0..borders.len())];
            raw(border, &bytes).await;
        }
        still_serves(entry.http).await;
    });
}

#[test]
fn half_open_and_slow_connections_do_not_keep_others_out() {
    smol::block_on(async {
        let deployment = start(cfg(1, 1)).await;
        let entry = deployment.entry_addresses()[0];
        let mut held = Vec::new();
        for _ in 0..MESSAGES {
            let mut stream = TcpStream::connect(entry).await.expect("connected");
            let part = b"POST /v1/completions HTTP/1.1\r\nhost: x\r\ncontent-length: 100\r\n";
            stream.write_all(part).await.expect("written");
            held.push(stream);
        }
        still_serves(entry).await;
    });
}

#[test]
fn frames_with_a_wrong_key_or_of_nonsense_are_dropped_and_counted() {
    smol::block_on(async {
        let deployment = start(cfg(1, 1)).await;
        let agent = &deployment.endpoints[0].agent;
        let mut link = TcpStream::connect(agent.link).await.expect("connected");
        link.write_all(b"\0SP\0\0\x50\0\0").await.expect("greeted");
        let order = Frame {
            from: "tcp://127.0.0.1:1".to_owned(),
            incarnation: 1,
            body: Some(Body::DrainOrder(DrainOrder { fence: 1 })),
        };
        let sealed = LinkKeys::derive(&["not the key".to_owned()]).seal(&order);
        let mut rng = StdRng::seed_from_u64(SEED);
        for _ in 0..MESSAGES {
            let mut bytes = sealed.clone();
            let cut = rng.random_range(0..bytes.len());
            bytes.truncate(cut);
            for message in [&bytes, &sealed] {
                let len = message.len() as u64;
                link.write_all(&len.to_be_bytes()).await.expect("sent");
                link.write_all(message).await.expect("sent");
            }
        }
        let until = std::time::Instant::now() + HANG;
        let expected = format!(
            "oleander_agent_events_total{{event=\"frame-refused\"}} {}",
            2 * MESSAGES
        );
        loop {
            let metrics = agent.api().get("/metrics").await.expect("metrics").body;
            if metrics.contains(&expected) {
                break;
            }
            assert!(std::time::Instant::now() < until, "{metrics}");
            support::pause(20).await;
        }
        let summary = agent.api().get("/v1/agent").await.expect("a summary").body;
        assert!(summary.contains("\"state\":\"serving\""), "{summary}");
    });
}

#[test]
fn callers_trainers_and_operators_without_their_token_are_refused() {
    smol::block_on(async {
        let mut deployment_cfg = cfg(1, 1);
        deployment_cfg.tokens = oleander_load::tokens::Tokens {
            operators: Some("operator-token".to_owned()),
            trainers: Some("trainer-token".to_owned()),
            callers: Some("caller-token".to_owned()),
        };
        let deployment = start(deployment_cfg).await;
        let entry = deployment.entry_addresses()[0];
        let body = json!({});
        for token in [None, Some("wrong"), Some("trainer-token")] {
            let api = Api::new(entry).with_token(token.map(str::to_owned));
            let call = api
                .post("/v1/services/quote/quote", &body)
                .await
                .expect("an answer");
            assert_eq!(call.status, 401, "{token:?}");
            let fleet = api.get("/v1/fleet").await.expect("an answer");
            assert_eq!(fleet.status, 401, "{token:?}");
        }
        let caller = Api::new(entry).with_token(Some("caller-token".to_owned()));
        let call = caller
            .post("/v1/services/quote/quote", &body)
            .await
            .expect("an answer");
        assert_eq!(call.status, 200);
        let step = caller
            .post("/v1/trainers/t/steps/1", &body)
            .await
            .expect("an answer");
        assert_eq!(step.status, 401);
    });
}
