//! What the holder of the duties does next.

use super::duty_write::DutyWrite;
use super::pending_window::PendingWindow;
use super::scale_order::ScaleOrder;
use super::usage_state::UsageState;

/// What the holder of the duties does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UsageStep {
    /// Read the record of the duty.
    Read,
    /// Write the record of the duty.
    Write(DutyWrite<UsageState>),
    /// Send the report of a window.
    Report {
        /// Fence of the holder.
        fence: u64,
        /// The window and its counts.
        window: PendingWindow,
    },
    /// Send an order of endpoints.
    Order {
        /// Fence of the holder.
        fence: u64,
        /// The order.
        order: ScaleOrder,
    },
    /// Nothing for now.
    Wait,
    /// Nothing any more: another holder has taken the duty.
    Over,
}
