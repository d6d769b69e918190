//! How a relay treats its connections.

use std::time::Duration;

/// How a relay treats its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayMode {
    /// Forwards all bytes.
    Pass,
    /// Forwards bytes after a delay.
    Delay(Duration),
    /// Forwards nothing in one direction or in both, until the mode changes.
    Cut { to_target: bool, from_target: bool },
    /// Resets each new connection.
    Refuse,
}
