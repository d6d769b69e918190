//! `oleanderctl contract wait`.

use crate::contract_commands::standing;
use crate::ctl_error::CtlError;
use crate::entry_client::EntryClient;
use crate::fleet_commands::read_fleet;
use crate::output::print;
use oleander_daemon::entry::entry_event::FleetSummary;
use serde_json::json;
use std::time::{Duration, Instant};

/// Time between two looks at the fleet.
const LOOK_EVERY: Duration = Duration::from_millis(200);

/// Waits until a generation is in force everywhere.
///
/// # Errors
///
/// [`CtlError::NotInForce`] after the time given, or the entry's refusal.
pub fn wait(
    client: &EntryClient,
    as_json: bool,
    customer: &str,
    generation: Option<u64>,
    seconds: u64,
) -> Result<(), CtlError> {
    let wanted = match generation {
        Some(generation) => generation,
        None => standing(client, customer)?.generation,
    };
    let end = Instant::now() + Duration::from_secs(seconds);
    loop {
        let missing = missing(&read_fleet(client)?, customer, wanted);
        if missing.is_empty() {
            let body = json!({ "customer": customer, "generation": wanted, "in_force": true });
            print(
                as_json,
                &body,
                &format!("in force everywhere: {customer} generation {wanted}"),
            );
            return Ok(());
        }
        if Instant::now() >= end {
            return Err(CtlError::NotInForce {
                seconds,
                waiting: missing.join(", "),
            });
        }
        std::thread::sleep(LOOK_EVERY);
    }
}

/// Names the instances that lack the generation, or whose configuration is not known.
fn missing(fleet: &FleetSummary, customer: &str, wanted: u64) -> Vec<String> {
    let name = format!("config/contracts/{customer}");
    let own = fleet.config.iter().find(|object| object.name == name);
    if own.is_none_or(|object| object.generation < wanted) {
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
