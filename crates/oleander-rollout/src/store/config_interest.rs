//! When a process watches the configuration.

/// When a process watches the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigInterest {
    /// All the time.
    Always,
    /// Only while the gate is open.
    WhileOpen,
}
