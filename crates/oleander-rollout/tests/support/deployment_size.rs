//! Number of processes and stand-ins of a test deployment.

/// Number of processes and stand-ins of a test deployment.
#[derive(Clone, Copy, Debug)]
pub struct DeploymentSize {
    pub entries: usize,
    pub engines: usize,
    pub dispatchers: usize,
    pub services: usize,
}

/// Two processes or stand-ins of each kind.
pub const SMALL: DeploymentSize = DeploymentSize {
    entries: 2,
    engines: 2,
    dispatchers: 2,
    services: 2,
};
