//! Calls to the platform that one process at a time may make, and what they report.
//!
//! Entries count the requests that ran, the leading dispatcher collects their counts, and the holder
//! of a duty reports them. Nothing here performs I/O; the protocol is described in
//! `docs/spec/duties.md`.

pub mod duty_holder;
pub mod duty_record;
pub mod duty_write;
mod open_request;
pub mod pending_window;
pub mod scale_input;
pub mod scale_loads;
pub mod scale_order;
pub mod scale_plan;
pub mod service_demand;
pub mod true_clock;
pub mod usage_counts;
pub mod usage_duty;
pub mod usage_ledger;
pub mod usage_report;
pub mod usage_state;
pub mod usage_step;
pub mod usage_window;

/// Requests by workspace; sorted, so that equal counts are encoded equally.
pub type WorkspaceCounts = std::collections::BTreeMap<String, u64>;
