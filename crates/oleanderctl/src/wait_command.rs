//! `oleanderctl contract wait`.

use crate::contract_commands::current_contract;
use crate::ctl_error::CtlError;
use crate::entry_client::EntryClient;
use crate::fleet_commands::read_fleet;
use crate::output::print;
use oleander_daemon::entry::fleet_summary::FleetSummary;
use serde_json::json;
use std::time::{Duration, Instant};

/// Time between two calls for the state of the fleet.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Waits until all agents and entries have a generation, or a later one, in force.
///
/// Without `generation` it waits for the current one; it gives up after `seconds`.
///
/// # Errors
///
/// [`CtlError::NotInForce`] on timeout, or the error that the entry reported.
pub fn wait(
    client: &EntryClient,
    as_json: bool,
    customer: &str,
    generation: Option<u64>,
    seconds: u64,
) -> Result<(), CtlError> {
    let target = match generation {
        Some(generation) => generation,
        None => current_contract(client, customer)?.generation,
    };
    let deadline = Instant::now() + Duration::from_secs(seconds);
    loop {
        let missing = missing(&read_fleet(client)?, customer, target);
        if missing.is_empty() {
            let body = json!({ "customer": customer, "generation": target, "in_force": true });
            print(
                as_json,
                &body,
                &format!("in force everywhere: {customer} generation {target}"),
            );
            return Ok(());
        }
        if Instant::now() >= deadline {
            return Err(CtlError::NotInForce {
                seconds,
                waiting: missing.join(", "),
            });
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Returns the names of the instances that lack the generation, or whose configuration is unknown.
fn missing(fleet: &FleetSummary, customer: &str, target: u64) -> Vec<String> {
    let name = format!("config/contracts/{customer}");
    let own = fleet.config.iter().find(|object| object.name == name);
    if own.is_none_or(|object| object.generation < target) {
        return vec![fleet.entry.clone()];
    }
    // Equal digests mean equal generations of all objects.
    let agents = fleet
        .agents
        .iter()
        .filter(|agent| agent.config_digest != fleet.config_digest);
    let entries = fleet
        .entries
        .iter()
        .filter(|entry| entry.config_digest.as_ref() != Some(&fleet.config_digest));
    let agents = agents.map(|agent| agent.name.clone());
    agents
        .chain(entries.map(|entry| entry.name.clone()))
        .collect()
}
