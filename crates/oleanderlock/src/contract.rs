//! The contract of a customer.

use crate::class_terms::ClassTerms;
use crate::limits::Limits;
use crate::service_terms::ServiceTerms;
use crate::trainer_preference::TrainerPreference;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// What an operator grants to one customer. All limits on the customer's work derive from it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Contract {
    /// Name of the customer.
    pub customer: String,
    /// The trainer metric that scheduling favours; the key `weigh` of a contract file.
    #[serde(rename = "weigh")]
    pub preference: TrainerPreference,
    /// Classes of work by name.
    pub classes: IndexMap<String, ClassTerms>,
    /// Services by name.
    pub services: IndexMap<String, ServiceTerms>,
    /// Limits that apply to all classes.
    pub limits: Limits,
}
