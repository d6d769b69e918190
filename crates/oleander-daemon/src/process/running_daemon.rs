//! A daemon that runs.

/// A daemon that runs: how to stop it, and how to wait for its end.
pub struct RunningDaemon<Stop, Wait> {
    /// Starts a graceful stop; a second call ends the daemon at once.
    pub stop: Stop,
    /// Waits until the daemon has ended.
    pub wait: Wait,
}
