//! Contracts under races, outages, restarts and lost answers.

mod support;

use oleander_load::deployment::Deployment;
use oleander_standins::store_state::StoreRecord;
use std::time::Instant;
use support::{CONTRACT, HANG, cfg, pause, start, wait_in_force};

fn amended(share: u32) -> String {
    CONTRACT.replace("share = 40%", &format!("share = {share}%"))
}

#[test]
fn of_two_racing_operators_one_is_told() {
    smol::block_on(async {
        let deployment = start(cfg(0, 2)).await;
        let mut base = 1;
        for share in 10..20 {
            let (first, second) = (amended(share), amended(share + 20));
            let race = futures_lite::future::zip(
                deployment.put_contract(&first, base),
                deployment.put_contract(&second, base),
            );
            let (first, second) = race.await;
            assert_ne!(first.is_ok(), second.is_ok(), "{first:?} {second:?}");
            let refused = first.as_ref().err().or(second.as_ref().err());
            let refused = refused.map(ToString::to_string).unwrap_or_default();
            assert!(
                refused.contains("409") && refused.contains("generation"),
                "{refused}"
            );
            base = first.or(second).expect("one was accepted");
            wait_in_force(&deployment, base).await;
        }
    });
}

#[test]
fn an_accepted_amendment_whose_answer_was_lost_is_told_as_accepted() {
    smol::block_on(async {
        let deployment = start(cfg(0, 1)).await;
        let mut base = 1;
        for share in 10..20 {
            let store = deployment.platform.store_api();
            store
                .control(r#"{"lose_answers":1}"#)
                .await
                .expect("switches");
            let accepted = deployment.put_contract(&amended(share), base).await;
            base = accepted.expect("the writer finds out that its write took effect");
            wait_in_force(&deployment, base).await;
        }
        let record: StoreRecord = deployment
            .platform
            .store_api()
            .record()
            .await
            .expect("record");
        let writes = record
            .log
            .iter()
            .filter(|write| write.name.contains("contracts/"));
        assert_eq!(writes.count(), 11, "one write for each amendment");
    });
}

#[test]
fn an_entry_and_an_agent_that_start_during_an_outage_learn_from_their_peers() {
    smol::block_on(async {
        let mut deployment = start(cfg(0, 2)).await;
        let generation = deployment
            .put_contract(&amended(30), 1)
            .await
            .expect("accepted");
        wait_in_force(&deployment, generation).await;
        let store = deployment.platform.store_api();
        store.control(r#"{"outage":true}"#).await.expect("outage");
        let agent = support::names(&deployment, false).remove(0);
        deployment.entry_mut("entry-1").expect("an entry").crash();
        deployment
            .endpoint_mut(&agent)
            .expect("an agent")
            .agent
            .crash();
        deployment
            .entry_mut("entry-1")
            .expect("an entry")
            .start()
            .expect("started");
        deployment
            .endpoint_mut(&agent)
            .expect("an agent")
            .agent
            .start()
            .expect("started");
        wait_in_force(&deployment, generation).await;
        let refused = deployment.put_contract(&amended(35), generation).await;
        let refused = refused.expect_err("the store is down").to_string();
        assert!(refused.contains("store-unavailable") && refused.contains("\"ran\":\"no\""));
        store.control(r#"{"outage":false}"#).await.expect("over");
        let generation = deployment.put_contract(&amended(35), generation).await;
        wait_in_force(&deployment, generation.expect("accepted")).await;
    });
}

#[test]
fn a_whole_deployment_that_restarts_one_by_one_never_reverts() {
    smol::block_on(async {
        let mut deployment = start(cfg(0, 2)).await;
        let mut generation = 1;
        for (round, share) in (10..14).enumerate() {
            let accepted = deployment.put_contract(&amended(share), generation).await;
            generation = accepted.expect("accepted");
            let name = format!("entry-{}", round % 2 + 1);
            let entry = deployment.entry_mut(&name).expect("an entry");
            entry.crash();
            entry.start().expect("started");
            wait_in_force(&deployment, generation).await;
        }
    });
}

/// Ends all daemons at once and starts them again while the store is down.
async fn restart_all_in_an_outage(deployment: &mut Deployment, meanwhile: impl Fn(&Deployment)) {
    for entry in &mut deployment.entries {
        entry.crash();
    }
    for endpoint in &mut deployment.endpoints {
        endpoint.agent.crash();
    }
    let store = deployment.platform.store_api();
    store.control(r#"{"outage":true}"#).await.expect("outage");
    meanwhile(deployment);
    for entry in &mut deployment.entries {
        entry.start().expect("started");
    }
    for endpoint in &mut deployment.endpoints {
        endpoint.agent.start().expect("started");
    }
}

fn snapshot_of(deployment: &Deployment, entry: usize) -> std::path::PathBuf {
    deployment.entries[entry]
        .data_folder()
        .join("config.snapshot")
}

/// Waits until the snapshots of all entries hold the amendment to `share`. They are written in the
/// background, which takes longer while the disk is busy.
async fn wait_for_snapshots(deployment: &Deployment, share: u32) {
    let until = Instant::now() + HANG;
    let amended = format!("share = {share}%");
    for entry in 0..deployment.entries.len() {
        let file = snapshot_of(deployment, entry);
        let is_written = || {
            let text = std::fs::read(&file).unwrap_or_default();
            let mut parts = text.windows(amended.len());
            parts.any(|part| part == amended.as_bytes())
        };
        while !is_written() {
            assert!(Instant::now() < until, "no snapshot with {amended}");
            pause(20).await;
        }
    }
}

#[test]
fn a_cold_start_of_everything_in_an_outage_works_from_snapshots() {
    smol::block_on(async {
        let mut deployment = start(support::with_data(cfg(0, 2))).await;
        let generation = deployment
            .put_contract(&amended(30), 1)
            .await
            .expect("accepted");
        wait_in_force(&deployment, generation).await;
        wait_for_snapshots(&deployment, 30).await;
        restart_all_in_an_outage(&mut deployment, |_| ()).await;
        wait_in_force(&deployment, generation).await;
        let told = support::Quote::new(1)
            .send(deployment.entry_addresses()[0])
            .await;
        assert!(matches!(told, support::Told::Answer(_)), "{told:?}");
    });
}

#[test]
fn a_torn_snapshot_is_not_believed_and_a_peer_makes_up_for_it() {
    smol::block_on(async {
        let mut deployment = start(support::with_data(cfg(0, 1))).await;
        let generation = deployment
            .put_contract(&amended(30), 1)
            .await
            .expect("accepted");
        wait_in_force(&deployment, generation).await;
        wait_for_snapshots(&deployment, 30).await;
        restart_all_in_an_outage(&mut deployment, |deployment| {
            let file = snapshot_of(deployment, 0);
            let mut bytes = std::fs::read(&file).expect("a snapshot");
            bytes.truncate(bytes.len() / 2);
            std::fs::write(&file, bytes).expect("written");
        })
        .await;
        wait_in_force(&deployment, generation).await;
    });
}

/// Generation that an entry has in force; 0 for none.
async fn generation_at(deployment: &Deployment, entry: usize) -> u64 {
    let fleet = deployment.fleet(&deployment.entries[entry]).await;
    let config = fleet.expect("an answer").config;
    let generations = config.iter().map(|object| object.generation);
    generations.max().unwrap_or_default()
}

/// Looks at the generations of a process that others could make revert.
const LOOKS: u32 = 100;

#[test]
fn an_old_snapshot_makes_no_other_process_revert() {
    smol::block_on(async {
        let mut deployment = start(support::with_data(cfg(0, 1))).await;
        let old = deployment.put_contract(&amended(20), 1).await;
        let old = old.expect("accepted");
        wait_in_force(&deployment, old).await;
        wait_for_snapshots(&deployment, 20).await;
        deployment.entry_mut("entry-2").expect("an entry").crash();
        let new = deployment.put_contract(&amended(30), old).await;
        let new = new.expect("accepted");
        let store = deployment.platform.store_api();
        store.control(r#"{"outage":true}"#).await.expect("outage");
        let second = deployment.entry_mut("entry-2").expect("an entry");
        second.start().expect("started");
        let mut reverted = 0;
        for _ in 0..LOOKS {
            reverted += u32::from(generation_at(&deployment, 0).await < new);
            pause(20).await;
        }
        assert_eq!(reverted, 0, "looks that saw an older generation than {new}");
        wait_in_force(&deployment, new).await;
    });
}

#[test]
fn a_changed_snapshot_is_not_believed() {
    smol::block_on(async {
        let mut deployment = start(support::with_data(cfg(0, 1))).await;
        let generation = deployment.put_contract(&amended(30), 1).await;
        let generation = generation.expect("accepted");
        wait_in_force(&deployment, generation).await;
        wait_for_snapshots(&deployment, 30).await;
        restart_all_in_an_outage(&mut deployment, |deployment| {
            for entry in 0..deployment.entries.len() {
                let file = snapshot_of(deployment, entry);
                let text = std::fs::read(&file).expect("a snapshot");
                let from = b"share = 30%";
                let at = text.windows(from.len()).position(|part| part == from);
                let mut changed = text.clone();
                changed[at.expect("the share") + 8] = b'9';
                std::fs::write(&file, changed).expect("written");
            }
        })
        .await;
        let until = Instant::now() + HANG;
        for entry in 0..deployment.entries.len() {
            while deployment.fleet(&deployment.entries[entry]).await.is_err() {
                assert!(Instant::now() < until, "the entry does not answer");
                pause(20).await;
            }
            assert_eq!(generation_at(&deployment, entry).await, 0);
        }
        let store = deployment.platform.store_api();
        store.control(r#"{"outage":false}"#).await.expect("over");
        wait_in_force(&deployment, generation).await;
    });
}
