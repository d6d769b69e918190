//! A call of a replay.

/// A call of a replay.
#[derive(Clone, Debug)]
pub struct Call {
    pub chooser: usize,
    pub work_us: f64,
    /// When the chooser had it to send, and when this attempt was sent.
    pub began: u64,
    pub sent: u64,
    pub tried: Vec<String>,
}
