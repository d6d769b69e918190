//! The class and contract of a request.

use oleanderlock::contract::Contract;
use std::sync::Arc;

/// The class under which a request is admitted, with its contract.
#[derive(Clone, Debug)]
pub struct Terms {
    /// Name of the class.
    pub class: String,
    /// The contract.
    pub contract: Arc<Contract>,
}
