//! Whether an instance may be used.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr, VariantArray};

/// The state of one instance, as one observer sees it.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    Display,
    EnumString,
    IntoStaticStr,
    VariantArray,
    Serialize,
    Deserialize,
)]
#[strum(serialize_all = "lowercase")]
#[serde(rename_all = "lowercase")]
pub enum MemberState {
    /// It takes new work.
    #[strum(serialize = "there")]
    #[serde(rename = "there")]
    Available,
    /// It finishes its current work and takes no new work.
    Leaving,
    /// It was silent or its link broke; it gets no new work until it sends a message.
    Suspected,
    /// It was silent for [`gone_after`](crate::membership_config::MembershipConfig::gone_after)
    /// and did not answer a probe.
    Gone,
}
