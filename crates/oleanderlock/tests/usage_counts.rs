//! Counting of requests by workspace and window: at an entry, and at the leader that sums the counts.

use oleanderlock::duties::WorkspaceCounts;
use oleanderlock::duties::true_clock::TrueClock;
use oleanderlock::duties::usage_counts::UsageCounts;
use oleanderlock::duties::usage_ledger::UsageLedger;
use oleanderlock::duties::usage_report::UsageReport;
use oleanderlock::duties::usage_window::UsageWindow;
use oleanderlock::prelude::*;

const WINDOW: Millis = Millis(5000);
/// True time at the start of the monotonic clocks: the start of window 1000.
const START_MS: u64 = 5_000_000;

fn clock_off_by(off_ms: i64) -> TrueClock {
    TrueClock::new(Millis::ZERO, START_MS.saturating_add_signed(off_ms))
}

fn counts() -> UsageCounts {
    UsageCounts::new(UsageWindow::new(WINDOW), clock_off_by(0))
}

fn ledger(now: u64) -> UsageLedger {
    UsageLedger::new(UsageWindow::new(WINDOW), Millis(now), clock_off_by(0))
}

fn report(counts: &UsageCounts, now: u64) -> UsageReport {
    counts.report(Millis(now), "entry-0", 1)
}

fn counted(report: &UsageReport, window: u64) -> u64 {
    let of_window = report.windows.get(&window);
    of_window.map_or(0, |counts| counts.values().sum())
}

/// Counts a request that an endpoint receives at `sent` and answers.
fn answer(counts: &mut UsageCounts, workspace: &str, sent: u64) {
    let id = counts.begin(workspace.into());
    counts.record_sent(id, "e", Millis(sent));
    counts.record_answer(id, "e");
}

fn of(workspace: &str, count: u64) -> WorkspaceCounts {
    [(workspace.to_owned(), count)].into()
}

/// Guards against counting a request when its answer arrives: a slow call would move to the next
/// window.
#[test]
fn request_counts_in_the_window_in_which_the_endpoint_that_answered_received_it() {
    let mut counts = counts();
    let id = counts.begin("w".into());
    counts.record_sent(id, "a", Millis(4900));
    counts.record_failed(id, "a");
    counts.record_sent(id, "b", Millis(5100));
    assert_eq!(counted(&report(&counts, 9000), 1000), 1);
    counts.record_answer(id, "b");
    let report = report(&counts, 11_000);
    assert_eq!((counted(&report, 1000), counted(&report, 1001)), (0, 1));
}

/// Guards against counting each attempt, of retries as of hedges.
#[test]
fn request_that_several_endpoints_ran_counts_once() {
    let mut counts = counts();
    let id = counts.begin("w".into());
    for instance in ["a", "b", "c"] {
        counts.record_sent(id, instance, Millis(100));
    }
    counts.record_lost(id, "a");
    counts.record_answer(id, "c");
    counts.finish(id);
    assert_eq!(report(&counts, 200).windows, [(1000, of("w", 1))].into());
}

/// Guards against counting refusals, and against losing requests whose response was lost.
#[test]
fn request_counts_if_one_endpoint_did_not_say_that_it_has_not_run() {
    let mut counts = counts();
    let refused = counts.begin("refused".into());
    counts.record_sent(refused, "a", Millis(1));
    counts.record_not_run(refused, "a");
    counts.finish(refused);
    let unsent = counts.begin("unsent".into());
    counts.finish(unsent);
    let lost = counts.begin("lost".into());
    counts.record_sent(lost, "a", Millis(1));
    counts.record_lost(lost, "a");
    counts.record_sent(lost, "b", Millis(2));
    counts.record_not_run(lost, "b");
    counts.finish(lost);
    let timed_out = counts.begin("timed-out".into());
    counts.record_sent(timed_out, "a", Millis(1));
    counts.finish(timed_out);
    let failed = counts.begin("failed".into());
    counts.record_sent(failed, "a", Millis(1));
    counts.record_failed(failed, "a");
    counts.finish(failed);
    let report = report(&counts, 100);
    let workspaces: Vec<&String> = report.windows[&1000].keys().collect();
    assert_eq!(workspaces, ["failed", "lost", "timed-out"]);
}

/// Guards against windows that are written without requests that take longer than that.
#[test]
fn request_without_an_answer_counts_as_running_and_keeps_its_window_open() {
    let mut counts = counts();
    let id = counts.begin("w".into());
    counts.record_sent(id, "a", Millis(4000));
    let report = report(&counts, 8000);
    assert_eq!(counted(&report, 1000), 1);
    assert_eq!(report.complete_through_ms, START_MS + 4000);
}

/// Guards against counting a request in the window that was written while it ran and in another one.
#[test]
fn request_that_was_written_while_it_ran_does_not_count_again() {
    let mut counts = counts();
    let id = counts.begin("w".into());
    counts.record_sent(id, "a", Millis(4000));
    counts.confirm(1000, 0);
    counts.record_lost(id, "a");
    counts.record_sent(id, "b", Millis(9500));
    counts.record_answer(id, "b");
    assert_eq!(report(&counts, 10_000).windows.len(), 0);
    assert!(!counts.has_unwritten());
    assert_eq!(counts.take_losses(), (0, 0));
}

/// Guards against a stream that counts when it is requested: the platform counts its first token.
#[test]
fn stream_counts_with_its_first_event() {
    let mut counts = counts();
    let id = counts.begin("w".into());
    counts.record_sent(id, "a", Millis(4900));
    counts.record_first_event(id, Millis(5200));
    assert_eq!(report(&counts, 5300).windows, [(1001, of("w", 1))].into());
}

/// Guards against reports that grow for ever, and against counts that are dropped unwritten.
#[test]
fn windows_are_reported_until_they_are_written() {
    let mut counts = counts();
    answer(&mut counts, "w", 100);
    answer(&mut counts, "w", 5100);
    assert_eq!(report(&counts, 6000).windows.len(), 2);
    counts.confirm(1000, 0);
    assert_eq!(report(&counts, 6000).windows, [(1001, of("w", 1))].into());
    counts.confirm(0, 0);
    assert_eq!(report(&counts, 6000).windows.len(), 1);
    counts.confirm(1001, 0);
    assert!(!counts.has_unwritten());
    answer(&mut counts, "w", 200);
    assert_eq!(counts.take_losses(), (1, 0));
}

/// Guards against an entry whose time of day is off by 2 s: its windows would begin 2 s too early.
#[test]
fn clock_of_one_entry_that_is_off_moves_no_window() {
    for off_ms in [-2000, 2000] {
        let mut ledger = ledger(0);
        let window = UsageWindow::new(WINDOW);
        let clocks = [0, off_ms, 3, -4].map(clock_off_by);
        let mut entries = clocks.map(|clock| UsageCounts::new(window, clock));
        for (n, entry) in (0..).zip(&mut entries) {
            let report = entry.report(Millis(100), "entry", n);
            let offset_ms = ledger.record(Millis(105), report);
            entry.confirm(0, offset_ms);
        }
        answer(&mut entries[1], "w", 4900);
        answer(&mut entries[1], "w", 5100);
        let report = entries[1].report(Millis(6000), "entry", 1);
        let expected = [(1000, of("w", 1)), (1001, of("w", 1))];
        assert_eq!(report.windows, expected.into(), "off by {off_ms}");
        assert!(ledger.unix_ms(Millis(6000)).abs_diff(START_MS + 6000) < 10);
    }
}

/// Guards against a report that was delayed: the clock of its entry would be set back.
#[test]
fn delayed_report_does_not_set_a_clock_back() {
    let mut ledger = ledger(0);
    let counts = counts();
    assert_eq!(ledger.record(Millis(100), report(&counts, 100)), 0);
    assert_eq!(ledger.record(Millis(1900), report(&counts, 1100)), 0);
}

/// Guards against summing repeated reports, and against a late one that takes counts back.
#[test]
fn repeated_and_overtaken_reports_change_nothing() {
    let mut ledger = ledger(0);
    let mut counts = counts();
    answer(&mut counts, "w", 100);
    let early = report(&counts, 1000);
    answer(&mut counts, "w", 1100);
    let newer = report(&counts, 6000);
    for report in [&early, &newer, &newer, &early] {
        ledger.record(Millis(6000), report.clone());
    }
    assert_eq!(ledger.close(Millis(6000), 999), Some(of("w", 2)));
}

/// Guards against counting a request for good that was only reported as running: an endpoint refused
/// it, or another one answered it in the next window.
#[test]
fn request_that_was_reported_while_it_ran_counts_as_its_outcome_says() {
    let mut ledger = ledger(0);
    let mut counts = counts();
    let refused = counts.begin("refused".into());
    counts.record_sent(refused, "a", Millis(4000));
    let moved = counts.begin("moved".into());
    counts.record_sent(moved, "a", Millis(4900));
    counts.record_sent(moved, "b", Millis(5100));
    ledger.record(Millis(5200), report(&counts, 5200));
    counts.record_not_run(refused, "a");
    counts.finish(refused);
    counts.record_answer(moved, "b");
    ledger.record(Millis(10_200), report(&counts, 10_200));
    assert_eq!(
        ledger.close(Millis(10_200), 999),
        Some(WorkspaceCounts::new())
    );
    assert_eq!(ledger.close(Millis(10_200), 1000), Some(of("moved", 1)));
}

/// Guards against losing the counts of an entry that was replaced.
#[test]
fn processes_of_one_node_add_up() {
    let mut ledger = ledger(0);
    let mut counts = counts();
    answer(&mut counts, "w", 100);
    for process in [1, 2] {
        let report = counts.report(Millis(6000), "entry-0", process);
        ledger.record(Millis(6000), report);
    }
    assert_eq!(ledger.close(Millis(6000), 999), Some(of("w", 2)));
}

/// Guards against windows that are written before an entry has reported their last second, and
/// against waiting for an entry that is gone.
#[test]
fn window_closes_when_all_entries_have_reported_past_it_or_4_s_after_its_end() {
    let mut ledger = ledger(0);
    let mut counts = counts();
    answer(&mut counts, "w", 100);
    let report = |now: u64, process: u64| counts.report(Millis(now), "entry", process);
    ledger.record(Millis(5500), report(5500, 1));
    ledger.record(Millis(4900), report(4900, 2));
    assert_eq!(ledger.close(Millis(4999), 999), None);
    assert_eq!(ledger.close(Millis(8990), 999), None);
    assert_eq!(ledger.missing(1000), ["entry"]);
    assert_eq!(ledger.close(Millis(9000), 999), Some(of("w", 2)));
    ledger.record(Millis(10_100), report(10_100, 1));
    ledger.record(Millis(10_100), report(10_100, 2));
    assert_eq!(
        ledger.close(Millis(10_100), 1000),
        Some(WorkspaceCounts::new())
    );
    assert_eq!(ledger.close(Millis(10_100), 1001), None);
}

/// Guards against a new leader that writes windows before entries have sent them again.
#[test]
fn new_leader_waits_for_the_reports_of_entries() {
    let mut ledger = ledger(20_000);
    let mut counts = counts();
    answer(&mut counts, "w", 100);
    assert_eq!(ledger.close(Millis(20_000), 999), None);
    ledger.record(Millis(21_000), report(&counts, 21_000));
    assert_eq!(ledger.close(Millis(22_900), 999), None);
    assert_eq!(ledger.close(Millis(23_000), 999), Some(of("w", 1)));
}

/// Guards against a window without requests that is never reported.
#[test]
fn window_without_entries_closes_empty() {
    let mut ledger = ledger(0);
    assert_eq!(ledger.close(Millis(8999), 999), None);
    assert_eq!(
        ledger.close(Millis(9000), 999),
        Some(WorkspaceCounts::new())
    );
}
