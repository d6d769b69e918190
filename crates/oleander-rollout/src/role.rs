//! Role of a process.

use bpaf::Bpaf;

/// Role of the process in the deployment.
#[derive(Bpaf, Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "lowercase")]
pub enum Role {
    /// Serve the requests of callers and trainers
    #[bpaf(command)]
    Entry,
    /// Run the items of batch jobs on an engine and order its weight loads
    #[bpaf(command)]
    Agent,
    /// Assign the items of batch jobs to agents and list their results
    #[bpaf(command)]
    Dispatcher,
}
