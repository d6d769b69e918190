//! Switches that take single guards out of the decision code, for model checking only.

/// The guards of sample delivery; all are on by default.
///
/// The model check turns one off at a time and must then find a violation. Nothing else may turn
/// any of them off.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct SampleGuards {
    /// Drop chunks of an older attempt.
    pub current_attempt: bool,
    /// Wait for the end mark, and for all tokens before it, before an answer is whole.
    pub end_mark: bool,
    /// Discard the partial out-of-order data of an attempt that is replaced.
    pub clear_pending: bool,
    /// Forget the end mark of an attempt that is replaced.
    pub reset_end: bool,
    /// Refuse to start an answer again once part of it has been released.
    pub keep_released: bool,
    /// Refuse a sample whose segments don't cover it.
    pub cover: bool,
    /// Refuse a sample with an unknown version.
    pub known_version: bool,
    /// Accept results only from attempts in flight, and keep the first one of a slot.
    pub settle_once: bool,
    /// Judge staleness at delivery.
    pub staleness: bool,
    /// Leave out the slots that the pull's cursor holds.
    pub skip_held: bool,
    /// Name in an answer's cursor only samples that the answer carries.
    pub delivered_only: bool,
    /// Follow a pull whose cursor holds less than the one before.
    pub follow_rewind: bool,
    /// Make a slot again when its payload is gone and the trainer does not have it.
    pub regenerate: bool,
    /// Check on the trainer's side that an answer follows its cursor.
    pub follows_cursor: bool,
    /// Check on the trainer's side that an answer was judged against its version.
    pub matches_version: bool,
}

impl SampleGuards {
    /// Every guard on.
    pub const ALL: Self = Self {
        current_attempt: true,
        end_mark: true,
        clear_pending: true,
        reset_end: true,
        keep_released: true,
        cover: true,
        known_version: true,
        settle_once: true,
        staleness: true,
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
