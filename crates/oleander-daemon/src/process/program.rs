//! What both programs do: read and check settings, wait for the stop signal.

use crate::exit_code::ExitCode;
use crate::process::open_fault::OpenFault;
use crate::settings::Settings;
use crate::settings_errors::SettingsErrors;
use crate::stop_signal::on_stop;
use std::path::Path;

/// A daemon that runs: how to stop it, and how to wait for its end.
pub struct Running<Stop, Wait> {
    /// Stops it gracefully; a second call ends it at once.
    pub stop: Stop,
    /// Waits for its end.
    pub wait: Wait,
}

/// Reads and checks a settings file, and prints what is wrong with it.
///
/// # Errors
///
/// The exit code when there is nothing to run: the settings have faults, or were only `check`ed.
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
        Err(faults) => {
            eprintln!("{name}:\n{faults}");
            Err(ExitCode::Usage)
        }
    }
}

/// Waits until a daemon has stopped, or says why it did not open.
pub fn run_to_end<Stop, Wait>(opened: Result<Running<Stop, Wait>, OpenFault>) -> ExitCode
where
    Stop: Fn() + Send + 'static,
    Wait: FnOnce(),
{
    match opened.and_then(wait_for_end) {
        Ok(()) => ExitCode::Success,
        Err(fault) => {
            log::error!("event=open-failed reason=\"{fault}\"");
            ExitCode::Failure
        }
    }
}

fn wait_for_end<Stop, Wait>(running: Running<Stop, Wait>) -> Result<(), OpenFault>
where
    Stop: Fn() + Send + 'static,
    Wait: FnOnce(),
{
    on_stop(running.stop)?;
    (running.wait)();
    Ok(())
}
