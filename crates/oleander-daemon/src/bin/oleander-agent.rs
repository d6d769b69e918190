//! The agent daemon.

use oleander_daemon::agent::agent_event::AgentEvent;
use oleander_daemon::agent::agent_process::Agent;
use oleander_daemon::agent::agent_settings::AgentConfig;
use oleander_daemon::logging;
use oleander_daemon::process::agent_args::agent_args;
use oleander_daemon::process::program::{read_settings, run_to_end};
use oleander_daemon::process::running_daemon::RunningDaemon;

fn main() -> std::process::ExitCode {
    let args = agent_args().run();
    let cfg = match read_settings(&args.settings, args.check, AgentConfig::read) {
        Ok(cfg) => cfg,
        Err(code) => return code.into(),
    };
    logging::start(&cfg.node.name, cfg.node.log_level);
    let opened = Agent::open(cfg).map(|agent| {
        let events = agent.events();
        RunningDaemon {
            stop: move || drop(events.send(AgentEvent::Stop)),
            wait: move || agent.wait(),
        }
    });
    run_to_end(opened).into()
}
