//! Replays of loads against the decision how many endpoints a service has in a failure domain. Ordered
//! endpoints serve after the boot time; the platform bills them from the order on.

use oleanderlock::duties::scale_input::ScaleInput;
use oleanderlock::duties::scale_loads::ScaleLoads;
use oleanderlock::duties::scale_plan::ScalePlan;
use oleanderlock::duties::service_demand::ServiceDemand;
use oleanderlock::prelude::*;
use oleanderlock::routing::scale_limits::ScaleLimits;

const SLOTS: u32 = 6;
const BOOT_S: u64 = 15;
const LIMITS: ScaleLimits = ScaleLimits {
    min: 2,
    max: 12,
    boot: Millis::from_secs(BOOT_S),
};

/// Endpoints of one service in one failure domain.
struct Replay {
    plan: ScalePlan,
    ordered: Option<u32>,
    /// Seconds at which an order was made, and its number.
    orders: Vec<(u64, u32)>,
    listed: u32,
    /// Calls that found no slot, summed over seconds.
    unserved: f64,
    endpoint_seconds: u64,
}

impl Replay {
    fn new() -> Self {
        Self {
            plan: ScalePlan::default(),
            ordered: None,
            orders: Vec::new(),
            listed: LIMITS.min,
            unserved: 0.0,
            endpoint_seconds: 0,
        }
    }

    /// Runs for `seconds` with the load of each second; `api` tells whether orders are taken.
    fn run(&mut self, seconds: u64, load: impl Fn(u64) -> f64, api: impl Fn(u64) -> bool) {
        let mut waiting_order = None;
        for second in 0..seconds {
            let input = ScaleInput {
                load: load(second),
                listed: self.listed,
                slots: SLOTS,
                limits: LIMITS,
                ordered: self.ordered,
            };
            if let Some(count) = self.plan.decide(Millis::from_secs(second), &input) {
                self.ordered = Some(count);
                waiting_order = Some(count);
            }
            if let Some(count) = waiting_order.filter(|_| api(second)) {
                waiting_order = None;
                self.orders.push((second, count));
            }
            let ready = self.orders.iter().rfind(|(at, _)| at + BOOT_S <= second);
            let last = self.orders.last().map_or(LIMITS.min, |(_, count)| *count);
            let ready = ready.map_or(LIMITS.min, |(_, count)| *count);
            // What is given up goes at once, what is ordered comes after the boot time.
            self.listed = ready.min(last).max(self.listed.min(last));
            let capacity = f64::from(self.listed * SLOTS);
            self.unserved += (load(second) - capacity).max(0.0);
            self.endpoint_seconds += u64::from(last);
        }
    }
}

fn always(_: u64) -> bool {
    true
}

/// Guards against endpoints that come after the wave, and against those that stay after it.
#[test]
fn wave_is_served_and_its_endpoints_are_given_up() {
    let wave = |second: u64| match second {
        0..60 => 6.0,
        60..180 => 6.0 + (second - 60) as f64 * 0.3,
        180..240 => 42.0,
        240..360 => 42.0 - (second - 240) as f64 * 0.3,
        _ => 6.0,
    };
    let mut replay = Replay::new();
    replay.run(480, wave, always);
    let calls: f64 = (0..480).map(wave).sum();
    assert!(
        replay.unserved < calls / 1000.0,
        "{} unserved: {:?}",
        replay.unserved,
        replay.orders
    );
    assert_eq!(replay.listed, LIMITS.min, "{:?}", replay.orders);
    // Less than twice the endpoints that the calls need at least.
    let needed = calls / f64::from(SLOTS);
    assert!(
        (replay.endpoint_seconds as f64) < needed * 2.0,
        "{}",
        replay.endpoint_seconds
    );
}

/// Guards against orders that go up and down with each change of the load.
#[test]
fn load_that_alternates_is_not_followed_down() {
    let mut replay = Replay::new();
    let alternating = |second: u64| {
        if (second / 10).is_multiple_of(2) {
            30.0
        } else {
            6.0
        }
    };
    replay.run(300, alternating, always);
    let falls = replay.orders.windows(2).filter(|two| two[1].1 < two[0].1);
    assert_eq!(falls.count(), 0, "{:?}", replay.orders);
}

/// Guards against a burst that is served after more than the boot time and the reports it takes.
#[test]
fn burst_is_served_after_the_boot_time() {
    let mut replay = Replay::new();
    let burst = |second: u64| if second < 30 { 6.0 } else { 40.0 };
    replay.run(120, burst, always);
    let mut rises = replay.orders.windows(2).filter(|two| two[1].1 > two[0].1);
    let last_rise = rises.next_back().expect("a rise")[1].0;
    assert!(last_rise <= 34, "{:?}", replay.orders);
    assert!(f64::from(replay.listed * SLOTS) >= 40.0);
}

/// Guards against endpoints that stay missing where the calls of a lost failure domain arrive.
#[test]
fn load_of_a_lost_failure_domain_is_served_in_the_other_one() {
    let mut here = Replay::new();
    let mut lost = Replay::new();
    here.run(200, |second| if second < 60 { 18.0 } else { 36.0 }, always);
    lost.run(200, |second| if second < 60 { 18.0 } else { 0.0 }, always);
    assert!(f64::from(here.listed * SLOTS) >= 36.0);
    assert_eq!(lost.listed, LIMITS.min);
}

/// Guards against a plan that forgets its order, or repeats an old one, when the API is back.
#[test]
fn order_that_the_api_did_not_take_follows_when_it_is_back() {
    let mut replay = Replay::new();
    let rise = |second: u64| if second < 20 { 6.0 } else { 30.0 };
    replay.run(120, rise, |second| !(15..60).contains(&second));
    let (at, count) = *replay.orders.last().expect("an order");
    assert_eq!(at, 60);
    assert!(f64::from(count * SLOTS) >= 30.0 * 1.2);
    let of_outage = replay.orders.iter().filter(|(at, _)| *at >= 15);
    assert_eq!(of_outage.count(), 1, "{:?}", replay.orders);
}

/// Guards against an entry whose one report is wrong: all endpoints would be ordered or given up.
#[test]
fn single_false_report_orders_nothing() {
    for wrong in [1e9, 0.0, f64::NAN, f64::INFINITY] {
        let mut replay = Replay::new();
        let load = |second: u64| if second == 100 { wrong } else { 20.0 };
        replay.run(99, load, always);
        let before = replay.orders.len();
        replay.run(200, load, always);
        assert_eq!(replay.orders.len(), before, "{wrong}: {:?}", replay.orders);
    }
}

/// Guards against numbers outside the limits, and against a service below its least number.
#[test]
fn orders_stay_within_the_limits() {
    let mut replay = Replay::new();
    replay.listed = 0;
    replay.run(100, |_| 1000.0, always);
    let counts = replay.orders.iter().map(|(_, count)| *count);
    assert!(
        counts
            .clone()
            .all(|count| (LIMITS.min..=LIMITS.max).contains(&count))
    );
    assert_eq!(counts.max(), Some(LIMITS.max));
}

fn demand(started: u64, ended: u64, busy_ms: u64, refused: u64) -> Vec<ServiceDemand> {
    vec![ServiceDemand {
        service: "desk".to_owned(),
        domain: "z".to_owned(),
        started,
        ended,
        busy_ms,
        refused,
    }]
}

/// Guards against loads that count a repeat twice, miss what was refused, or outlast their entry.
#[test]
fn load_follows_arrivals_service_times_and_refusals() {
    let mut loads = ScaleLoads::default();
    loads.record(Millis(1000), "e", 1, demand(0, 0, 0, 0));
    loads.record(Millis(2000), "e", 1, demand(100, 95, 19_000, 0));
    assert_eq!(loads.load(Millis(2000), "desk", "z"), 20.0);
    loads.record(Millis(2000), "e", 1, demand(100, 95, 19_000, 0));
    assert_eq!(loads.load(Millis(2000), "desk", "z"), 20.0);
    loads.record(Millis(3000), "e", 1, demand(250, 245, 39_000, 50));
    assert_eq!(loads.load(Millis(3000), "desk", "z"), 30.0);
    assert_eq!(loads.load(Millis(9000), "desk", "z"), 0.0);
}
