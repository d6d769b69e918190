//! What the programs of both daemons share: reading settings and waiting for the end.

use crate::exit_code::ExitCode;
use crate::process::open_error::OpenError;
use crate::process::running_daemon::RunningDaemon;
use crate::settings::Settings;
use crate::settings_errors::SettingsErrors;
use crate::stop_signal::on_stop;
use std::path::Path;

/// Reads and checks a settings file, and prints its errors to standard error.
///
/// # Errors
///
/// The exit code with which the program must end: the settings have errors, or `check` is set.
pub fn read_settings<Cfg>(
    file: &Path,
    check: bool,
    read: impl FnOnce(Settings) -> Result<Cfg, SettingsErrors>,
) -> Result<Cfg, ExitCode> {
    let name = file.display();
    match Settings::open(file).and_then(read) {
        Ok(_) if check => {
            println!("{name}: valid");
            Err(ExitCode::Success)
        }
        Ok(cfg) => Ok(cfg),
        Err(errors) => {
            eprintln!("{name}:\n{errors}");
            Err(ExitCode::Usage)
        }
    }
}

/// Stops the daemon on SIGTERM or SIGINT and waits for its end; logs why it did not start.
pub fn run_to_end<Stop, Wait>(opened: Result<RunningDaemon<Stop, Wait>, OpenError>) -> ExitCode
where
    Stop: Fn() + Send + 'static,
    Wait: FnOnce(),
{
    match opened.and_then(wait_for_end) {
        Ok(()) => ExitCode::Success,
        Err(error) => {
            log::error!("event=open-failed reason=\"{error}\"");
            ExitCode::Failure
        }
    }
}

fn wait_for_end<Stop, Wait>(running: RunningDaemon<Stop, Wait>) -> Result<(), OpenError>
where
    Stop: Fn() + Send + 'static,
    Wait: FnOnce(),
{
    on_stop(running.stop)?;
    (running.wait)();
    Ok(())
}
