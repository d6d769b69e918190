//! The kinds of objects that a process watches.

use super::config_interest::ConfigInterest;
use crate::prelude::*;

/// The kinds of objects that a process watches besides those about dispatchers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Interests {
    /// The configuration and when to watch it; `None` for never.
    pub config: Option<ConfigInterest>,
    /// Endpoints, while the gate is open, with the longest wait of a call that watches them; `None`
    /// for never.
    pub endpoints: Option<Millis>,
    /// Published weight versions, while the gate is open.
    pub versions: bool,
    /// Machines that are to be retired, while the gate is open.
    pub retirements: bool,
    /// Requests under which endpoints have crashed, always.
    pub crash_suspects: bool,
}
