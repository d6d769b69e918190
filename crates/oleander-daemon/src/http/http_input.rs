//! Reads bodies, headers and query parameters of requests, within limits.

use crate::prelude::*;
use crate::process::http_server::BODY_MAX_BYTES;
use crate::process::runtime::within;
use serde::de::DeserializeOwned;
use trillium::Conn;

/// Longest time to receive a request body, in milliseconds.
const BODY_TIMEOUT_MS: u64 = 10_000;

/// Reads the body as text.
///
/// # Errors
///
/// [`ErrorKind::TooLarge`] above the size limit; [`ErrorKind::BadRequest`] when the body is not
/// UTF-8 or does not arrive in time.
pub async fn text(conn: &mut Conn) -> Result<String, HttpError> {
    let declared = conn
        .request_headers()
        .get_str("content-length")
        .map(str::parse::<u64>);
    if matches!(declared, Some(Ok(length)) if length > BODY_MAX_BYTES) {
        return Err(HttpError::not_run(ErrorKind::TooLarge));
    }
    let body = within(BODY_TIMEOUT_MS, conn.request_body_string()).await;
    match body {
        Some(Ok(text)) => Ok(text),
        Some(Err(trillium_http::Error::ReceivedBodyTooLong(_))) => {
            Err(HttpError::not_run(ErrorKind::TooLarge))
        }
        Some(Err(error)) => {
            Err(HttpError::not_run(ErrorKind::BadRequest).detail(format!("the body: {error}")))
        }
        None => Err(HttpError::not_run(ErrorKind::BadRequest).detail("the body came too slowly")),
    }
}

/// Reads the body as JSON; the content type must be `application/json`.
///
/// # Errors
///
/// [`ErrorKind::WrongContentType`], the errors of [`text`], or those of [`parse`].
pub async fn json<T: DeserializeOwned>(conn: &mut Conn) -> Result<T, HttpError> {
    check_json_type(conn)?;
    let text = text(conn).await?;
    parse(&text)
}

/// Checks that the content type is `application/json`.
///
/// # Errors
///
/// [`ErrorKind::WrongContentType`].
pub fn check_json_type(conn: &Conn) -> Result<(), HttpError> {
    let given = conn
        .request_headers()
        .get_str("content-type")
        .unwrap_or_default();
    let essence = given.split(';').next().unwrap_or_default().trim();
    if essence.eq_ignore_ascii_case("application/json") {
        return Ok(());
    }
    Err(HttpError::not_run(ErrorKind::WrongContentType))
}

/// Parses JSON.
///
/// # Errors
///
/// [`ErrorKind::BadRequest`] with the place and reason.
pub fn parse<T: DeserializeOwned>(text: &str) -> Result<T, HttpError> {
    serde_json::from_str(text)
        .map_err(|error| HttpError::not_run(ErrorKind::BadRequest).detail(error.to_string()))
}

/// Returns the number in a header, or `None` when it is not set.
///
/// # Errors
///
/// [`ErrorKind::BadRequest`] when the value is not a whole number.
pub fn header_number(conn: &Conn, name: &'static str) -> Result<Option<u64>, HttpError> {
    let Some(text) = conn.request_headers().get_str(name) else {
        return Ok(None);
    };
    let number = text.trim().parse();
    number.map(Some).map_err(|_| {
        HttpError::not_run(ErrorKind::BadRequest)
            .detail(format!("the header {name} must be a whole number"))
    })
}

/// Returns the value of a query parameter as it was sent, without percent-decoding.
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
/// [`ErrorKind::BadRequest`] when the value is not a whole number.
pub fn query_number(conn: &Conn, name: &str, default: u64) -> Result<u64, HttpError> {
    let Some(text) = query(conn, name) else {
        return Ok(default);
    };
    text.parse().map_err(|_| {
        HttpError::not_run(ErrorKind::BadRequest)
            .detail(format!("the parameter {name} must be a whole number"))
    })
}
