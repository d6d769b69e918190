//! Runs and broken connections of the plain service stand-in.

use oleander_standins::api::Api;
use oleander_standins::service::{self, ServiceRecord, ServiceSwitches};
use std::net::SocketAddr;
use trillium_client::Method;

async fn call(api: &Api, request: &str) -> Option<u16> {
    let conn = api.conn(Method::Post, "/quote");
    let conn = conn.with_request_header("x-request-id", request.to_owned());
    let reply = api.send(conn.with_body("trays")).await;
    reply.ok().map(|reply| reply.status)
}

async fn ran(api: &Api) -> Vec<String> {
    let record: ServiceRecord = api.record().await.unwrap();
    record.runs.into_iter().map(|run| run.request).collect()
}

#[test]
fn the_record_tells_which_broken_calls_ran() {
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let service = service::spawn(listen, ServiceSwitches::default()).unwrap();
    let api = Api::new(service.address());
    smol::block_on(async {
        assert_eq!(call(&api, "whole").await, Some(200));
        api.control(r#"{"break_before":1}"#).await.unwrap();
        assert_eq!(call(&api, "before").await, None);
        api.control(r#"{"break_after":1}"#).await.unwrap();
        assert_eq!(call(&api, "after").await, None);
        api.control(r#"{"fail":1}"#).await.unwrap();
        assert_eq!(call(&api, "failed").await, Some(500));
        assert_eq!(ran(&api).await, ["whole", "after"]);
    });
}

#[test]
fn a_stopped_service_answers_nothing() {
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let service = service::spawn(listen, ServiceSwitches::default()).unwrap();
    let api = Api::new(service.address());
    smol::block_on(async {
        assert_eq!(call(&api, "whole").await, Some(200));
        service.stop();
        assert_eq!(call(&api, "late").await, None);
    });
}
