//! Usage reports of one holder: writes, reports and pauses in order.

use oleanderlock::duties::WorkspaceCounts;
use oleanderlock::duties::duty_record::DutyRecord;
use oleanderlock::duties::scale_order::ScaleOrder;
use oleanderlock::duties::usage_duty::UsageDuty;
use oleanderlock::duties::usage_state::UsageState;
use oleanderlock::duties::usage_step::UsageStep;
use oleanderlock::prelude::*;

const LEASE: Millis = Millis(3000);
const CALL_GAP: Millis = Millis(100);

fn record(fence: u64, through: u64) -> DutyRecord<UsageState> {
    DutyRecord {
        holder: "other".to_owned(),
        fence,
        state: UsageState {
            through,
            pending: Vec::new(),
            orders: Vec::new(),
        },
    }
}

/// A holder with a store that carries out each write.
struct Calm {
    duty: UsageDuty,
    writes: u64,
    reports: Vec<(u64, u64)>,
    closed_through: u64,
}

impl Calm {
    fn new() -> Self {
        let mut duty = UsageDuty::new("d", LEASE, CALL_GAP);
        duty.record_read(Millis::ZERO, Some((record(7, 10), 1)));
        Self {
            duty,
            writes: 0,
            reports: Vec::new(),
            closed_through: 10,
        }
    }

    /// Does all that is to be done at a time.
    fn run(&mut self, now: u64) {
        let now = Millis(now);
        let closed_through = self.closed_through;
        let close = |through| (through < closed_through).then(WorkspaceCounts::new);
        loop {
            match self.duty.next(now, 0, close) {
                UsageStep::Write(write) => {
                    self.writes += 1;
                    self.duty.record_written(now, now, write, 1 + self.writes);
                }
                UsageStep::Report { fence, window } => {
                    self.reports.push((fence, window.window));
                    self.duty.record_reported(now, window.window);
                }
                UsageStep::Wait => return,
                step => panic!("{step:?}"),
            }
        }
    }
}

/// Guards against a successor that calls while calls of its predecessor may follow.
#[test]
fn holder_waits_for_the_lease_before_its_first_call() {
    let mut calm = Calm::new();
    calm.closed_through = 11;
    for now in 0..3500 {
        calm.run(now);
    }
    assert_eq!(calm.reports, []);
    calm.run(3500);
    assert_eq!(calm.reports, [(8, 11)]);
}

/// Guards against writes that a calm day does not need.
#[test]
fn calm_window_costs_one_write_and_one_call() {
    let mut calm = Calm::new();
    for now in 0..5000 {
        calm.run(now);
    }
    assert_eq!(calm.writes, 1);
    for now in 5000..105_000 {
        calm.closed_through = 10 + now / 5000;
        calm.run(now);
    }
    assert_eq!((calm.writes, calm.reports.len()), (21, 20));
}

/// Guards against calls that a waiting backlog sends faster than the platform takes them.
#[test]
fn backlog_is_sent_within_the_rate() {
    let mut calm = Calm::new();
    calm.closed_through = 500;
    for now in 0..8500 {
        calm.run(now);
    }
    assert_eq!(calm.reports.len(), 50);
}

/// Guards against a window that is given up, and against calls in quick succession while the
/// platform refuses them.
#[test]
fn refused_report_is_repeated_after_pauses_that_double() {
    let mut calm = Calm::new();
    calm.run(0);
    calm.closed_through = 11;
    let mut sent_at = Vec::new();
    for now in (3500..20_000).map(Millis) {
        loop {
            match calm
                .duty
                .next(now, 0, |through| (through < 11).then(WorkspaceCounts::new))
            {
                UsageStep::Write(write) => calm.duty.record_written(now, now, write, now.0),
                UsageStep::Report { .. } => {
                    sent_at.push(now.0);
                    calm.duty.record_unreported(now, 0);
                }
                _ => break,
            }
        }
    }
    let pauses: Vec<u64> = sent_at.windows(2).map(|two| two[1] - two[0]).collect();
    assert_eq!(pauses[..7], [100, 100, 200, 400, 800, 1000, 1000]);
}

/// Guards against a holder that goes on after another one has taken the duty.
#[test]
fn holder_ends_when_another_one_has_taken_the_duty() {
    let mut calm = Calm::new();
    calm.run(0);
    calm.duty.record_conflict();
    assert_eq!(calm.duty.next(Millis(1), 0, |_| None), UsageStep::Read);
    calm.duty.record_read(Millis(1), Some((record(9, 10), 5)));
    assert_eq!(calm.duty.next(Millis(1), 0, |_| None), UsageStep::Over);
    assert!(!calm.duty.may_report(Millis(4000)));
    assert_eq!(calm.duty.written_through(), 0);
}

fn order(count: u32) -> ScaleOrder {
    ScaleOrder {
        service: "desk".to_owned(),
        domain: "z".to_owned(),
        count,
        taken: false,
    }
}

/// Guards against an order that is sent before it is written, sent twice, or held up by reports that
/// the platform refuses.
#[test]
fn order_is_written_then_sent_once_beside_reports_that_are_refused() {
    let mut calm = Calm::new();
    calm.closed_through = 11;
    calm.run(0);
    calm.duty.order(order(3));
    calm.duty.order(order(4));
    let mut steps = Vec::new();
    for now in (3500..9000).map(Millis) {
        match calm.duty.next(now, 0, |_| None) {
            UsageStep::Write(write) => {
                steps.push(format!("write {:?}", write.record.state.orders));
                calm.duty.record_written(now, now, write, now.0);
            }
            UsageStep::Report { .. } => {
                calm.duty.record_unreported(now, 0);
            }
            UsageStep::Order { fence, order } => {
                steps.push(format!("send {} {fence}", order.count));
                calm.duty.record_ordered(now, &order);
            }
            _ => {}
        }
    }
    let written = format!("write {:?}", [order(4)]);
    assert_eq!(steps[..2], [written, "send 4 8".to_owned()]);
    let sent = steps.iter().filter(|step| step.starts_with("send"));
    assert_eq!(sent.count(), 1, "{steps:?}");
}

/// Guards against a successor that forgets an order, or repeats one that was taken.
#[test]
fn successor_sends_the_orders_that_were_not_taken() {
    let mut duty = UsageDuty::new("d", LEASE, CALL_GAP);
    let mut found = record(7, 10);
    let taken = ScaleOrder {
        domain: "y".to_owned(),
        taken: true,
        ..order(5)
    };
    found.state.orders = vec![taken, order(4)];
    duty.record_read(Millis::ZERO, Some((found, 1)));
    let mut sent = Vec::new();
    for now in (0..9000).map(Millis) {
        match duty.next(now, 0, |_| None) {
            UsageStep::Write(write) => duty.record_written(now, now, write, now.0 + 2),
            UsageStep::Order { order, .. } => {
                duty.record_ordered(now, &order);
                sent.push(order);
            }
            _ => {}
        }
    }
    assert_eq!(sent, [order(4)]);
    assert_eq!(duty.orders().len(), 2);
}

/// Guards against a holder that never calls because a store answers writes without a revision, or
/// loses each answer: the record shows that they took effect.
#[test]
fn write_that_the_record_shows_counts_as_done() {
    let mut duty = UsageDuty::new("d", LEASE, CALL_GAP);
    let mut stored = (record(7, 10), 1);
    let mut reports = Vec::new();
    for now in (0..4000).map(Millis) {
        match duty.next(now, 0, |through| (through < 11).then(WorkspaceCounts::new)) {
            UsageStep::Read => duty.record_read(now, Some(stored.clone())),
            UsageStep::Write(write) => {
                stored = (write.record.clone(), stored.1 + 1);
                duty.record_unanswered(now, write);
            }
            UsageStep::Report { window, .. } => {
                duty.record_reported(now, window.window);
                reports.push(window.window);
            }
            _ => {}
        }
    }
    assert_eq!(reports, [11]);
}
