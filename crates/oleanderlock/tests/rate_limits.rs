//! Rate limits of endpoints, kept by many processes together.

use oleanderlock::prelude::*;
use oleanderlock::routing::caller_rank::CallerRank;
use oleanderlock::routing::caller_share::CallerShare;
use oleanderlock::routing::rate_limits::RateLimits;
use oleanderlock::routing::request_rate::RequestRate;

/// Unix time at which the processes start, in milliseconds.
const START_UNIX_MS: u64 = 1_790_000_000_000;
/// Span over which requests to an endpoint are counted.
const WINDOW: Millis = Millis(4000);
/// Step of the simulated time.
const STEP: Millis = Millis(10);
/// Simulated time, several epochs.
const SIMULATED: Millis = Millis::from_secs(45);
/// Random deployments that are simulated.
const SEEDS: u64 = 60;
/// Largest difference between the clock of a process and true time, in milliseconds.
const CLOCK_ERROR_MS: u64 = 2000;

fn rate(per_second: f64) -> RequestRate {
    RequestRate::new(per_second).expect("a valid rate")
}

/// Most requests in any window.
fn most_in_window(sent: &[Millis]) -> usize {
    let mut start = 0;
    let mut most = 0;
    for (end, at) in sent.iter().enumerate() {
        while at.since(sent[start]) >= WINDOW {
            start += 1;
        }
        most = most.max(end + 1 - start);
    }
    most
}

/// Simulates processes that always have requests for one endpoint, or only in bursts; returns when
/// requests were sent.
fn simulate(
    limit: RequestRate,
    shares: &[CallerShare],
    clock_errors_ms: &[u64],
    busy: impl Fn(usize, Millis) -> bool,
) -> Vec<Millis> {
    let mut processes: Vec<RateLimits> = vec![RateLimits::default(); shares.len()];
    for limits in &mut processes {
        assert!(limits.record("a", limit, Millis::ZERO));
    }
    let mut sent = Vec::new();
    let mut now = Millis(1);
    while now < SIMULATED {
        for (n, limits) in processes.iter_mut().enumerate() {
            let unix_ms = START_UNIX_MS + now.0 + clock_errors_ms[n] - CLOCK_ERROR_MS;
            let free = |limits: &RateLimits| limits.delay("a", shares[n], now, unix_ms);
            while busy(n, now) && free(limits) == Some(Millis::ZERO) {
                assert!(limits.reserve("a", shares[n], now, unix_ms).is_some());
                sent.push(now);
            }
        }
        now = now.plus(STEP);
    }
    sent
}

#[test]
fn any_number_of_processes_stays_within_the_limit_whatever_their_clocks() {
    for seed in 0..SEEDS {
        arbtest::arbtest(|u| {
            let callers = u.int_in_range(1..=60)?;
            let limit = f64::from(u.int_in_range(0..=400)?) / 10.0;
            let shares: Vec<CallerShare> =
                (0..callers).map(|n| CallerShare::new(callers, n)).collect();
            let errors = (0..callers).map(|_| u.int_in_range(0..=2 * CLOCK_ERROR_MS));
            let errors: Vec<u64> = errors.collect::<Result<_, _>>()?;
            let pause = u.int_in_range(1..=12_000)?;
            let busy = |n: usize, now: Millis| (now.0 / pause + n as u64).is_multiple_of(2);
            let sent = simulate(rate(limit), &shares, &errors, busy);
            let allowed = 1.5 * limit * WINDOW.0 as f64 / 1000.0 + 5.0;
            let most = most_in_window(&sent) as f64;
            assert!(most <= allowed, "{callers} callers, limit {limit}: {most}");
            Ok(())
        })
        .seed(seed << 32 | 1024)
        .run();
    }
}

#[test]
fn busy_processes_use_most_of_the_limit() {
    for (callers, limit) in [(1, 1.0), (1, 3.2), (14, 8.4), (14, 1.0), (200, 20.0)] {
        let shares: Vec<CallerShare> = (0..callers).map(|n| CallerShare::new(callers, n)).collect();
        let sent = simulate(
            rate(limit),
            &shares,
            &vec![CLOCK_ERROR_MS; callers],
            |_, _| true,
        );
        let used = sent.len() as f64 / (SIMULATED.0 as f64 / 1000.0);
        assert!(
            used > 0.9 * limit,
            "{callers} callers used {used} of {limit}"
        );
    }
}

#[test]
fn two_groups_divide_the_limit() {
    let mut shares = vec![CallerShare::sole().of_percent(50)];
    shares.extend((0..5).map(|n| CallerShare::new(5, n).of_percent(50)));
    for limit in [0.5, 1.0, 3.2, 20.0] {
        let sent = simulate(rate(limit), &shares, &[CLOCK_ERROR_MS; 6], |_, _| true);
        let allowed = 1.5 * limit * WINDOW.0 as f64 / 1000.0 + 5.0;
        let most = most_in_window(&sent) as f64;
        assert!(most <= allowed, "limit {limit}: {most}");
    }
}

#[test]
fn each_process_gets_a_turn_at_a_low_limit() {
    let callers = 14;
    for index in 0..callers {
        let share = CallerShare::new(callers, index);
        let epochs = (0..100).map(|epoch| START_UNIX_MS + epoch * 10_000);
        let turns = epochs
            .filter(|unix_ms| share.grant("a", rate(1.0), *unix_ms).is_some())
            .count();
        assert!(turns > 0, "process {index} never holds a part of the limit");
    }
}

#[test]
fn a_limit_of_zero_admits_one_request_an_hour() {
    let shares = [CallerShare::sole()];
    let sent = simulate(rate(0.0), &shares, &[CLOCK_ERROR_MS], |_, _| true);
    assert_eq!(sent.len(), 1);
}

#[test]
fn an_unknown_number_of_processes_leaves_little_of_the_limit_to_each() {
    let names: Vec<String> = (0..14).map(|n| format!("entry-{n}")).collect();
    let shares: Vec<CallerShare> = names
        .iter()
        .map(|name| CallerShare::unknown(name))
        .collect();
    let sent = simulate(
        rate(8.4),
        &shares,
        &vec![CLOCK_ERROR_MS; shares.len()],
        |_, _| true,
    );
    let used = sent.len() as f64 / (SIMULATED.0 as f64 / 1000.0);
    assert!(used < 0.5 * 8.4, "{used}");
}

#[test]
fn agents_are_ranked_behind_entries() {
    let entry = CallerRank {
        entries: 5,
        agents: 9,
        index: 4,
    };
    assert_eq!(entry.share_of_entry(true), CallerShare::new(14, 4));
    assert_eq!(entry.share_of_entry(false), CallerShare::new(5, 4));
    let agent = CallerRank { index: 8, ..entry };
    assert_eq!(agent.share_of_agent(), CallerShare::new(14, 13));
}

#[test]
fn only_the_response_to_a_later_request_lifts_a_limit() {
    let mut limits = RateLimits::default();
    assert!(limits.record("a", rate(2.0), Millis(100)));
    assert!(!limits.record("a", rate(2.0), Millis(200)));
    assert!(!limits.record_none("a", Millis(150)));
    assert!(!limits.record_none("a", Millis(200)));
    assert_eq!(limits.rate("a"), Some(rate(2.0)));
    assert!(limits.record_none("a", Millis(201)));
    assert_eq!(limits.rate("a"), None);
    let sole = CallerShare::sole();
    let delay = limits.delay("a", sole, Millis(300), START_UNIX_MS);
    assert_eq!(delay, Some(Millis::ZERO));
}

#[test]
fn a_higher_limit_shortens_the_wait_for_the_next_request() {
    let mut limits = RateLimits::default();
    let sole = CallerShare::sole();
    limits.record("a", rate(0.0), Millis(100));
    limits.reserve("a", sole, Millis(100), START_UNIX_MS);
    let delay = limits.delay("a", sole, Millis(200), START_UNIX_MS);
    assert!(delay > Some(Millis::from_secs(60)), "{delay:?}");
    limits.record("a", rate(0.05), Millis(200));
    let delay = limits.delay("a", sole, Millis(200), START_UNIX_MS);
    assert!(delay <= Some(Millis::from_secs(20)), "{delay:?}");
    limits.record("a", rate(2.0), Millis(200));
    let delay = limits.delay("a", sole, Millis(200), START_UNIX_MS);
    assert!(delay <= Some(Millis(500)), "{delay:?}");
}

#[test]
fn a_limit_that_is_named_again_does_not_forget_what_was_sent() {
    let mut limits = RateLimits::default();
    let sole = CallerShare::sole();
    limits.record("a", rate(1.0), Millis(100));
    for expected in [0, 0, 1000, 2000] {
        let delay = limits.reserve("a", sole, Millis(100), START_UNIX_MS);
        assert_eq!(delay, Some(Millis(expected)));
    }
    assert!(limits.record("a", rate(0.5), Millis(200)));
    let delay = limits.delay("a", sole, Millis(200), START_UNIX_MS);
    assert!(delay >= Some(Millis(1000)), "{delay:?}");
}
