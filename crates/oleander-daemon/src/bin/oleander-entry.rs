//! The entry daemon.

use oleander_daemon::entry::entry_process::Entry;
use oleander_daemon::entry::entry_settings::EntryConfig;
use oleander_daemon::logging;
use oleander_daemon::process::entry_args::entry_args;
use oleander_daemon::process::program::{read_settings, run_to_end};
use oleander_daemon::process::running_daemon::RunningDaemon;

fn main() -> std::process::ExitCode {
    let args = entry_args().run();
    let cfg = match read_settings(&args.settings, args.check, EntryConfig::read) {
        Ok(cfg) => cfg,
        Err(code) => return code.into(),
    };
    logging::start(&cfg.node.name, cfg.node.log_level);
    let opened = Entry::open(cfg).map(|entry| {
        let stop = entry.stop_handle();
        RunningDaemon {
            stop: move || stop.stop(),
            wait: move || entry.wait(),
        }
    });
    run_to_end(opened).into()
}
