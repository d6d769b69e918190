//! Conditional writes, watches and faults of the object API stand-in.

use oleander_standins::api::{Api, Reply};
use oleander_standins::store;
use oleander_standins::store_state::StoreRecord;
use oleander_standins::store_switches::StoreSwitches;
use serde_json::Value;
use std::net::SocketAddr;
use trillium_client::Method;

const LOCAL: ([u8; 4], u16) = ([127, 0, 0, 1], 0);

async fn put(api: &Api, value: &str, header: &'static str, condition: &str) -> Option<Reply> {
    let conn = api.conn(Method::Put, "/objects/contracts/a");
    let conn = conn.with_request_header(header, condition.to_owned());
    api.send(conn.with_body(value.to_owned())).await.ok()
}

fn field(reply: &Reply, name: &str) -> Value {
    let body: Value = serde_json::from_str(&reply.body).unwrap();
    body[name].clone()
}

#[test]
fn a_conditional_write_takes_effect_once() {
    let store = store::spawn(SocketAddr::from(LOCAL), StoreSwitches::default()).unwrap();
    let api = Api::new(store.address());
    smol::block_on(async {
        let created = put(&api, "one", "if-none-match", "*").await.unwrap();
        assert_eq!(
            (created.status, field(&created, "version")),
            (200, 1.into())
        );
        let again = put(&api, "two", "if-none-match", "*").await.unwrap();
        assert_eq!((again.status, field(&again, "version")), (412, 1.into()));
        let amended = put(&api, "three", "if-match", "1").await.unwrap();
        assert_eq!(
            (amended.status, field(&amended, "version")),
            (200, 2.into())
        );
        let stale = put(&api, "four", "if-match", "1").await.unwrap();
        assert_eq!((stale.status, field(&stale, "version")), (412, 2.into()));
        let read = api.get("/objects/contracts/a").await.unwrap();
        assert_eq!(field(&read, "value"), "three");
        let listed = api.get("/objects?prefix=contracts/").await.unwrap();
        assert_eq!(field(&listed, "objects").as_array().unwrap().len(), 1);
    });
}

#[test]
fn a_watch_returns_what_was_written_after_its_revision() {
    let switches = StoreSwitches {
        history: 2,
        ..StoreSwitches::default()
    };
    let store = store::spawn(SocketAddr::from(LOCAL), switches).unwrap();
    let api = Api::new(store.address());
    smol::block_on(async {
        put(&api, "one", "x-none", "").await.unwrap();
        let path = "/watch?prefix=contracts/&after=1&wait_ms=20000";
        let watch = api.get(path);
        let write = put(&api, "two", "x-none", "");
        let (watched, _) = futures_lite::future::zip(watch, write).await;
        let events = field(&watched.unwrap(), "events");
        assert_eq!(events[0]["value"], "two");
        assert_eq!(events[0]["version"], 2);
        put(&api, "three", "x-none", "").await.unwrap();
        let old = api.get("/watch?prefix=&after=0&wait_ms=0").await.unwrap();
        assert_eq!(old.status, 410);
        let other = api
            .get("/watch?prefix=other/&after=3&wait_ms=0")
            .await
            .unwrap();
        assert_eq!(field(&other, "events").as_array().unwrap().len(), 0);
    });
}

#[test]
fn a_lost_answer_leaves_its_write_in_effect() {
    let store = store::spawn(SocketAddr::from(LOCAL), StoreSwitches::default()).unwrap();
    let api = Api::new(store.address());
    smol::block_on(async {
        api.control(r#"{"lose_answers":1}"#).await.unwrap();
        assert_eq!(put(&api, "one", "if-none-match", "*").await, None);
        let read = api.get("/objects/contracts/a").await.unwrap();
        assert_eq!(field(&read, "value"), "one");
        let next = put(&api, "two", "if-match", "1").await.unwrap();
        assert_eq!(next.status, 200);
        let record: StoreRecord = api.record().await.unwrap();
        assert_eq!(record.log.len(), 2);
    });
}

#[test]
fn an_outage_refuses_all_calls_and_keeps_the_objects() {
    let store = store::spawn(SocketAddr::from(LOCAL), StoreSwitches::default()).unwrap();
    let api = Api::new(store.address());
    smol::block_on(async {
        put(&api, "one", "x-none", "").await.unwrap();
        api.control(r#"{"outage":true}"#).await.unwrap();
        let refused = put(&api, "two", "x-none", "").await.unwrap();
        assert_eq!(refused.status, 503);
        assert_eq!(
            api.get("/watch?after=1&wait_ms=9000").await.unwrap().status,
            503
        );
        api.control(r#"{"outage":false}"#).await.unwrap();
        let read = api.get("/objects/contracts/a").await.unwrap();
        assert_eq!(field(&read, "value"), "one");
        assert!(api.control(r#"{"outrage":true}"#).await.is_err());
    });
}

#[test]
fn calls_over_the_rate_are_refused_with_the_time_to_come_back() {
    let switches = StoreSwitches {
        write_rate: 1,
        ..StoreSwitches::default()
    };
    let store = store::spawn(SocketAddr::from(LOCAL), switches).unwrap();
    let api = Api::new(store.address());
    smol::block_on(async {
        put(&api, "one", "x-none", "").await.unwrap();
        let conn = api
            .conn(Method::Put, "/objects/contracts/a")
            .with_body("two");
        let mut conn = conn;
        (&mut conn).await.unwrap();
        assert_eq!(conn.status().unwrap() as u16, 429);
        let hint = conn.response_headers().get_str("retry-after-ms").unwrap();
        assert!(hint.parse::<u64>().unwrap() <= 1000);
    });
}
