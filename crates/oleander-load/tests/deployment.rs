//! A whole deployment of real daemons on loopback.

use oleander_load::deployment::Deployment;
use oleander_load::deployment_cfg::{DeploymentCfg, ModelGroup, ServiceGroup};
use oleander_standins::engine_switches::EngineSwitches;
use oleander_standins::judge;
use oleander_standins::server::StopFlag;
use oleander_standins::service::ServiceSwitches;
use oleander_standins::step_record::TrainerRecord;
use oleander_standins::trainer;
use oleander_standins::trainer_cfg::TrainerCfg;
use parking_lot::Mutex;
use serde_json::{Value, json};
use std::sync::Arc;
use std::time::Duration;

const READY: Duration = Duration::from_secs(60);

fn cfg() -> DeploymentCfg {
    DeploymentCfg {
        models: vec![ModelGroup {
            model: "advisor".to_owned(),
            engines: 2,
            version: 1,
            switches: EngineSwitches::default(),
        }],
        services: vec![ServiceGroup {
            services: vec!["quote".to_owned(), "availability".to_owned()],
            instances: 1,
            switches: ServiceSwitches::default(),
        }],
        contracts: vec![include_str!("../../../contracts/kalahari.ini").to_owned()],
        ..DeploymentCfg::default()
    }
}

#[test]
fn callers_and_trainers_are_served_and_all_processes_end() {
    smol::block_on(async {
        let mut deployment = Deployment::start(cfg(), READY).await.unwrap();
        let api = deployment.entries[0].api();
        let body = json!({"model": "advisor", "prompt": "which seedlings?", "max_tokens": 20});
        let reply = api.post("/v1/completions", &body).await.unwrap();
        let answer: Value = reply.json().unwrap();
        let text = answer["choices"][0]["text"].as_str().unwrap();
        assert!(judge::versions("which seedlings?", 20, text).is_some());

        let quote = api
            .post("/v1/services/quote/new", &json!({"trays": 3}))
            .await;
        assert_eq!(quote.unwrap().status, 200);
        let service = deployment.endpoints[2].service_record().await.unwrap();
        assert_eq!(service.runs.len(), 1);

        let record = Arc::new(Mutex::new(TrainerRecord::default()));
        let trainer = TrainerCfg {
            entries: deployment.entry_addresses(),
            model: "advisor".to_owned(),
            class: "advisor".to_owned(),
            staleness: 2,
            ..TrainerCfg::default()
        };
        trainer::run(trainer, Arc::clone(&record), StopFlag::default()).await;
        for step in &record.lock().steps {
            assert!(step.whole_ms.is_some());
            assert_eq!((step.delivered, step.doubled, step.broken), (32, 0, 0));
            assert_eq!((step.misattributed, step.too_old), (0, 0));
        }
        deployment.stop().await.unwrap();
        assert!(
            deployment
                .entries
                .iter_mut()
                .all(|entry| !entry.is_running())
        );
    });
}
