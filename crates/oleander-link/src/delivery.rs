//! A message that a mailbox has received.

use crate::link_error::LinkError;
use crate::wire::Frame;

/// A message that a mailbox has received.
#[derive(Debug)]
pub enum Delivery {
    /// An authenticated frame.
    Frame(Box<Frame>),
    /// A message that was dropped, and why.
    Refused(LinkError),
}
