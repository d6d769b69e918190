//! On whose behalf an entry calls the leader about a job.

use serde::{Deserialize, Serialize};

/// On whose behalf an entry calls the leader about a job; the body of such a call. An empty body
/// stands for a deployment without workspaces.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobCaller {
    /// Name of the workspace whose key the client has.
    pub workspace: String,
}
