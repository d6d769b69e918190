//! Kind of a request to an endpoint, in logs and metrics.

/// Kind of a request to an endpoint, in logs and metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum RequestKind {
    /// An attempt of a call.
    Call,
    /// An attempt of a call beside one that has no response yet.
    Hedge,
    /// An attempt to open a stream.
    Stream,
    /// The run of an item.
    Run,
    /// The order to load weights.
    Order,
    /// A read of the engine's report.
    Report,
}
