//! Runs the examples of `docs/API.md`.

mod support;

use oleander_standins::api::Api;
use serde_json::Value;
use support::{cfg, start};
use trillium_client::Method;

const PAGE: &str = include_str!("../../../docs/API.md");
const REQUEST: &str = "```http\n";
const ANSWER: &str = "```json\n";
const END: &str = "\n```";

/// One example of the page.
#[derive(Debug)]
struct Example {
    method: Method,
    path: String,
    headers: Vec<(String, String)>,
    body: String,
    status: u16,
    shown: Value,
}

fn examples() -> Vec<Example> {
    PAGE.split(REQUEST).skip(1).map(example).collect()
}

fn example(text: &str) -> Example {
    let (request, rest) = text.split_once(END).expect("the end of a request");
    let (head, body) = request.split_once("\n\n").unwrap_or((request, ""));
    let mut lines = head.lines();
    let first = lines.next().expect("a request line");
    let (method, path) = first.split_once(' ').expect("method and path");
    let headers = lines.map(|line| line.split_once(": ").expect("a header"));
    let (told, rest) = rest.split_once(ANSWER).expect("an answer");
    let status = told.split('`').nth(1).expect("a status");
    let (shown, _) = rest.split_once(END).expect("the end of an answer");
    Example {
        method: method.parse().expect("a method"),
        path: path.to_owned(),
        headers: headers
            .map(|(name, value)| (name.to_owned(), value.to_owned()))
            .collect(),
        body: body.to_owned(),
        status: status.parse().expect("a number"),
        shown: serde_json::from_str(shown).expect("JSON"),
    }
}

/// Checks that `answer` has all that the page shows; `…` stands for any text, an empty list for
/// any list.
fn check(shown: &Value, answer: &Value, at: &str) {
    match (shown, answer) {
        (Value::Object(shown), Value::Object(answer)) => {
            for (key, value) in shown {
                let found = answer
                    .get(key)
                    .unwrap_or_else(|| panic!("{at}.{key} is missing"));
                check(value, found, &format!("{at}.{key}"));
            }
        }
        (Value::Array(shown), Value::Array(answer)) => {
            assert!(shown.len() <= answer.len(), "{at} is too short");
            for (value, found) in shown.iter().zip(answer) {
                check(value, found, at);
            }
        }
        (Value::String(text), Value::String(_)) if text == "…" => {}
        (Value::Number(_), Value::Number(_)) => {}
        _ => assert_eq!(shown, answer, "{at}"),
    }
}

#[test]
fn every_example_of_the_page_is_answered_as_shown() {
    smol::block_on(async {
        let deployment = start(cfg(2, 2)).await;
        let api = Api::new(deployment.entry_addresses()[0]);
        let examples = examples();
        assert!(examples.len() >= 8, "examples found: {}", examples.len());
        for example in examples {
            let mut conn = api.conn(example.method, &example.path);
            for (name, value) in example.headers {
                conn = conn.with_request_header(name, value);
            }
            let reply = api
                .send(conn.with_body(example.body))
                .await
                .expect("an answer");
            assert_eq!(
                reply.status, example.status,
                "{} {}",
                example.path, reply.body
            );
            let answer: Value = serde_json::from_str(&reply.body).expect("JSON");
            check(&example.shown, &answer, &example.path);
        }
    });
}
