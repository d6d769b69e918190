//! The entry daemon.

use oleander_daemon::cli::{EntryArgs, entry_args};
use oleander_daemon::entry::Entry;
use oleander_daemon::entry_settings::EntryConfig;
use oleander_daemon::exit_code::ExitCode;
use oleander_daemon::settings::{Settings, SettingsFaults};
use oleander_daemon::{logging, stop_signal};

fn main() -> std::process::ExitCode {
    let args = entry_args().run();
    run(&args).into()
}

fn run(args: &EntryArgs) -> ExitCode {
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
    let entry = match Entry::open(cfg) {
        Ok(entry) => entry,
        Err(fault) => {
            log::error!("event=open-failed reason=\"{fault}\"");
            return ExitCode::Failure;
        }
    };
    let stop = entry.stop_handle();
    if let Err(fault) = stop_signal::on_stop(move || stop.stop()) {
        log::error!("event=open-failed reason=\"{fault}\"");
        return ExitCode::Failure;
    }
    entry.wait();
    ExitCode::Success
}

fn read(args: &EntryArgs) -> Result<EntryConfig, SettingsFaults> {
    EntryConfig::read(Settings::open(&args.settings)?)
}
