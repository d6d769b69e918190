//! Usage reports and scale orders of the leading dispatcher.

use super::duties::Duties;
use super::platform_api_outcome::PlatformApiOutcome;
use super::record_store;
use super::scale_planner::ScalePlanner;
use crate::prelude::*;
use crate::store::store_error::StoreError;
use oleander_platform::duty_call;
use oleanderlock::duties::WorkspaceCounts;
use oleanderlock::duties::duty_write::DutyWrite;
use oleanderlock::duties::pending_window::PendingWindow;
use oleanderlock::duties::scale_order::ScaleOrder;
use oleanderlock::duties::usage_duty::UsageDuty;
use oleanderlock::duties::usage_state::UsageState;
use oleanderlock::duties::usage_step::UsageStep;
use std::rc::Rc;

/// Pause between two checks of what is to be done.
const TICK: Millis = Millis(100);

/// Holds the duties for as long as `leads` returns true.
pub(super) async fn run(
    duties: Rc<Duties>,
    leads: impl Fn() -> bool,
    batch_items: impl Fn() -> usize,
) {
    let mut planner = ScalePlanner::new();
    while leads() {
        hold(&duties, &mut planner, &leads, &batch_items).await;
        // Another dispatcher believes that it leads; one of both will know better by then.
        sleep(duties.cfg.lease).await;
    }
}

/// Holds the duty once, until another dispatcher takes it or this one leads no longer.
async fn hold(
    duties: &Duties,
    planner: &mut ScalePlanner,
    leads: &impl Fn() -> bool,
    batch_items: &impl Fn() -> usize,
) {
    let call_gap = Millis((1000.0 / duties.cfg.calls_per_second).ceil() as u64);
    let mut duty = UsageDuty::new(&duties.node, duties.cfg.lease, call_gap);
    while leads() {
        if duties.cfg.scale {
            planner.run(duties, &mut duty, batch_items);
        }
        let first_through = first_through(duties);
        let close = |through| close(duties, through);
        match duty.next(now(), first_through, close) {
            UsageStep::Read => read(duties, &mut duty).await,
            UsageStep::Write(write) => self::write(duties, &mut duty, write).await,
            UsageStep::Report { fence, window } => {
                report(duties, &mut duty, leads, fence, &window).await;
            }
            UsageStep::Order { fence, order } => {
                send_order(duties, &mut duty, leads, fence, &order).await;
            }
            UsageStep::Wait => sleep(TICK).await,
            UsageStep::Over => {
                duties.metrics.count_event("duty_lost");
                event(log::Level::Warn, "duty-lost", || {
                    let record = duty.holder().record();
                    let holder = record.map_or("", |record| record.holder.as_str());
                    let fence = record.map_or(0, |record| record.fence);
                    format!("holder={holder} fence={fence}")
                });
                return;
            }
        }
    }
    event(log::Level::Info, "duty-left", || {
        let fence = duty.holder().fence().unwrap_or(0);
        format!("fence={fence}")
    });
}

/// Returns the last window that the first holder ever does not report. It reports the window before
/// its own first one too, in which entries may have served already.
fn first_through(duties: &Duties) -> u64 {
    let unix_ms = duties.ledger.borrow().unix_ms(now());
    duties.window.at(unix_ms).saturating_sub(2)
}

/// Returns the counts of the window after `through`, if it is closed.
fn close(duties: &Duties, through: u64) -> Option<WorkspaceCounts> {
    if !duties.cfg.usage {
        return None;
    }
    let mut ledger = duties.ledger.borrow_mut();
    let counts = ledger.close(now(), through)?;
    let window = through + 1;
    event(log::Level::Info, "usage-closed", || {
        let requests: u64 = counts.values().sum();
        let workspaces = counts.len();
        let missing = ledger.missing(window).join(",");
        format!("window={window} requests={requests} workspaces={workspaces} missing={missing}")
    });
    Some(counts)
}

async fn read(duties: &Duties, duty: &mut UsageDuty) {
    let held = duty.holder().fence().is_some();
    match record_store::read(&duties.store).await {
        Ok(found) => {
            duty.record_read(now(), found);
            written(duties, duty, held);
        }
        Err(error) => store_failed(duties, duty, &error),
    }
}

async fn write(duties: &Duties, duty: &mut UsageDuty, write: DutyWrite<UsageState>) {
    let began = now();
    let held = duty.holder().fence().is_some();
    match record_store::write(&duties.store, &write).await {
        Ok(revision) => {
            duty.record_written(began, now(), write, revision);
            written(duties, duty, held);
        }
        Err(error) => {
            match &error {
                StoreError::NotDone { .. } => {}
                StoreError::Conflict => return duty.record_conflict(),
                StoreError::NoAnswer { .. } | StoreError::HistoryGone => {
                    duty.record_unanswered(began, write);
                }
            }
            store_failed(duties, duty, &error);
        }
    }
}

/// Makes known what the record holds after a write; `held` tells whether the duty was held before.
fn written(duties: &Duties, duty: &UsageDuty, held: bool) {
    duties.written_through.set(duty.written_through());
    let Some(fence) = duty.holder().fence().filter(|_| !held) else {
        return;
    };
    duties.metrics.count_event("duty_taken");
    event(log::Level::Info, "duty-taken", || {
        let through = duty.written_through();
        let acts_in = duty.holder().acts_from().since(now());
        format!("fence={fence} through={through} acts_in={acts_in}")
    });
}

fn store_failed(duties: &Duties, duty: &mut UsageDuty, error: &StoreError) {
    duty.record_store_failure(now(), rand::random());
    duties.metrics.count_event("duty_store_failed");
    event(log::Level::Warn, "duty-store-failed", || {
        format!("reason=\"{error}\"")
    });
}

/// Sends the report of a window.
async fn report(
    duties: &Duties,
    duty: &mut UsageDuty,
    leads: &impl Fn() -> bool,
    fence: u64,
    pending: &PendingWindow,
) {
    let window = pending.window;
    let body = duty_call::encode_usage(window, &pending.counts);
    let may_send = || leads() && duty.may_report(now());
    let called = duties.api.call(duty_call::USAGE, fence, body, may_send);
    let outcome = called.await;
    match outcome {
        PlatformApiOutcome::Taken => {
            duty.record_reported(now(), window);
            let unix_ms = duties.ledger.borrow().unix_ms(now());
            let age = Millis(unix_ms.saturating_sub(duties.window.end(window)));
            duties.metrics.count_event("usage_reported");
            duties.metrics.record_latency("usage-report", age);
            event(log::Level::Info, "usage-reported", || {
                let late = age > duties.cfg.usage_late;
                format!("window={window} fence={fence} age={age} late={late}")
            });
        }
        PlatformApiOutcome::Rejected(reason) => {
            duty.record_reported(now(), window);
            duties.metrics.count_event("usage_rejected");
            event(log::Level::Error, "usage-rejected", || {
                format!("window={window} fence={fence} reason=\"{reason}\"")
            });
        }
        PlatformApiOutcome::Again(reason) => {
            let pause = duty.record_unreported(now(), rand::random());
            duties.metrics.count_event("usage_unreported");
            event(log::Level::Warn, "usage-unreported", || {
                format!("window={window} fence={fence} pause={pause} reason=\"{reason}\"")
            });
        }
        // The next step writes the record again first.
        PlatformApiOutcome::Withheld => event(log::Level::Info, "usage-withheld", || {
            format!("window={window} fence={fence}")
        }),
    }
}

/// Sends an order of endpoints.
async fn send_order(
    duties: &Duties,
    duty: &mut UsageDuty,
    leads: &impl Fn() -> bool,
    fence: u64,
    order: &ScaleOrder,
) {
    let body = duty_call::encode_scale(&order.service, &order.domain, order.count);
    let may_send = || leads() && duty.may_report(now());
    let called = duties.api.call(duty_call::SCALE, fence, body, may_send);
    let outcome = called.await;
    let subject = format!(
        "service={} domain={} count={} fence={fence}",
        order.service, order.domain, order.count
    );
    match outcome {
        PlatformApiOutcome::Taken => {
            duty.record_ordered(now(), order);
            duties.metrics.count_event("scale_sent");
            event(log::Level::Info, "scale-sent", || subject);
        }
        PlatformApiOutcome::Rejected(reason) => {
            duty.record_ordered(now(), order);
            duties.metrics.count_event("scale_rejected");
            event(log::Level::Error, "scale-rejected", || {
                format!("{subject} reason=\"{reason}\"")
            });
        }
        PlatformApiOutcome::Again(reason) => {
            let pause = duty.record_unreported(now(), rand::random());
            duties.metrics.count_event("scale_unsent");
            event(log::Level::Warn, "scale-unsent", || {
                format!("{subject} pause={pause} reason=\"{reason}\"")
            });
        }
        // The next step writes the record again first.
        PlatformApiOutcome::Withheld => event(log::Level::Info, "scale-withheld", || subject),
    }
}
