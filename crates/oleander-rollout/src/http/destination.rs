//! Where a request is sent.

use oleanderlock::routing::endpoint_entry::EndpointEntry;
use std::net::SocketAddr;

/// Where a request is sent: only connections to the same address and instance are reused for it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Destination {
    /// Address of the remote side.
    pub addr: SocketAddr,
    /// Instance at the address; empty for any instance.
    pub instance: String,
}

impl Destination {
    /// Returns the destination of requests to an endpoint.
    pub fn of(endpoint: &EndpointEntry) -> Self {
        Self {
            addr: endpoint.addr,
            instance: endpoint.instance.clone(),
        }
    }

    /// Returns a destination for any instance at `addr`.
    pub fn any(addr: SocketAddr) -> Self {
        Self {
            addr,
            instance: String::new(),
        }
    }
}
