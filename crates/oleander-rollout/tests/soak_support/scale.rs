//! Size and length of a soak.

use crate::support::deployment_size::DeploymentSize;
use std::time::Duration;

/// Size and length of a soak.
#[derive(Clone, Copy, Debug)]
pub struct Scale {
    pub size: DeploymentSize,
    /// Whether a client repeats a call under which services crash. Services are reached without
    /// relays then, which would go on listening after a crash.
    pub deadly_call: bool,
    /// Number of actions.
    pub actions: usize,
    /// Time within which the actions start.
    pub time: Duration,
}

impl Scale {
    /// Used by every run of the tests.
    pub const SHORT: Self = Self {
        size: DeploymentSize {
            entries: 2,
            engines: 2,
            dispatchers: 2,
            services: 2,
        },
        deadly_call: false,
        actions: 8,
        time: Duration::from_secs(5),
    };
    /// Used by hand.
    pub const USUAL: Self = Self {
        size: DeploymentSize {
            entries: 2,
            engines: 3,
            dispatchers: 3,
            services: 2,
        },
        deadly_call: false,
        actions: 20,
        time: Duration::from_secs(9),
    };
    /// Used by hand, for every tenth seed.
    pub const LARGE: Self = Self {
        size: DeploymentSize {
            entries: 6,
            engines: 16,
            dispatchers: 4,
            services: 4,
        },
        deadly_call: false,
        actions: 40,
        time: Duration::from_secs(12),
    };

    /// Returns the same scale with a deadly call for odd seeds, without for even ones.
    pub fn for_seed(self, seed: u64) -> Self {
        Self {
            deadly_call: !seed.is_multiple_of(2),
            ..self
        }
    }
}
