//! Client of an endpoint.

use crate::agent::engine_client::EngineClient;
use crate::agent::service_client::ServiceClient;

/// Client of the endpoint that an agent serves.
#[derive(Clone, Debug)]
pub enum Endpoint {
    /// A model engine.
    Engine(EngineClient),
    /// A plain service.
    Service(ServiceClient),
}
