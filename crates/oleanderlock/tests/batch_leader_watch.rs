//! Failure detection of the leading dispatcher by a standby.

use oleanderlock::batch::leader_probe::LeaderProbe;
use oleanderlock::batch::leader_watch::LeaderWatch;
use oleanderlock::batch::pulse_verdict::PulseVerdict;
use oleanderlock::prelude::*;

const HEALTHY_LEADER: LeaderProbe = LeaderProbe::Leading {
    store_age: Millis(100),
};

#[test]
fn a_standby_takes_over_after_three_misses_and_without_a_new_pulse() {
    let mut watch = LeaderWatch::default();
    assert!(watch.record_probe(Millis(0), LeaderProbe::NoAnswer));
    assert_eq!(watch.record_pulse(Millis(0), 7), PulseVerdict::Wait);
    assert!(watch.record_probe(Millis(1700), LeaderProbe::NotLeading));
    assert_eq!(watch.record_pulse(Millis(1700), 7), PulseVerdict::Wait);
    assert!(watch.record_probe(Millis(1800), LeaderProbe::NoAnswer));
    assert_eq!(watch.record_pulse(Millis(1800), 7), PulseVerdict::TakeOver);
    // It tries again after each further miss.
    assert!(watch.record_probe(Millis(1900), LeaderProbe::NoAnswer));
    assert_eq!(watch.record_pulse(Millis(1900), 7), PulseVerdict::TakeOver);
}

#[test]
fn a_standby_does_not_take_over_after_three_quick_misses() {
    let mut watch = LeaderWatch::default();
    for at in [0, 400, 800, 1200] {
        assert!(watch.record_probe(Millis(at), LeaderProbe::NoAnswer));
        assert_eq!(watch.record_pulse(Millis(at), 7), PulseVerdict::Wait);
    }
}

#[test]
fn a_partitioned_standby_does_not_take_over_from_a_live_leader() {
    let mut watch = LeaderWatch::default();
    for number in 0..20 {
        let at = Millis(number * 1000);
        assert!(watch.record_probe(at, LeaderProbe::NoAnswer));
        assert_eq!(watch.record_pulse(at, number), PulseVerdict::Wait);
    }
}

#[test]
fn an_answer_of_the_leader_resets_the_misses() {
    let mut watch = LeaderWatch::default();
    for at in [0, 1000] {
        assert!(watch.record_probe(Millis(at), LeaderProbe::NoAnswer));
        assert_eq!(watch.record_pulse(Millis(at), 7), PulseVerdict::Wait);
    }
    assert!(!watch.record_probe(Millis(1500), HEALTHY_LEADER));
    assert!(watch.record_probe(Millis(5000), LeaderProbe::NoAnswer));
    assert_eq!(watch.record_pulse(Millis(5000), 7), PulseVerdict::Wait);
}

#[test]
fn a_leader_without_the_store_counts_as_missed() {
    let mut watch = LeaderWatch::default();
    let without_store = LeaderProbe::Leading {
        store_age: Millis(2500),
    };
    for at in [0, 1000] {
        assert!(watch.record_probe(Millis(at), without_store));
        assert_eq!(watch.record_pulse(Millis(at), 7), PulseVerdict::Wait);
    }
    assert!(watch.record_probe(Millis(2000), without_store));
    assert_eq!(watch.record_pulse(Millis(2000), 7), PulseVerdict::TakeOver);
}

#[test]
fn a_leader_lost_during_an_outage_of_the_store_is_probed_again_after_the_outage() {
    let mut watch = LeaderWatch::default();
    // The store answers no read of the pulse until second 5.
    for at in [0, 1600, 3200, 4800] {
        assert!(watch.record_probe(Millis(at), LeaderProbe::NoAnswer));
    }
    assert_eq!(
        watch.record_pulse(Millis(5000), 7),
        PulseVerdict::ProbeAgain
    );
    // If that takeover fails, the pulse is judged as usual.
    assert!(watch.record_probe(Millis(5500), LeaderProbe::NoAnswer));
    assert_eq!(watch.record_pulse(Millis(5600), 7), PulseVerdict::Wait);
    assert_eq!(watch.record_pulse(Millis(6400), 7), PulseVerdict::TakeOver);
}
