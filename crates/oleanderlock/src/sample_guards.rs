//! Switches that disable single guards of sample delivery, for model checking only.

/// The guards of sample delivery; all are enabled by default.
///
/// The model check disables one guard at a time and must then find a violation. No other code may
/// disable a guard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct SampleGuards {
    /// Drop chunks of an older attempt.
    pub current_attempt: bool,
    /// Treat an answer as complete only after its end mark and all tokens before it.
    pub end_mark: bool,
    /// Discard the buffered out-of-order chunks of an attempt that is replaced.
    pub clear_pending: bool,
    /// Discard the end mark of an attempt that is replaced.
    pub reset_end: bool,
    /// Refuse to restart an answer after part of it has been released.
    pub keep_released: bool,
    /// Reject a sample whose segments don't cover all of its tokens.
    pub full_cover: bool,
    /// Reject a sample with tokens of an unknown version.
    pub known_version: bool,
    /// Accept results only from attempts in flight, and only the first result of a slot.
    pub settle_once: bool,
    /// Check staleness at delivery.
    pub staleness_at_delivery: bool,
    /// Leave out of an answer the slots that the pull's cursor holds.
    pub skip_held: bool,
    /// Add to an answer's cursor only samples that the answer contains.
    pub delivered_only: bool,
    /// Accept a cursor that holds fewer slots than that of the previous pull.
    pub follow_rewind: bool,
    /// Generate a slot again if its payload is gone and the trainer does not have it.
    pub regenerate: bool,
    /// Check on the trainer's side that an answer continues from the trainer's cursor.
    pub follows_cursor: bool,
    /// Check on the trainer's side that staleness was checked against the trainer's version.
    pub matches_version: bool,
}

impl SampleGuards {
    /// All guards enabled.
    pub const ALL: Self = Self {
        current_attempt: true,
        end_mark: true,
        clear_pending: true,
        reset_end: true,
        keep_released: true,
        full_cover: true,
        known_version: true,
        settle_once: true,
        staleness_at_delivery: true,
        skip_held: true,
        delivered_only: true,
        follow_rewind: true,
        regenerate: true,
        follows_cursor: true,
        matches_version: true,
    };
}

impl Default for SampleGuards {
    fn default() -> Self {
        Self::ALL
    }
}
