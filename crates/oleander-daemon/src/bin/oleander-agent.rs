//! The agent daemon.

use oleander_daemon::agent::Agent;
use oleander_daemon::agent_event::AgentEvent;
use oleander_daemon::agent_settings::AgentConfig;
use oleander_daemon::cli::{AgentArgs, agent_args};
use oleander_daemon::exit_code::ExitCode;
use oleander_daemon::settings::{Settings, SettingsFaults};
use oleander_daemon::{logging, stop_signal};

fn main() -> std::process::ExitCode {
    let args = agent_args().run();
    run(&args).into()
}

fn run(args: &AgentArgs) -> ExitCode {
    let cfg = match read(args) {
        Ok(cfg) => cfg,
        Err(faults) => {
            eprintln!("{}:\n{faults}", args.settings.display());
            return ExitCode::Usage;
        }
    };
    if args.check {
        println!("{}: valid", args.settings.display());
        return ExitCode::Success;
    }
    logging::start(&cfg.node.name, cfg.node.log_level);
    let agent = match Agent::open(cfg) {
        Ok(agent) => agent,
        Err(fault) => {
            log::error!("event=open-failed reason=\"{fault}\"");
            return ExitCode::Failure;
        }
    };
    let events = agent.events();
    let stop = move || drop(events.send(AgentEvent::Stop));
    if let Err(fault) = stop_signal::on_stop(stop) {
        log::error!("event=open-failed reason=\"{fault}\"");
        return ExitCode::Failure;
    }
    agent.wait();
    ExitCode::Success
}

fn read(args: &AgentArgs) -> Result<AgentConfig, SettingsFaults> {
    AgentConfig::read(Settings::open(&args.settings)?)
}
