//! An agent in use at an entry.

use crate::agent::agent_heard::AgentHeard;
use crate::store::instance_list::ListedInstance;

/// One agent that the entry uses.
pub(crate) struct Agent {
    pub(crate) listed: ListedInstance,
    /// What its incarnation last reported; `None` before a report and after the agent is lost.
    pub(crate) status: Option<AgentHeard>,
}
