//! `oleanderctl contract check|apply|get|diff|history`.

use crate::ctl_error::CtlError;
use crate::entry_client::{EntryClient, StandingContract, parse};
use crate::output::{print, table};
use oleanderlock::contract::Contract;
use oleanderlock::prelude::*;
use serde::Deserialize;
use serde_json::{Value, json};
use std::path::Path;

/// A contract file that has no faults.
pub struct ContractFile {
    /// The contract.
    pub contract: Contract,
    /// The text of the file.
    pub text: String,
}

#[derive(Deserialize)]
struct AcceptedBody {
    generation: u64,
}

#[derive(Deserialize)]
struct HistoryBody {
    history: Vec<PastContract>,
}

#[derive(Deserialize)]
struct PastContract {
    generation: u64,
    text: String,
}

/// Reads and checks a contract file.
///
/// # Errors
///
/// The system's fault, or all faults of the contract.
pub fn read(file: &Path) -> Result<ContractFile, CtlError> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|fault| CtlError::File {
        file: name.clone(),
        reason: fault.to_string(),
    })?;
    match Contract::parse(&text) {
        Ok(contract) => Ok(ContractFile { contract, text }),
        Err(faults) => Err(CtlError::Contract { file: name, faults }),
    }
}

/// `contract check`.
///
/// # Errors
///
/// All faults of the contract.
pub fn check(as_json: bool, file: &Path) -> Result<(), CtlError> {
    let read = read(file)?;
    let customer = &read.contract.customer;
    let body = json!({ "customer": customer, "valid": true });
    print(
        as_json,
        &body,
        &format!("{}: valid contract of {customer}", file.display()),
    );
    Ok(())
}

/// `contract apply`.
///
/// # Errors
///
/// Faults of the contract, a conflict, or the entry's refusal.
pub fn apply(
    client: &EntryClient,
    as_json: bool,
    file: &Path,
    base: Option<u64>,
) -> Result<(), CtlError> {
    let read = read(file)?;
    let customer = read.contract.customer.clone();
    let base = match base {
        Some(base) => base,
        None => client
            .contract(&customer)?
            .map_or(0, |standing| standing.generation),
    };
    let reply = client.put_contract(&customer, base, &read.text)?;
    if reply.status == 409 {
        let standing: StandingContract = parse(&reply.body)?;
        let changes = changes_to(&standing, &read.contract).join("\n");
        return Err(CtlError::Conflict {
            generation: standing.generation,
            changes,
        });
    }
    let accepted: AcceptedBody = reply.json()?;
    let generation = accepted.generation;
    let body = json!({ "customer": customer, "generation": generation });
    print(
        as_json,
        &body,
        &format!("accepted: {customer} generation {generation}"),
    );
    Ok(())
}

/// `contract get`.
///
/// # Errors
///
/// The entry's refusal.
pub fn get(client: &EntryClient, as_json: bool, customer: &str) -> Result<(), CtlError> {
    let standing = standing(client, customer)?;
    let body = json!({ "generation": standing.generation, "text": standing.text });
    print(
        as_json,
        &body,
        &format!("; generation {}\n{}", standing.generation, standing.text),
    );
    Ok(())
}

/// `contract diff`.
///
/// # Errors
///
/// Faults of the contract, or the entry's refusal.
pub fn diff(client: &EntryClient, as_json: bool, file: &Path) -> Result<(), CtlError> {
    let read = read(file)?;
    let standing = client.contract(&read.contract.customer)?;
    let changes = match &standing {
        Some(standing) => changes_to(standing, &read.contract),
        None => vec![format!("new contract of {}", read.contract.customer)],
    };
    let generation = standing.map_or(0, |standing| standing.generation);
    let text = match changes.is_empty() {
        true => format!("no changes against generation {generation}"),
        false => changes.join("\n"),
    };
    print(
        as_json,
        &json!({ "generation": generation, "changes": changes }),
        &text,
    );
    Ok(())
}

/// `contract history`.
///
/// # Errors
///
/// The entry's refusal.
pub fn history(client: &EntryClient, as_json: bool, customer: &str) -> Result<(), CtlError> {
    let reply = client.get(&format!("/v1/contracts/{customer}/history"))?;
    let mut past = reply.json::<HistoryBody>()?.history;
    let StandingContract { generation, text } = standing(client, customer)?;
    past.push(PastContract { generation, text });
    let rows: Vec<[String; 2]> = (0..past.len()).map(|at| history_row(&past, at)).collect();
    let body: Vec<Value> = past
        .iter()
        .map(|one| json!({ "generation": one.generation, "text": one.text }))
        .collect();
    print(
        as_json,
        &json!({ "history": body }),
        &table(["GENERATION", "CHANGES"], &rows),
    );
    Ok(())
}

fn history_row(past: &[PastContract], at: usize) -> [String; 2] {
    let generation = past[at].generation.to_string();
    let Some(before) = at.checked_sub(1).map(|before| &past[before]) else {
        return [generation, "oldest kept".to_owned()];
    };
    let changes = match (
        Contract::parse(&before.text),
        Contract::parse(&past[at].text),
    ) {
        (Ok(before), Ok(after)) => changes(&before, &after).join("; "),
        _ => "can't be read".to_owned(),
    };
    [generation, changes]
}

/// Returns the contract of a customer that has one.
///
/// # Errors
///
/// [`CtlError::Refused`] when there is none, or the entry's refusal.
pub fn standing(client: &EntryClient, customer: &str) -> Result<StandingContract, CtlError> {
    client.contract(customer)?.ok_or_else(|| CtlError::Refused {
        kind: "not-found".to_owned(),
        message: format!("there is no contract of {customer}"),
        ran: Ran::No,
    })
}

fn changes_to(standing: &StandingContract, wanted: &Contract) -> Vec<String> {
    match Contract::parse(&standing.text) {
        Ok(standing) => changes(&standing, wanted),
        Err(_) => vec!["the contract that stands can't be read".to_owned()],
    }
}

fn changes(before: &Contract, after: &Contract) -> Vec<String> {
    before.diff(after).iter().map(ToString::to_string).collect()
}
