//! Addresses of links.

use crate::link_error::LinkError;
use std::net::SocketAddr;

/// Reads a link address, `tcp://IP:PORT`.
///
/// # Errors
///
/// [`LinkError::Socket`] for any other form.
pub(crate) fn parse(address: &str) -> Result<SocketAddr, LinkError> {
    let socket = address.strip_prefix("tcp://").map(str::parse);
    match socket {
        Some(Ok(socket)) => Ok(socket),
        _ => Err(LinkError::Socket {
            reason: format!("{address} is not of the form tcp://IP:PORT"),
        }),
    }
}
