//! How one run of an item ended.

/// How one run of an item ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// The text is complete.
    Whole,
    /// The engine has not run the item.
    Refused,
    /// The engine refuses connections: it has crashed, or has been stopped.
    Unreachable,
    /// The stream broke off or was not valid.
    Broken,
    /// The engine did not respond, or sent no event, for too long.
    Stalled,
    /// The engine responded with an error.
    Failed,
    /// The engine states that the item can never be run.
    Impossible,
    /// The weights are too old, or changed although a single version is required.
    WrongWeights,
    /// The route of the item's job does not lead to the engine's service, or has been removed.
    NotRouted,
    /// The engine is draining or gone, or another instance or another version of its software uses
    /// its address.
    OtherInstance,
}
