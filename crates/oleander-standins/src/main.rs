//! Runs one stand-in as a process.

use bpaf::Bpaf;
use oleander_standins::engine::EngineCfg;
use oleander_standins::server::Server;
use oleander_standins::trainer_cfg::TrainerCfg;
use oleander_standins::{engine, list, runtime, service, store, trainer, weights};
use serde::de::DeserializeOwned;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::error::Error;
use std::net::SocketAddr;

/// Runs one stand-in until a signal stops it.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
enum Command {
    /// Run the object API
    #[bpaf(command)]
    Store(#[bpaf(external(common))] Common),
    /// Run a model engine
    #[bpaf(command)]
    Engine {
        /// Model that it serves
        #[bpaf(argument("NAME"), fallback("model".to_owned()))]
        model: String,
        /// Version that it serves
        #[bpaf(argument("NUMBER"), fallback(1))]
        version: u64,
        #[bpaf(external)]
        common: Common,
    },
    /// Run a plain service
    #[bpaf(command)]
    Service(#[bpaf(external(common))] Common),
    /// Run the weight store
    #[bpaf(command)]
    Weights(#[bpaf(external(common))] Common),
    /// Run the list of instances
    #[bpaf(command)]
    List(#[bpaf(external(common))] Common),
    /// Run a trainer; its settings come by --set
    #[bpaf(command)]
    Trainer(#[bpaf(external(common))] Common),
}

#[derive(Bpaf, Clone, Debug)]
struct Common {
    /// Executor threads
    #[bpaf(argument("COUNT"), fallback(runtime::DEFAULT_THREADS))]
    threads: usize,
    /// Address to listen on; port 0 picks a free port
    #[bpaf(argument("ADDRESS:PORT"), fallback(SocketAddr::from(([127, 0, 0, 1], 0))))]
    listen: SocketAddr,
    /// Switches or settings at start, as a JSON object
    #[bpaf(argument("JSON"), fallback("{}".to_owned()))]
    set: String,
}

fn main() -> Result<(), Box<dyn Error>> {
    let command = command().run();
    init_log()?;
    runtime::init(command.common().threads);
    let mut signals = Signals::new([SIGINT, SIGTERM])?;
    let server = spawn(&command)?;
    println!("listening address={}", server.address());
    signals.forever().next();
    server.stop();
    Ok(())
}

impl Command {
    fn common(&self) -> &Common {
        match self {
            Self::Engine { common, .. } => common,
            Self::Store(common)
            | Self::Service(common)
            | Self::Weights(common)
            | Self::List(common)
            | Self::Trainer(common) => common,
        }
    }
}

fn spawn(command: &Command) -> Result<Server, Box<dyn Error>> {
    let Common { listen, set, .. } = command.common();
    let listen = *listen;
    let server = match command {
        Command::Store(_) => store::spawn(listen, settings(set)?)?,
        Command::Engine { model, version, .. } => {
            let cfg = EngineCfg {
                model: model.clone(),
                version: *version,
                switches: settings(set)?,
            };
            engine::spawn(listen, cfg)?
        }
        Command::Service(_) => service::spawn(listen, settings(set)?)?,
        Command::Weights(_) => weights::spawn(listen, settings(set)?)?,
        Command::List(_) => list::spawn(listen, settings(set)?)?,
        Command::Trainer(_) => trainer::spawn(listen, settings::<TrainerCfg>(set)?)?,
    };
    Ok(server)
}

fn settings<T: DeserializeOwned>(set: &str) -> serde_json::Result<T> {
    serde_json::from_str(set)
}

fn init_log() -> Result<(), log::SetLoggerError> {
    fern::Dispatch::new()
        .level(log::LevelFilter::Warn)
        .level_for("oleander_standins", log::LevelFilter::Info)
        .format(|out, message, record| {
            out.finish(format_args!("level={} {message}", record.level()));
        })
        .chain(std::io::stderr())
        .apply()
}
