//! Reads experiment files.

use crate::deployment_cfg::{DeploymentCfg, ModelGroup, ServiceGroup};
use crate::experiment::Experiment;
use crate::fault::{Fault, FaultKind};
use crate::stream_cfg::{StreamCfg, StreamTarget};
use oleander_daemon::settings::Settings;
use oleander_daemon::settings_errors::SettingsErrors;
use oleander_standins::engine_switches::EngineSwitches;
use oleander_standins::service::ServiceSwitches;
use oleander_standins::trainer_cfg::TrainerCfg;
use oleanderlock::clock::Millis;
use std::path::Path;
use std::str::FromStr;

const NUMBER: &str = "a whole number";
const DURATION: Millis = Millis::from_secs(10);
const WARMUP: Millis = Millis::from_secs(2);

/// Returns the text of a contract that an experiment can name.
fn contract(name: &str) -> Option<&'static str> {
    match name {
        "kalahari" => Some(include_str!("../../../contracts/kalahari.ini")),
        "two-trainers" => Some(include_str!("../contracts/two-trainers.ini")),
        "siam-ascend" => Some(include_str!("../../../contracts/siam-ascend.ini")),
        _ => None,
    }
}

/// Reads an experiment file; the error holds all faults at once.
pub fn read(path: &Path) -> Result<Experiment, SettingsErrors> {
    parse(Settings::open(path)?)
}

/// Reads the sections of an experiment.
pub fn parse(mut settings: Settings) -> Result<Experiment, SettingsErrors> {
    let s = &mut settings;
    let experiment = Experiment {
        name: s.required("experiment", "name"),
        seed: s.parsed("experiment", "seed", 1, NUMBER),
        warmup: s.duration("experiment", "warmup", WARMUP),
        duration: s.duration("experiment", "duration", DURATION),
        deployment: read_deployment(s),
        streams: each(s, "streams", read_stream),
        trainers: each(s, "trainers", read_trainer),
        faults: read_faults(s),
    };
    settings.finish()?;
    Ok(experiment)
}

/// Reads one section for each name in a list of section `[experiment]`.
fn each<T>(s: &mut Settings, key: &str, read: fn(&mut Settings, &str) -> T) -> Vec<T> {
    let names = s.list("experiment", key);
    names.iter().map(|name| read(s, name)).collect()
}

fn read_deployment(s: &mut Settings) -> DeploymentCfg {
    let defaults = DeploymentCfg::default();
    let domains = s.list("deployment", "domains");
    DeploymentCfg {
        entries: s.parsed("deployment", "entries", defaults.entries, NUMBER),
        threads: s.parsed("deployment", "threads", defaults.threads, NUMBER),
        entry_threads: s.parsed(
            "deployment",
            "entry-threads",
            defaults.entry_threads,
            NUMBER,
        ),
        domains: if domains.is_empty() {
            defaults.domains
        } else {
            domains
        },
        contracts: read_contracts(s),
        models: each(s, "models", read_model),
        services: each(s, "services", read_service),
        log_level: "warn".to_owned(),
        ..DeploymentCfg::default()
    }
}

fn read_contracts(s: &mut Settings) -> Vec<String> {
    let names = s.list("deployment", "contracts");
    let mut texts = Vec::new();
    for name in names {
        match contract(&name) {
            Some(text) => texts.push(text.to_owned()),
            None => s.record_error(
                "deployment",
                "contracts",
                "kalahari, siam-ascend or two-trainers expected",
            ),
        }
    }
    texts
}

fn read_model(s: &mut Settings, name: &str) -> ModelGroup {
    let section = format!("model {name}");
    let defaults = EngineSwitches::default();
    let mut number = |key: &str, default: u64| s.parsed(&section, key, default, NUMBER);
    let switches = EngineSwitches {
        capacity: number("capacity", defaults.capacity as u64) as usize,
        token_us: number("token-us", defaults.token_us),
        prefill_ms: number("prefill-ms", defaults.prefill_ms),
        chunk_tokens: number("chunk-tokens", defaults.chunk_tokens),
        cache_entries: number("cache-entries", defaults.cache_entries as u64) as usize,
        swap_ms: number("swap-ms", defaults.swap_ms),
        load_lag_ms: number("load-lag-ms", defaults.load_lag_ms),
        event_lag_ms: number("event-lag-ms", defaults.event_lag_ms),
        event_gap: number("event-gap", defaults.event_gap),
        ..defaults
    };
    ModelGroup {
        model: name.to_owned(),
        engines: number("engines", 2) as usize,
        version: 1,
        switches,
    }
}

fn read_service(s: &mut Settings, name: &str) -> ServiceGroup {
    let section = format!("service-group {name}");
    let defaults = ServiceSwitches::default();
    let switches = ServiceSwitches {
        capacity: s.parsed(&section, "capacity", defaults.capacity, NUMBER),
        service_ms: s.parsed(&section, "service-ms", defaults.service_ms, NUMBER),
        ..defaults
    };
    ServiceGroup {
        services: s.list(&section, "services"),
        instances: s.parsed(&section, "instances", 1, NUMBER),
        switches,
    }
}

fn read_stream(s: &mut Settings, name: &str) -> StreamCfg {
    let section = format!("stream {name}");
    let target = match s.text(&section, "model") {
        Some(model) => StreamTarget::Completion {
            model,
            tokens_min: s.parsed(&section, "tokens-min", 16, NUMBER),
            tokens_max: s.parsed(&section, "tokens-max", 64, NUMBER),
            prefixes: s.parsed(&section, "prefixes", 16, NUMBER),
        },
        None => StreamTarget::Service {
            service: s.required(&section, "service"),
            path: s.required(&section, "path"),
        },
    };
    StreamCfg {
        name: name.to_owned(),
        target,
        class: s.required(&section, "class"),
        load: s
            .parsed(&section, "load", Percent(50.0), "a share such as 80%")
            .0
            / 100.0,
        arrivals: s.parsed(
            &section,
            "arrivals",
            Default::default(),
            "poisson or bursty",
        ),
        once: s.parsed(&section, "once", false, "true or false"),
    }
}

fn read_trainer(s: &mut Settings, name: &str) -> TrainerCfg {
    let section = format!("trainer {name}");
    let defaults = TrainerCfg::default();
    TrainerCfg {
        trainer: name.to_owned(),
        model: s.required(&section, "model"),
        class: s.required(&section, "class"),
        steps: s.parsed(&section, "steps", defaults.steps, NUMBER),
        groups: s.parsed(&section, "groups", defaults.groups, NUMBER),
        samples_per_group: s.parsed(&section, "samples", defaults.samples_per_group, NUMBER),
        tokens_min: s.parsed(&section, "tokens-min", defaults.tokens_min, NUMBER),
        tokens_max: s.parsed(&section, "tokens-max", defaults.tokens_max, NUMBER),
        tail: s.parsed(&section, "tail", defaults.tail, "a number"),
        seed: s.parsed(&section, "seed", defaults.seed, NUMBER),
        pause_ms: s.duration(&section, "pause", Millis(defaults.pause_ms)).0,
        staleness: s.parsed(&section, "staleness", defaults.staleness, NUMBER),
        publish: s.parsed(&section, "publish", defaults.publish, "true or false"),
        ..defaults
    }
}

fn read_faults(s: &mut Settings) -> Vec<Fault> {
    let mut faults = each(s, "faults", read_fault);
    faults.sort_by_key(|fault| fault.at_ms);
    faults
}

fn read_fault(s: &mut Settings, name: &str) -> Fault {
    let section = format!("fault {name}");
    let kinds = "a fault such as slow-endpoint, crash-agent or store-down";
    Fault {
        at_ms: s.duration(&section, "at", Millis::ZERO).0,
        kind: s.parsed(&section, "kind", FaultKind::StoreUp, kinds),
        target: s.text(&section, "target").unwrap_or_default(),
    }
}

/// A share written as `80%`.
struct Percent(f64);

impl FromStr for Percent {
    type Err = std::num::ParseFloatError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.trim_end_matches('%').trim().parse().map(Self)
    }
}
