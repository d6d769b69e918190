//! An agent in use at an entry.

use crate::agent::agent_status::AgentStatus;
use crate::store::listed_instance::ListedInstance;

/// One agent that the entry uses.
pub(crate) struct Agent {
    pub(crate) listed: ListedInstance,
    /// What its incarnation last reported; `None` before a report and after the agent is lost.
    pub(crate) status: Option<AgentStatus>,
}
