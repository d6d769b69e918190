//! Weight rollouts through real entries and agents.

mod support;

use oleander_load::deployment::Deployment;
use oleander_standins::engine::VersionReport;
use serde_json::json;
use std::time::Instant;
use support::{HANG, cfg, control, pause, start};

async fn publish(deployment: &Deployment, entry: usize, version: u64) {
    let api = deployment.entries[entry].api();
    let reply = api
        .post(
            "/v1/models/advisor/versions",
            &json!({ "version": version }),
        )
        .await;
    assert_eq!(reply.expect("an answer").status, 202);
}

async fn versions(deployment: &Deployment) -> Vec<Option<u64>> {
    let mut versions = Vec::new();
    for endpoint in &deployment.endpoints {
        let reply = endpoint.api().get("/v1/version").await.expect("an answer");
        versions.push(reply.json::<VersionReport>().expect("a version").version);
    }
    versions
}

async fn wait_version(deployment: &Deployment, version: u64) {
    let until = Instant::now() + HANG;
    loop {
        let found = versions(deployment).await;
        if found.iter().all(|one| *one == Some(version)) {
            return;
        }
        assert!(Instant::now() < until, "version {version}: {found:?}");
        pause(50).await;
    }
}

#[test]
fn a_version_reaches_all_engines_whichever_entry_dies_meanwhile() {
    smol::block_on(async {
        for dies in 0..2 {
            let mut deployment = start(cfg(5, 0)).await;
            control(&deployment, true, r#"{"swap_ms":400}"#).await;
            publish(&deployment, 1 - dies, 2).await;
            pause(300).await;
            deployment.entries[dies].crash();
            wait_version(&deployment, 2).await;
        }
    });
}

#[test]
fn a_newer_version_replaces_one_under_way_and_failed_swaps_are_made_up_for() {
    smol::block_on(async {
        let deployment = start(cfg(5, 0)).await;
        control(&deployment, true, r#"{"swap_ms":400,"fail_swaps":1}"#).await;
        publish(&deployment, 0, 2).await;
        pause(500).await;
        publish(&deployment, 1, 3).await;
        publish(&deployment, 0, 2).await;
        wait_version(&deployment, 3).await;
        for endpoint in &deployment.endpoints {
            let record = endpoint.engine_record().await.expect("a record");
            let fences: Vec<u64> = record.swaps.iter().map(|swap| swap.fence).collect();
            assert!(fences.is_sorted(), "{fences:?}");
        }
    });
}

#[test]
fn a_version_reaches_a_fleet_larger_than_the_subset_of_an_entry() {
    smol::block_on(async {
        let mut large = cfg(30, 0);
        large.entries = 3;
        let deployment = start(large).await;
        publish(&deployment, 0, 2).await;
        wait_version(&deployment, 2).await;
    });
}
