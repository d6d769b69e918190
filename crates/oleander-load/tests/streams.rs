//! Streams to callers go out event by event.

mod support;

use futures_lite::{AsyncReadExt, AsyncWriteExt};
use serde_json::json;
use smol::net::TcpStream;
use support::{cfg, control, start};

#[test]
fn the_first_event_of_a_stream_does_not_wait_for_the_second() {
    smol::block_on(async {
        let deployment = start(cfg(1, 0)).await;
        control(&deployment, true, r#"{"token_us":300000,"chunk_tokens":1}"#).await;
        let body = json!({ "model": "advisor", "prompt": "x", "max_tokens": 3, "stream": true });
        let body = body.to_string();
        let entry = deployment.entry_addresses()[0];
        let mut stream = TcpStream::connect(entry).await.expect("connected");
        let head = format!(
            "POST /v1/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
             content-type: application/json\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        stream
            .write_all(format!("{head}{body}").as_bytes())
            .await
            .expect("written");
        let mut seen = String::new();
        let mut buf = [0; 65_536];
        while !seen.contains("data: ") {
            let length = stream.read(&mut buf).await.expect("an answer");
            assert!(length > 0, "the answer ended: {seen}");
            seen.push_str(&String::from_utf8_lossy(&buf[..length]));
        }
        assert_eq!(seen.matches("data: ").count(), 1, "{seen}");
    });
}
