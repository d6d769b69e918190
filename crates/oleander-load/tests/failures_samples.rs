//! Samples under failure, judged by the trainer and by the text of the samples.

mod support;

use support::{
    cfg, check_trainer, control, names, pause, start, start_trainer, trainer_cfg, wait_delivered,
};

#[test]
fn an_entry_that_is_killed_in_the_middle_of_a_step_loses_and_doubles_nothing() {
    smol::block_on(async {
        let mut deployment = start(cfg(3, 0)).await;
        let entries = deployment.entry_addresses();
        let trainer_cfg = trainer_cfg(&entries);
        let trainer = start_trainer(trainer_cfg.clone());
        wait_delivered(&trainer, 10).await;
        deployment.entry_mut("entry-1").expect("an entry").crash();
        wait_delivered(&trainer, 60).await;
        deployment
            .entry_mut("entry-1")
            .expect("an entry")
            .start()
            .expect("started");
        wait_delivered(&trainer, 90).await;
        deployment.entry_mut("entry-2").expect("an entry").crash();
        check_trainer(&trainer, &trainer_cfg).await;
    });
}

#[test]
fn an_entry_that_is_paused_and_wakes_later_doubles_nothing() {
    smol::block_on(async {
        let mut deployment = start(cfg(3, 0)).await;
        let entries = deployment.entry_addresses();
        let mut trainer_cfg = trainer_cfg(&entries);
        trainer_cfg.wait_ms = 500;
        let trainer = start_trainer(trainer_cfg.clone());
        wait_delivered(&trainer, 10).await;
        for name in ["entry-1", "entry-2"] {
            let entry = deployment.entry_mut(name).expect("an entry");
            entry.process().expect("a process").pause().expect("paused");
            pause(1500).await;
            entry
                .process()
                .expect("a process")
                .resume()
                .expect("resumed");
            pause(300).await;
        }
        check_trainer(&trainer, &trainer_cfg).await;
    });
}

#[test]
fn an_agent_and_an_engine_that_die_leave_whole_and_right_samples() {
    smol::block_on(async {
        let mut deployment = start(cfg(3, 0)).await;
        let entries = deployment.entry_addresses();
        let engines = names(&deployment, true);
        let trainer_cfg = trainer_cfg(&entries);
        let trainer = start_trainer(trainer_cfg.clone());
        wait_delivered(&trainer, 10).await;
        deployment
            .endpoint_mut(&engines[0])
            .expect("an engine")
            .agent
            .crash();
        wait_delivered(&trainer, 40).await;
        deployment
            .endpoint_mut(&engines[1])
            .expect("an engine")
            .crash()
            .await
            .expect("crashed");
        wait_delivered(&trainer, 70).await;
        deployment
            .endpoint_mut(&engines[0])
            .expect("an engine")
            .agent
            .start()
            .expect("started");
        deployment
            .endpoint_mut(&engines[1])
            .expect("an engine")
            .restart()
            .expect("restarted");
        check_trainer(&trainer, &trainer_cfg).await;
    });
}

#[test]
fn streams_that_break_in_the_middle_are_continued() {
    smol::block_on(async {
        let deployment = start(cfg(2, 0)).await;
        let entries = deployment.entry_addresses();
        control(&deployment, true, r#"{"break_streams":5}"#).await;
        let trainer_cfg = trainer_cfg(&entries);
        let trainer = start_trainer(trainer_cfg.clone());
        check_trainer(&trainer, &trainer_cfg).await;
    });
}

#[test]
fn versions_that_change_in_the_middle_of_samples_are_attributed() {
    smol::block_on(async {
        let deployment = start(cfg(2, 0)).await;
        let entries = deployment.entry_addresses();
        // Samples of up to 4 s, and a version after each step, so that swaps meet running streams.
        control(&deployment, true, r#"{"token_us":10000}"#).await;
        let publisher = support::trainer_cfg(&entries);
        let publisher_server = start_trainer(publisher.clone());
        let mut reader = support::trainer_cfg(&entries);
        reader.trainer = "quality-notes".to_owned();
        reader.publish = false;
        reader.seed = 11;
        let reader_server = start_trainer(reader.clone());
        check_trainer(&publisher_server, &publisher).await;
        check_trainer(&reader_server, &reader).await;
        let mut swaps = 0;
        for endpoint in &deployment.endpoints {
            let record = endpoint.engine_record().await.expect("a record");
            swaps += record.swaps.iter().filter(|swap| swap.ok).count();
        }
        assert!(swaps >= 4, "swaps that were made: {swaps}");
    });
}

#[test]
fn failed_swaps_yield_no_sample_of_an_unknown_version() {
    smol::block_on(async {
        let deployment = start(cfg(3, 0)).await;
        let entries = deployment.entry_addresses();
        control(&deployment, true, r#"{"fail_swaps":2}"#).await;
        let trainer_cfg = trainer_cfg(&entries);
        let trainer = start_trainer(trainer_cfg.clone());
        check_trainer(&trainer, &trainer_cfg).await;
        let mut failed = 0;
        for endpoint in &deployment.endpoints {
            let record = endpoint.engine_record().await.expect("a record");
            failed += record.swaps.iter().filter(|swap| !swap.ok).count();
        }
        assert!(failed >= 2, "swaps that failed: {failed}");
    });
}

#[test]
fn steps_go_on_while_the_store_is_down() {
    smol::block_on(async {
        let deployment = start(cfg(2, 0)).await;
        let entries = deployment.entry_addresses();
        let store = deployment.platform.store_api();
        store.control(r#"{"outage":true}"#).await.expect("outage");
        let mut trainer_cfg = trainer_cfg(&entries);
        // A version can't be published while the store is down.
        trainer_cfg.publish = false;
        let trainer = start_trainer(trainer_cfg.clone());
        check_trainer(&trainer, &trainer_cfg).await;
    });
}

#[test]
fn chunks_of_an_agent_that_was_paused_come_late_and_change_nothing() {
    smol::block_on(async {
        let mut deployment = start(cfg(3, 0)).await;
        let entries = deployment.entry_addresses();
        let engines = names(&deployment, true);
        control(&deployment, true, r#"{"token_us":5000}"#).await;
        let trainer_cfg = trainer_cfg(&entries);
        let trainer = start_trainer(trainer_cfg.clone());
        for engine in &engines {
            let delivered = support::delivered(&trainer).await;
            wait_delivered(&trainer, delivered + 4).await;
            let node = &deployment.endpoint_mut(engine).expect("an engine").agent;
            let process = node.process().expect("a process");
            process.pause().expect("paused");
            pause(4000).await;
            process.resume().expect("resumed");
        }
        check_trainer(&trainer, &trainer_cfg).await;
    });
}
