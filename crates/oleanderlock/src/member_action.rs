//! What the owner of a membership view has to do.

use crate::member_state::MemberState;

/// An action that a [`Membership`](crate::membership::Membership) asks its owner to take.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberAction {
    /// Send a message that the instance answers at once.
    Probe {
        /// Name of the instance.
        name: String,
    },
    /// The state of an instance changed.
    Changed {
        /// Name of the instance.
        name: String,
        /// The new state.
        state: MemberState,
    },
}
