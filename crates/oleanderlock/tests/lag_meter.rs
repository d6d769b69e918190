//! A process that gets too little processor time is told from one that was suspended once.

use oleanderlock::prelude::*;
use oleanderlock::pressure::lag_meter::{LagChange, LagMeter};

#[test]
fn a_process_is_late_once_its_timer_is_for_about_a_second() {
    let mut meter = LagMeter::default();
    let changes = (0..20).filter_map(|at| Some((at, meter.record(Millis(300))?)));
    assert_eq!(changes.collect::<Vec<_>>(), [(10, LagChange::Late)]);
    assert!(meter.mean() >= Millis(200));
    let changes = (0..40).filter_map(|_| meter.record(Millis::ZERO));
    assert_eq!(changes.collect::<Vec<_>>(), [LagChange::InTime]);
}

#[test]
fn a_single_suspension_is_not_lateness() {
    let mut meter = LagMeter::default();
    for _ in 0..5 {
        assert_eq!(meter.record(Millis(10_000)), None);
        assert!((0..30).all(|_| meter.record(Millis(5)).is_none()));
    }
}
