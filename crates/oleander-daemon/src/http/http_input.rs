//! Reads what callers send, within limits.

use crate::prelude::*;
use crate::process::runtime::BODY_MAX_BYTES;
use crate::store::store_client::within;
use serde::de::DeserializeOwned;
use trillium::Conn;

/// Longest wait for a request body, in milliseconds.
const BODY_TIMEOUT_MS: u64 = 10_000;

/// Reads the body as text.
///
/// # Errors
///
/// A fault when the body is too large, too slow or no UTF-8.
pub async fn text(conn: &mut Conn) -> Result<String, HttpFault> {
    let declared = conn
        .request_headers()
        .get_str("content-length")
        .map(str::parse::<u64>);
    if matches!(declared, Some(Ok(length)) if length > BODY_MAX_BYTES) {
        return Err(HttpFault::not_run(ErrorKind::TooLarge));
    }
    let body = within(BODY_TIMEOUT_MS, conn.request_body_string()).await;
    match body {
        Some(Ok(text)) => Ok(text),
        Some(Err(trillium_http::Error::ReceivedBodyTooLong(_))) => {
            Err(HttpFault::not_run(ErrorKind::TooLarge))
        }
        Some(Err(fault)) => {
            Err(HttpFault::not_run(ErrorKind::BadRequest).detail(format!("the body: {fault}")))
        }
        None => Err(HttpFault::not_run(ErrorKind::BadRequest).detail("the body came too slowly")),
    }
}

/// Reads the body as JSON; the content type must be `application/json`.
///
/// # Errors
///
/// A fault that says what is wrong.
pub async fn json<T: DeserializeOwned>(conn: &mut Conn) -> Result<T, HttpFault> {
    check_json_type(conn)?;
    let text = text(conn).await?;
    parse(&text)
}

/// Checks that the content type is `application/json`.
///
/// # Errors
///
/// A fault of kind [`ErrorKind::WrongContentType`].
pub fn check_json_type(conn: &Conn) -> Result<(), HttpFault> {
    let given = conn
        .request_headers()
        .get_str("content-type")
        .unwrap_or_default();
    let essence = given.split(';').next().unwrap_or_default().trim();
    if essence.eq_ignore_ascii_case("application/json") {
        return Ok(());
    }
    Err(HttpFault::not_run(ErrorKind::WrongContentType))
}

/// Parses JSON.
///
/// # Errors
///
/// A fault that says where the text is wrong.
pub fn parse<T: DeserializeOwned>(text: &str) -> Result<T, HttpFault> {
    serde_json::from_str(text)
        .map_err(|fault| HttpFault::not_run(ErrorKind::BadRequest).detail(fault.to_string()))
}

/// Returns the number in a header, or `None` when it is not set.
///
/// # Errors
///
/// A fault when the header is no whole number.
pub fn header_number(conn: &Conn, name: &'static str) -> Result<Option<u64>, HttpFault> {
    let Some(text) = conn.request_headers().get_str(name) else {
        return Ok(None);
    };
    let number = text.trim().parse();
    number.map(Some).map_err(|_| {
        HttpFault::not_run(ErrorKind::BadRequest)
            .detail(format!("the header {name} must be a whole number"))
    })
}

/// Returns the value of a query parameter.
pub fn query<'a>(conn: &'a Conn, name: &str) -> Option<&'a str> {
    let mut pairs = conn
        .querystring()
        .split('&')
        .filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
}

/// Returns the number in a query parameter, or `default` when it is not given.
///
/// # Errors
///
/// A fault when the value is no whole number.
pub fn query_number(conn: &Conn, name: &str, default: u64) -> Result<u64, HttpFault> {
    let Some(text) = query(conn, name) else {
        return Ok(default);
    };
    text.parse().map_err(|_| {
        HttpFault::not_run(ErrorKind::BadRequest)
            .detail(format!("the parameter {name} must be a whole number"))
    })
}
