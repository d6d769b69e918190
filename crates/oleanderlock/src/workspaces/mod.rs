//! Workspaces of the deployment's configuration and the keys by which their clients are known.

pub mod key_digest;
pub mod workspace;
