//! Access control by the bearer tokens in the settings.

use crate::prelude::*;
use subtle::ConstantTimeEq;
use trillium::Conn;

/// Checks the bearer token of a request; an empty list of accepted tokens allows every caller.
///
/// # Errors
///
/// [`ErrorKind::Unauthorized`].
pub fn check(conn: &Conn, tokens: &[String]) -> Result<(), HttpError> {
    if tokens.is_empty() {
        return Ok(());
    }
    let header = conn
        .request_headers()
        .get_str("authorization")
        .unwrap_or_default();
    let given = header
        .strip_prefix("Bearer ")
        .unwrap_or_default()
        .as_bytes();
    // All tokens are compared, so that the time taken does not reveal which one matched.
    let matches = tokens
        .iter()
        .map(|token| token.as_bytes().ct_eq(given).unwrap_u8());
    if matches.fold(0, |any, one| any | one) == 1 {
        return Ok(());
    }
    Err(HttpError::not_run(ErrorKind::Unauthorized))
}
