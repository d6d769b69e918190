//! The contract of one customer.

use crate::class_terms::ClassTerms;
use crate::limits::Limits;
use crate::service_terms::ServiceTerms;
use crate::trainer_preference::TrainerPreference;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// Everything that an operator grants to one customer; all limits follow from it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Contract {
    /// Name of the customer.
    pub customer: String,
    /// The trainer measure that the policy favours.
    pub weigh: TrainerPreference,
    /// Terms by class name.
    pub classes: IndexMap<String, ClassTerms>,
    /// Terms by plain service name.
    pub services: IndexMap<String, ServiceTerms>,
    /// Limits that hold for all classes.
    pub limits: Limits,
}
