//! The list of instances and the weight store.

use oleander_standins::api::Api;
use oleander_standins::list::{self, Instance, InstanceList, InstanceState, ListSwitches, Role};
use oleander_standins::weights::{self, WeightsRecord, WeightsSwitches};
use std::net::SocketAddr;
use trillium_client::Method;

const LOCAL: ([u8; 4], u16) = ([127, 0, 0, 1], 0);

fn instance(name: &str) -> Instance {
    Instance {
        name: name.to_owned(),
        role: Role::Agent,
        http: "127.0.0.1:1".to_owned(),
        link: "tcp://127.0.0.1:2".to_owned(),
        domain: "wdh-a".to_owned(),
        region: "windhoek".to_owned(),
        state: InstanceState::Live,
    }
}

async fn names(api: &Api) -> Vec<String> {
    let list: InstanceList = api.get("/instances").await.unwrap().json().unwrap();
    list.instances
        .into_iter()
        .map(|instance| instance.name)
        .collect()
}

#[test]
fn the_list_answers_as_it_was() {
    let server = list::spawn(SocketAddr::from(LOCAL), ListSwitches::default()).unwrap();
    let api = Api::new(server.address());
    smol::block_on(async {
        api.put("/instances/a", &instance("a")).await.unwrap();
        api.put("/instances/b", &instance("b")).await.unwrap();
        assert_eq!(names(&api).await, ["a", "b"]);
        api.control(r#"{"lag_ms":600000}"#).await.unwrap();
        assert!(names(&api).await.is_empty());
        api.control(r#"{"lag_ms":0}"#).await.unwrap();
        let delete = api.conn(Method::Delete, "/instances/a");
        api.send(delete).await.unwrap();
        assert_eq!(names(&api).await, ["b"]);
        let wrong = api.put("/instances/c", &instance("d")).await.unwrap();
        assert_eq!(wrong.status, 400);
    });
}

#[test]
fn readers_share_the_rate_of_the_weight_store() {
    let switches = WeightsSwitches {
        rate_mb_s: 100.0,
        size_mb: 20.0,
        outage: false,
    };
    let server = weights::spawn(SocketAddr::from(LOCAL), switches).unwrap();
    let api = Api::new(server.address());
    smol::block_on(async {
        assert_eq!(api.get("/weights/advisor/1").await.unwrap().status, 404);
        api.put("/weights/advisor/1", &()).await.unwrap();
        let listed = api.get("/weights/advisor").await.unwrap();
        assert_eq!(listed.body, r#"{"versions":[1]}"#);
        let first = api.get("/weights/advisor/1");
        let second = api.get("/weights/advisor/1");
        let started = std::time::Instant::now();
        let (first, second) = futures_lite::future::zip(first, second).await;
        assert_eq!((first.unwrap().status, second.unwrap().status), (200, 200));
        // Two versions of 20 MB at 100 MB/s in all; a reader alone would take half of this.
        assert!(started.elapsed().as_millis() >= 380);
        let record: WeightsRecord = api.record().await.unwrap();
        assert_eq!((record.reads, record.readers_max), (2, 2));
    });
}
