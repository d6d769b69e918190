//! `oleanderctl contract check|apply|get|diff|history`.

use crate::ctl_error::CtlError;
use crate::current_contract::CurrentContract;
use crate::entry_client::EntryClient;
use crate::output::{print, table};
use crate::reply::parse;
use oleanderlock::contract::Contract;
use oleanderlock::prelude::*;
use serde::Deserialize;
use serde_json::{Value, json};
use std::path::Path;

/// A valid contract file.
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
/// [`CtlError::File`], or [`CtlError::Contract`] with all errors of the contract.
pub fn read(file: &Path) -> Result<ContractFile, CtlError> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|error| CtlError::File {
        file: name.clone(),
        reason: error.to_string(),
    })?;
    match Contract::parse(&text) {
        Ok(contract) => Ok(ContractFile { contract, text }),
        Err(errors) => Err(CtlError::Contract { file: name, errors }),
    }
}

/// Runs `contract check`, which calls no entry.
///
/// # Errors
///
/// As [`read`].
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

/// Runs `contract apply`: replaces the contract of generation `base`, by default the current one.
///
/// # Errors
///
/// As [`read`]; [`CtlError::Conflict`], or the error that the entry reported.
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
            .map_or(0, |current| current.generation),
    };
    let reply = client.put_contract(&customer, base, &read.text)?;
    if reply.status == 409 {
        let current: CurrentContract = parse(&reply.body)?;
        let changes = changes_to(&current, &read.contract).join("\n");
        return Err(CtlError::Conflict {
            generation: current.generation,
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

/// Runs `contract get`.
///
/// # Errors
///
/// The error that the entry reported.
pub fn get(client: &EntryClient, as_json: bool, customer: &str) -> Result<(), CtlError> {
    let current = current_contract(client, customer)?;
    let body = json!({ "generation": current.generation, "text": current.text });
    print(
        as_json,
        &body,
        &format!("; generation {}\n{}", current.generation, current.text),
    );
    Ok(())
}

/// Runs `contract diff`: compares a file with the current contract of its customer.
///
/// # Errors
///
/// As [`read`], or the error that the entry reported.
pub fn diff(client: &EntryClient, as_json: bool, file: &Path) -> Result<(), CtlError> {
    let read = read(file)?;
    let current = client.contract(&read.contract.customer)?;
    let changes = match &current {
        Some(current) => changes_to(current, &read.contract),
        None => vec![format!("new contract of {}", read.contract.customer)],
    };
    let generation = current.map_or(0, |current| current.generation);
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

/// Runs `contract history`: prints what each kept generation changed.
///
/// # Errors
///
/// The error that the entry reported.
pub fn history(client: &EntryClient, as_json: bool, customer: &str) -> Result<(), CtlError> {
    let reply = client.get(&format!("/v1/contracts/{customer}/history"))?;
    let mut past = reply.json::<HistoryBody>()?.history;
    let CurrentContract { generation, text } = current_contract(client, customer)?;
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
/// [`CtlError::Refused`] when there is none, or the error that the entry reported.
pub fn current_contract(client: &EntryClient, customer: &str) -> Result<CurrentContract, CtlError> {
    client.contract(customer)?.ok_or_else(|| CtlError::Refused {
        kind: "not-found".to_owned(),
        message: format!("there is no contract of {customer}"),
        ran: Ran::No,
    })
}

fn changes_to(current: &CurrentContract, new: &Contract) -> Vec<String> {
    match Contract::parse(&current.text) {
        Ok(current) => changes(&current, new),
        Err(_) => vec!["the contract that stands can't be read".to_owned()],
    }
}

fn changes(before: &Contract, after: &Contract) -> Vec<String> {
    before.diff(after).iter().map(ToString::to_string).collect()
}
