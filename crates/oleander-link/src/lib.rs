//! Messages and connections between the processes of oleanderlock.
//!
//! Each process binds one [`Mailbox`] and dials one push socket for each peer through [`Peers`].
//! Push and pull sockets never resend a message, so a lost connection can lose messages but can't
//! duplicate them.

pub mod convert;
mod convert_journal;
pub mod delivery;
mod dialer;
mod link_address;
pub mod link_error;
pub mod link_keys;
pub mod mailbox;
pub mod peer_change;
mod peer_state;
pub mod peers;
mod sp;
pub mod wire;

pub use delivery::Delivery;
pub use link_error::LinkError;
pub use link_keys::LinkKeys;
pub use mailbox::Mailbox;
pub use peer_change::PeerChange;
pub use peers::Peers;
