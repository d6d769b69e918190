//! The commands `fleet`, `steps` and `explain`.

use crate::ctl_error::CtlError;
use crate::entry_client::EntryClient;
use crate::output::{print, table};
use crate::reply::parse;
use oleander_daemon::entry::agent_view::AgentView;
use oleander_daemon::entry::fleet_summary::FleetSummary;
use oleander_daemon::entry::refusal::Refusal;
use serde::Deserialize;
use serde_json::Value;

#[derive(Deserialize)]
struct StepsBody {
    steps: Vec<String>,
}

/// Returns the agents that the entry uses, and the other entries.
///
/// # Errors
///
/// The error that the entry reported.
pub fn read_fleet(client: &EntryClient) -> Result<FleetSummary, CtlError> {
    client.get("/v1/fleet")?.json()
}

/// Runs `fleet`.
///
/// # Errors
///
/// The error that the entry reported.
pub fn fleet(client: &EntryClient, as_json: bool) -> Result<(), CtlError> {
    let reply = client.get("/v1/fleet")?;
    let summary: FleetSummary = reply.json()?;
    let body: Value = parse(&reply.body)?;
    let rows: Vec<[String; 6]> = summary.agents.iter().map(agent_row).collect();
    let head = ["AGENT", "DOMAIN", "STATE", "VERSION", "IN FLIGHT", "CONFIG"];
    let mut text = table(head, &rows);
    for entry in &summary.entries {
        let digest = entry.config_digest.as_deref().unwrap_or("not heard");
        text.push_str(&format!("\nentry {}  config {digest}", entry.name));
    }
    text.push_str(&format!(
        "\nentry {}  config {}",
        summary.entry, summary.config_digest
    ));
    print(as_json, &body, &text);
    Ok(())
}

fn agent_row(agent: &AgentView) -> [String; 6] {
    let version = agent
        .version
        .map_or_else(|| "-".to_owned(), |version| version.to_string());
    [
        agent.name.clone(),
        agent.domain.clone(),
        agent.state.clone(),
        version,
        agent.in_flight.to_string(),
        agent.config_digest.clone(),
    ]
}

/// Runs `steps`.
///
/// # Errors
///
/// The error that the entry reported.
pub fn steps(client: &EntryClient, as_json: bool) -> Result<(), CtlError> {
    let reply = client.get("/v1/steps")?;
    let body: StepsBody = reply.json()?;
    let json: Value = parse(&reply.body)?;
    let text = match body.steps.is_empty() {
        true => "this entry owns no step".to_owned(),
        false => body.steps.join("\n"),
    };
    print(as_json, &json, &text);
    Ok(())
}

/// Runs `explain`: prints why the entry refused a request.
///
/// # Errors
///
/// The error that the entry reported, for example that it does not remember the request.
pub fn explain(client: &EntryClient, as_json: bool, request: &str) -> Result<(), CtlError> {
    let reply = client.get(&format!("/v1/requests/{request}"))?;
    let refusal: Refusal = reply.json()?;
    let json: Value = parse(&reply.body)?;
    let mut text = format!("refused: {} ({})\n", refusal.message, refusal.kind);
    text.push_str(&format!("work ran: {}\n", refusal.ran));
    if let Some(delay_ms) = refusal.retry_after_ms {
        text.push_str(&format!("come back after: {delay_ms} ms\n"));
    }
    text.push_str(&format!("what to do: {}", refusal.advice));
    print(as_json, &json, &text);
    Ok(())
}
