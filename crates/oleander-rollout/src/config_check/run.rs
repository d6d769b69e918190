//! Reads configurations, checks one and prints the report.

use super::against::Against;
use super::check_error::CheckError;
use super::check_report::CheckReport;
use super::config_check_args::ConfigCheckArgs;
use crate::store::store_client::StoreClient;
use crate::store::store_health::StoreHealth;
use oleander_base::exit_code::ExitCode;
use oleander_platform::config::decode_config_with_places;
use oleander_platform::decoded_config::DecodedConfig;
use oleander_platform::object::{CONFIG_KIND, CONFIG_NAME};
use std::net::SocketAddr;
use std::path::Path;

/// Checks a configuration. The exit status is 0 without findings, 1 with some, and 2 if a
/// configuration can't be read.
pub fn run(args: &ConfigCheckArgs) -> ExitCode {
    let printed = check(args).and_then(|report| {
        let text = report.print(args.format);
        let text = text.map_err(|error| CheckError::new("report", error))?;
        Ok((report, text))
    });
    match printed {
        Ok((report, text)) => {
            print!("{text}");
            if report.findings.is_empty() {
                ExitCode::Success
            } else {
                ExitCode::Failure
            }
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::Usage
        }
    }
}

fn check(args: &ConfigCheckArgs) -> Result<CheckReport, CheckError> {
    let decoded = read_file(&args.file)?;
    let in_force = match &args.against {
        None => None,
        Some(Against::File(file)) => Some(read_file(file)?),
        Some(Against::Store(addr)) => Some(read_store(*addr)?),
    };
    let in_force = in_force.as_ref().map(|in_force| &in_force.config);
    Ok(CheckReport::new(&decoded, in_force))
}

fn read_file(file: &Path) -> Result<DecodedConfig, CheckError> {
    let error = |reason: String| CheckError::new(file.display(), reason);
    let spec = std::fs::read_to_string(file).map_err(|err| error(err.to_string()))?;
    decode_config_with_places(&spec).map_err(|err| error(err.to_string()))
}

/// Reads the configuration in force from the platform's store.
fn read_store(addr: SocketAddr) -> Result<DecodedConfig, CheckError> {
    let error = |reason: String| {
        let name = format!("object {CONFIG_KIND}/{CONFIG_NAME} of the store at {addr}");
        CheckError::new(name, reason)
    };
    let object = crate::runtime::run(async {
        let store = StoreClient::new(addr, StoreHealth::default());
        store.get(CONFIG_KIND, CONFIG_NAME).await
    });
    let object = object.map_err(|err| error(err.to_string()))?;
    let object = object.ok_or_else(|| error("does not exist".to_owned()))?;
    decode_config_with_places(object.spec.get()).map_err(|err| error(err.to_string()))
}
