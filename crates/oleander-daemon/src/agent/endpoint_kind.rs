//! Kind of endpoint.

use strum::{Display, EnumString};

/// Kind of endpoint that an agent serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "lowercase")]
pub enum EndpointKind {
    /// A model engine.
    Engine,
    /// A service other than a model engine.
    Service,
}
