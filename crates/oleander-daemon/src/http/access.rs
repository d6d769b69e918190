//! Who may call what: bearer tokens from the settings.

use crate::prelude::*;
use subtle::ConstantTimeEq;
use trillium::Conn;

/// Checks the bearer token of a call against the accepted ones; an empty list lets everybody in.
///
/// # Errors
///
/// A fault of kind [`ErrorKind::Unauthorized`].
pub fn check(conn: &Conn, tokens: &[String]) -> Result<(), HttpFault> {
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
    // Every token is compared, so that the time tells nothing of which one matched.
    let matches = tokens
        .iter()
        .map(|token| token.as_bytes().ct_eq(given).unwrap_u8());
    if matches.fold(0, |any, one| any | one) == 1 {
        return Ok(());
    }
    Err(HttpFault::not_run(ErrorKind::Unauthorized))
}
