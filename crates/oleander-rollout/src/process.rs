//! Start and stop of a process of any role, and the check of changed settings.

use crate::agent::agent_process::Agent;
use crate::cli::Args;
use crate::dispatch::dispatcher::Dispatcher;
use crate::entry::entry_process::Entry;
use crate::observe::metrics::Metrics;
use crate::observe::metrics_server;
use crate::observe::{log_sink, memory_watch};
use crate::prelude::*;
use crate::role::Role;
use crate::runtime::spawn_thread;
use crate::settings::Config;
use log::LevelFilter;
use oleander_base::exit_code::ExitCode;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use smol::channel::{Receiver, unbounded};
use std::path::{Path, PathBuf};
use std::rc::Rc;

/// Interval at which the settings file is read for changes.
const SETTINGS_POLL_INTERVAL: Millis = Millis(2000);
/// Time that the log writer gets for the last lines before the process ends.
const LOG_FLUSH_DELAY: Millis = Millis(120);

/// The running process, by role.
enum Running {
    Entry(Rc<Entry>),
    Agent(Rc<Agent>),
    Dispatcher(Rc<Dispatcher>),
}

/// Runs the process until a signal stops it, or only checks the settings if `args` ask for it.
pub fn run(args: &Args) -> ExitCode {
    // Before anything that takes time: a process that is told to stop while it starts must not be
    // ended by the signal itself.
    let signals = match spawn_signals() {
        Ok(signals) => signals,
        Err(error) => {
            eprintln!("can't handle signals: {error}");
            return ExitCode::Failure;
        }
    };
    let file = args.settings.display();
    let cfg = match Config::open(&args.settings) {
        Ok(_) if args.check => {
            println!("{file}: valid");
            return ExitCode::Success;
        }
        Ok(cfg) => cfg,
        Err(errors) => {
            eprintln!("{file}:\n{errors}");
            return ExitCode::Usage;
        }
    };
    match run_until_stopped(args, cfg, &signals) {
        Ok(()) => ExitCode::Success,
        Err(error) => {
            eprintln!("can't start: {error}");
            ExitCode::Failure
        }
    }
}

fn run_until_stopped(args: &Args, cfg: Config, signals: &Receiver<i32>) -> std::io::Result<()> {
    log_sink::start(&cfg.node, &args.role.to_string(), LevelFilter::Info)?;
    crate::runtime::run(async {
        let metrics = Metrics::default();
        metrics_server::open(cfg.metrics, metrics.clone())?;
        event(log::Level::Info, "start", || {
            format!(
                "domain={} store={} peers={}",
                cfg.domain, cfg.store, cfg.peers
            )
        });
        spawn(memory_watch::run(cfg.memory_bytes, metrics.clone()));
        let running = open(args.role, cfg.clone(), metrics)?;
        spawn(watch_settings(args.settings.clone(), cfg));
        while let Ok(signal) = signals.recv().await {
            if signal != SIGHUP {
                break;
            }
            // SIGHUP is ignored: the settings file is polled for changes.
            event(log::Level::Info, "hangup", || {
                "settings=\"read on change\"".to_owned()
            });
        }
        event(log::Level::Info, "stop", String::new);
        running.stop().await;
        event(log::Level::Info, "stopped", String::new);
        sleep(LOG_FLUSH_DELAY).await;
        Ok(())
    })
}

fn open(role: Role, cfg: Config, metrics: Metrics) -> std::io::Result<Running> {
    Ok(match role {
        Role::Entry => Running::Entry(Entry::open(cfg, metrics)?),
        Role::Agent => Running::Agent(Agent::open(cfg, metrics)?),
        Role::Dispatcher => Running::Dispatcher(Dispatcher::open(cfg, metrics)?),
    })
}

impl Running {
    async fn stop(&self) {
        match self {
            Self::Entry(entry) => entry.stop().await,
            Self::Agent(agent) => agent.stop().await,
            Self::Dispatcher(dispatcher) => dispatcher.stop().await,
        }
    }
}

fn spawn_signals() -> std::io::Result<Receiver<i32>> {
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
    let (tx, rx) = unbounded();
    spawn_thread("signals", move || {
        for signal in signals.forever() {
            if tx.send_blocking(signal).is_err() {
                return;
            }
        }
    })?;
    Ok(rx)
}

/// Reads the settings file at an interval, and logs changed settings or errors. Changed settings take
/// effect at the next start.
async fn watch_settings(file: PathBuf, cfg: Config) {
    let mut known = cfg;
    loop {
        sleep(SETTINGS_POLL_INTERVAL).await;
        match read_settings(&file) {
            Ok(cfg) if cfg == known => {}
            Ok(cfg) => {
                event(log::Level::Info, "reload", || format!("settings={cfg:?}"));
                known = cfg;
            }
            Err(error) => event(log::Level::Error, "reload-failed", || {
                format!("reason=\"{}\"", error.replace('\n', "; "))
            }),
        }
    }
}

fn read_settings(file: &Path) -> Result<Config, String> {
    Config::open(file).map_err(|errors| errors.to_string())
}
