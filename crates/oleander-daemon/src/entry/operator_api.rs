//! Handlers of the paths for operators.

use crate::contracts::amend_outcome::AmendOutcome;
use crate::contracts::config_object::CONTRACT_PREFIX;
use crate::contracts::config_write::{amend, read};
use crate::contracts::current_object::CurrentObject;
use crate::entry::entry_cx::EntryCx;
use crate::entry::entry_event::EntryEvent;
use crate::http::access;
use crate::http::http_input;
use crate::http::json_response::json_response;
use crate::prelude::*;
use crate::steps::step_host::StepHost;
use oleanderlock::contract::Contract;
use serde::Serialize;
use serde_json::{Value, json as value};
use trillium::{Conn, Status};
use trillium_router::RouterConnExt;

/// Time after which an operator may retry while the store can't be reached.
const STORE_RETRY: Millis = Millis(500);

/// The body that shows the current contract of a customer.
#[derive(Serialize)]
struct ContractBody {
    customer: String,
    generation: u64,
    text: String,
}

/// Answers `GET /v1/contracts/{customer}`.
pub async fn get_contract(cx: EntryCx, conn: Conn) -> Conn {
    let customer = conn.param("customer").unwrap_or_default().to_owned();
    let found = match access::check(&conn, &cx.cfg.operator_tokens) {
        Ok(()) => read_contract(&cx, &customer).await,
        Err(error) => Err(error),
    };
    match found {
        Ok(current) if current.generation.0 > 0 => {
            json_response(conn, Status::Ok, &contract_body(customer, current))
        }
        Ok(_) => HttpError::not_run(ErrorKind::NotFound).respond(conn),
        Err(error) => error.respond(conn),
    }
}

/// Answers `GET /v1/contracts/{customer}/history`.
pub async fn contract_history(cx: EntryCx, conn: Conn) -> Conn {
    let customer = conn.param("customer").unwrap_or_default().to_owned();
    let found = match access::check(&conn, &cx.cfg.operator_tokens) {
        Ok(()) => read_contract(&cx, &customer).await,
        Err(error) => Err(error),
    };
    match found {
        Ok(current) => json_response(
            conn,
            Status::Ok,
            &value!({ "history": current.object.history }),
        ),
        Err(error) => error.respond(conn),
    }
}

/// Answers `PUT /v1/contracts/{customer}`. The body is the contract in INI; the header `If-Match` is
/// the generation that it replaces, 0 for a new contract.
pub async fn put_contract(cx: EntryCx, mut conn: Conn) -> Conn {
    match try_put(&cx, &mut conn).await {
        Ok(AmendOutcome::Accepted(generation)) => {
            json_response(conn, Status::Ok, &value!({ "generation": generation.0 }))
        }
        Ok(AmendOutcome::Conflict(current)) => conflict(conn, &current),
        Ok(AmendOutcome::Refused) => unavailable(Ran::No).respond(conn),
        Ok(AmendOutcome::Unknown) => unavailable(Ran::Unknown).respond(conn),
        Err(error) => error.respond(conn),
    }
}

async fn try_put(cx: &EntryCx, conn: &mut Conn) -> Result<AmendOutcome, HttpError> {
    access::check(conn, &cx.cfg.operator_tokens)?;
    let customer = conn.param("customer").unwrap_or_default().to_owned();
    let base = http_input::header_number(conn, "if-match")?.unwrap_or_default();
    let text = http_input::text(conn).await?;
    check_contract(&customer, &text)?;
    let current = read_contract(cx, &customer).await?;
    if current.generation.0 != base {
        let conflict = AmendOutcome::Conflict(current);
        log_amended(&customer, base, &conflict);
        return Ok(conflict);
    }
    let name = format!("{CONTRACT_PREFIX}{customer}");
    let amended = amend(&cx.store, &name, &current, text).await;
    log_amended(&customer, base, &amended);
    Ok(amended)
}

fn log_amended(customer: &str, base: u64, amended: &AmendOutcome) {
    match amended {
        AmendOutcome::Accepted(generation) => log::info!(
            "event=contract-amended customer={customer} base={base} generation={generation}"
        ),
        AmendOutcome::Conflict(current) => log::info!(
            "event=contract-conflict customer={customer} base={base} generation={}",
            current.generation
        ),
        AmendOutcome::Refused => {
            log::warn!("event=contract-not-amended customer={customer} base={base} ran=no");
        }
        AmendOutcome::Unknown => {
            log::warn!("event=contract-not-amended customer={customer} base={base} ran=unknown");
        }
    }
}

fn check_contract(customer: &str, text: &str) -> Result<(), HttpError> {
    let contract = Contract::parse(text).map_err(|errors| {
        let lines: Vec<String> = errors.iter().map(ToString::to_string).collect();
        HttpError::not_run(ErrorKind::BadRequest).detail(lines.join("\n"))
    })?;
    if contract.customer == customer {
        return Ok(());
    }
    let detail = format!(
        "the contract is of {}, not of {customer}",
        contract.customer
    );
    Err(HttpError::not_run(ErrorKind::BadRequest).detail(detail))
}

fn conflict(conn: Conn, current: &CurrentObject) -> Conn {
    let mut body =
        serde_json::to_value(HttpError::not_run(ErrorKind::Conflict).body()).unwrap_or(Value::Null);
    if let Some(fields) = body.as_object_mut() {
        fields.insert("generation".to_owned(), value!(current.generation.0));
        fields.insert("text".to_owned(), value!(current.object.text));
    }
    json_response(conn, Status::Conflict, &body)
}

async fn read_contract(cx: &EntryCx, customer: &str) -> Result<CurrentObject, HttpError> {
    let name = format!("{CONTRACT_PREFIX}{customer}");
    read(&cx.store, &name)
        .await
        .map_err(|_| unavailable(Ran::No))
}

fn unavailable(ran: Ran) -> HttpError {
    HttpError::new(ErrorKind::StoreUnavailable, ran).retry_after(STORE_RETRY)
}

fn contract_body(customer: String, current: CurrentObject) -> ContractBody {
    ContractBody {
        customer,
        generation: current.generation.0,
        text: current.object.text,
    }
}

/// Answers `GET /v1/fleet`.
pub async fn fleet(cx: EntryCx, conn: Conn) -> Conn {
    if let Err(error) = access::check(&conn, &cx.cfg.operator_tokens) {
        return error.respond(conn);
    }
    match cx.ask(EntryEvent::Describe).await {
        Some(summary) => json_response(conn, Status::Ok, &summary),
        None => HttpError::not_run(ErrorKind::ShuttingDown).respond(conn),
    }
}

/// Answers `GET /v1/steps`.
pub async fn steps(cx: EntryCx, host: StepHost, conn: Conn) -> Conn {
    if let Err(error) = access::check(&conn, &cx.cfg.operator_tokens) {
        return error.respond(conn);
    }
    let names: Vec<String> = host.names().iter().map(ToString::to_string).collect();
    json_response(conn, Status::Ok, &value!({ "steps": names }))
}

/// Answers `GET /v1/requests/{request}` with the refusal of the request, if this entry has it.
pub async fn explain(cx: EntryCx, conn: Conn) -> Conn {
    if let Err(error) = access::check(&conn, &cx.cfg.operator_tokens) {
        return error.respond(conn);
    }
    let request = conn.param("request").unwrap_or_default();
    let request = u128::from_str_radix(request, 16).map(RequestId);
    match request.ok().and_then(|request| cx.refusals.find(request)) {
        Some(refusal) => json_response(conn, Status::Ok, &refusal),
        None => {
            let detail = "this entry remembers no refusal of that request; ask the others";
            HttpError::not_run(ErrorKind::NotFound)
                .detail(detail)
                .respond(conn)
        }
    }
}
