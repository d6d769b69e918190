//! The run of one item: reads its events with their weight versions, and has the text scored.

use super::agent_process::Agent;
use super::engine_poll::poll_report;
use super::run_end::RunEnd;
use super::runner;
use super::score::score;
use super::score_outcome::ScoreOutcome;
use crate::http::exchange::Exchange;
use crate::http::send_error::SendError;
use crate::peer::messages::{ReturnReason, ReturnedItem, WorkItem};
use crate::prelude::*;
use futures_util::FutureExt as _;
use http::StatusCode;
use oleander_platform::event_buffer::EventBuffer;
use oleander_platform::headers;
use oleander_platform::run_event::RunEvent;
use oleanderlock::batch::progress::Progress;
use oleanderlock::batch::sample::Sample;
use oleanderlock::batch::sample_end::SampleEnd;
use oleanderlock::routing::placement::Placement;
use oleanderlock::routing::stall_clock::StallClock;
use std::panic::AssertUnwindSafe;
use std::rc::Rc;

/// Timeout of the response to a run and of each of its events; a weight load pauses runs for about
/// a second. Doubled for the run after one that stalled.
const EVENT_TIMEOUT: Millis = Millis(4000);
/// Longest event of a run, in bytes.
const EVENT_MAX_BYTES: usize = 1 << 20;
/// Longest text of a run, in bytes; a longer one would not fit into a value of the store.
const TEXT_MAX_BYTES: usize = 1 << 20;
/// Stalled runs in a row without an event after which an item is returned for another engine.
const STALLS_MAX: u32 = 1;
/// Pause after the engine refused a run or a run broke off.
const RETRY_PAUSE: Millis = Millis(60);
/// Longest time that a run waits for the engine's rate limit before its item is returned for
/// another engine.
const LIMIT_DELAY_MAX: Millis = Millis(2000);
/// Refusals after which an item is returned for another engine.
const REFUSALS_MAX: u32 = 25;
/// Broken runs after which an item is returned for another engine.
const BREAKS_MAX: u32 = 4;

/// Runs an item until it has a result or has to be returned to the dispatcher; returns it also if the
/// run panics, so that it doesn't hold a slot for good.
pub async fn run_or_return(agent: Rc<Agent>, work: WorkItem) {
    let run = AssertUnwindSafe(run_item(Rc::clone(&agent), work.clone()));
    if run.catch_unwind().await.is_err() {
        // The message and place of the panic are on standard error.
        event(log::Level::Error, "run-panicked", || {
            format!("request={} job={}", work.key.item, work.key.job)
        });
        agent.metrics.count_event("run_panicked");
        return_item(&agent, &work, ReturnReason::EngineLost, Progress::default());
        agent.notify();
    }
}

async fn run_item(agent: Rc<Agent>, work: WorkItem) {
    let started_at = now();
    let mut progress = usable_progress(&agent, &work);
    save_progress(&agent, &work, &progress);
    let run_end = generate_text(&agent, &work, &mut progress).await;
    let events = progress.last_event;
    event(log::Level::Info, "run-ended", || {
        format!(
            "request={} job={} end={run_end:?} events={events} versions={:?} took={} software={}",
            work.key.item,
            work.key.job,
            progress.versions,
            now().since(started_at),
            agent.software().as_deref().unwrap_or("unknown")
        )
    });
    let took = now().since(started_at);
    agent.metrics.record_latency("run", took);
    agent.state.borrow_mut().record_run(took);
    match run_end {
        RunEnd::Whole => finish(&agent, &work, progress).await,
        RunEnd::Impossible => give_up(&agent, &work),
        RunEnd::Failed => return_item(&agent, &work, ReturnReason::EngineFailed, progress),
        RunEnd::WrongWeights => {
            return_item(&agent, &work, ReturnReason::TooOld, Progress::default());
        }
        RunEnd::Refused
        | RunEnd::Unreachable
        | RunEnd::Broken
        | RunEnd::Stalled
        | RunEnd::NotRouted
        | RunEnd::OtherInstance => {
            return_item(&agent, &work, ReturnReason::EngineLost, progress);
        }
    }
    agent.notify();
    runner::start_waiting(&agent);
}

/// Returns the progress of an earlier run from which the engine may go on. The leader has chosen the
/// engine by an earlier report, and its software may have been replaced since.
fn usable_progress(agent: &Agent, work: &WorkItem) -> Progress {
    let progress = work.progress.clone().unwrap_or_default();
    let software = agent.software();
    if progress.last_event == 0 || progress.may_resume_at(software.as_deref()) {
        return progress;
    }
    event(log::Level::Info, "progress-discarded", || {
        format!(
            "request={} job={} events={} software={:?} engine={software:?}",
            work.key.item, work.key.job, progress.last_event, progress.software
        )
    });
    Progress::default()
}

async fn finish(agent: &Agent, work: &WorkItem, progress: Progress) {
    let end = match score(agent, work).await {
        ScoreOutcome::Score(score) => SampleEnd::Done {
            text: progress.text.as_str().into(),
            versions: progress.versions,
            score,
        },
        ScoreOutcome::NeverScored => SampleEnd::GivenUp,
    };
    agent.state.borrow_mut().finish(Sample {
        key: work.key.clone(),
        end,
    });
}

fn give_up(agent: &Agent, work: &WorkItem) {
    agent.state.borrow_mut().finish(Sample {
        key: work.key.clone(),
        end: SampleEnd::GivenUp,
    });
}

fn return_item(agent: &Agent, work: &WorkItem, reason: ReturnReason, progress: Progress) {
    agent.metrics.record_retry(&reason.to_string());
    let progress = (progress.last_event > 0).then_some(progress);
    let item = ReturnedItem::new(work.key.clone(), reason, progress);
    agent.state.borrow_mut().return_item(item);
}

/// Starts runs, each after the last event of the one before, until the text is complete or the item
/// can't go on at this engine.
async fn generate_text(agent: &Agent, work: &WorkItem, progress: &mut Progress) -> RunEnd {
    let (mut refusals, mut breaks, mut stalls) = (0, 0, 0);
    loop {
        let last_event = progress.last_event;
        let timeout = Millis(EVENT_TIMEOUT.0 << stalls);
        let end = run_once(agent, work, timeout, progress).await;
        save_progress(agent, work, progress);
        if progress.last_event > last_event {
            stalls = 0;
        }
        match end {
            RunEnd::Refused if refusals < REFUSALS_MAX => refusals += 1,
            RunEnd::Broken if breaks < BREAKS_MAX => breaks += 1,
            RunEnd::Stalled if stalls < STALLS_MAX => stalls += 1,
            end => return end,
        }
        sleep(RETRY_PAUSE).await;
        let Some(endpoint) = agent.ready_endpoint() else {
            return end;
        };
        if agent.state.borrow().fresh_report().is_none() {
            return end;
        }
        if !agent.wait_for_limit(&endpoint, LIMIT_DELAY_MAX).await {
            return end;
        }
    }
}

/// Stores the progress with the item, so that it is not lost when the run is cancelled.
fn save_progress(agent: &Agent, work: &WorkItem, progress: &Progress) {
    agent.state.borrow_mut().set_progress(&work.key, progress);
}

/// Runs an item once; `timeout` is that of the response and of each event.
async fn run_once(
    agent: &Agent,
    work: &WorkItem,
    timeout: Millis,
    progress: &mut Progress,
) -> RunEnd {
    agent.wait_until_open(&work.key.job).await;
    if progress.last_event > 0 {
        // The engine may have restarted with another software version since the last poll.
        poll_report(agent).await;
    }
    let Some(endpoint) = agent.ready_endpoint() else {
        return RunEnd::OtherInstance;
    };
    let placement = agent.placement(&endpoint.service, work);
    if placement != Placement::Here {
        event(log::Level::Info, "run-not-routed", || {
            format!(
                "request={} service={} placement={placement:?}",
                work.key.item, endpoint.service
            )
        });
        return RunEnd::NotRouted;
    }
    let software = endpoint.software.as_deref();
    if progress.last_event > 0 && !progress.may_resume_at(software) {
        return RunEnd::OtherInstance;
    }
    let condition = agent.job_checks.condition(&work.key.job);
    let opening = agent
        .engine
        .run(work, &endpoint, progress.last_event, &condition);
    let opened = within(timeout, opening).await;
    if agent.caller.leaving().contains(&endpoint) {
        // Other engines run the items that have not started here.
        agent.return_matching(ReturnReason::EngineLost, |running| !running);
    }
    let exchange = match opened {
        None => return RunEnd::Stalled,
        Some(Err(SendError::NotSent { .. })) if agent.engine_is_down().await => {
            return RunEnd::Unreachable;
        }
        Some(Err(SendError::NotSent { .. } | SendError::Withheld { .. })) => {
            return RunEnd::Refused;
        }
        Some(Err(SendError::NoAnswer { .. })) => return RunEnd::Broken,
        Some(Ok(exchange)) => exchange,
    };
    let header = |name: &str| exchange.head.headers.get(name)?.to_str().ok();
    let echoed = header(headers::REQUEST_ID);
    let is_signed = header(headers::SIGNATURE).is_some();
    let is_success = exchange.head.status.is_success();
    // The late copy of another response, such as that to an order, names another request or none.
    let is_foreign = !exchange.may_answer(&work.key.item);
    if is_foreign || (is_success && !(is_signed && echoed.is_some())) {
        return RunEnd::Broken;
    }
    let not_run = header(headers::NOT_RUN).is_some();
    if !exchange.head.status.is_success() && !not_run {
        event(log::Level::Info, "run-failure", || {
            format!(
                "request={} instance={} status={} echoed={} first_on_connection={} signature={:?}",
                work.key.item,
                endpoint.instance,
                exchange.head.status.as_u16(),
                echoed.is_some(),
                exchange.is_first_on_connection(),
                header(headers::SIGNATURE)
            )
        });
    }
    let version = header(headers::WEIGHT_VERSION).and_then(|text| text.trim().parse().ok());
    match exchange.head.status {
        StatusCode::OK => {}
        StatusCode::MISDIRECTED_REQUEST => {
            event(log::Level::Warn, "engine-replaced", || {
                format!("request={} listed={}", work.key.item, endpoint.instance)
            });
            agent.refuse_entry(&endpoint);
            return RunEnd::OtherInstance;
        }
        StatusCode::UNPROCESSABLE_ENTITY => return RunEnd::Impossible,
        _ if not_run => return RunEnd::Refused,
        StatusCode::INTERNAL_SERVER_ERROR => return RunEnd::Failed,
        _ => return RunEnd::Broken,
    }
    if progress.last_event == 0 {
        poll_report(agent).await;
        if agent.has_restarted(&endpoint) {
            // Its events would be stored under the software version of the old list entry.
            return RunEnd::OtherInstance;
        }
        progress.software = endpoint.software;
    }
    let clock = StallClock::new(now(), timeout);
    read_events(agent, work, exchange, (clock, version), progress).await
}

async fn read_events(
    agent: &Agent,
    work: &WorkItem,
    mut exchange: Exchange,
    (mut clock, mut version): (StallClock, Option<u64>),
    progress: &mut Progress,
) -> RunEnd {
    let mut buf = EventBuffer::default();
    let mut last = None;
    loop {
        while let Some(run_event) = buf.next_event() {
            let run_event = match run_event {
                Ok(run_event) => run_event,
                Err(error) => {
                    event(log::Level::Warn, "run-spoiled", || {
                        format!("request={} reason=\"{error}\"", work.key.item)
                    });
                    return RunEnd::Broken;
                }
            };
            let now = now();
            if let Some(last) = last.replace(now) {
                let mut state = agent.state.borrow_mut();
                state.pace.record(now, now.since(last));
            }
            version = run_event.version.or(version);
            if let Some(end) = append_event(work, run_event, version, progress) {
                return end;
            }
            save_progress(agent, work, progress);
        }
        if buf.remaining() > EVENT_MAX_BYTES {
            return RunEnd::Broken;
        }
        match within(clock.left(now()), exchange.next_chunk()).await {
            Some(Ok(Some(chunk))) => {
                clock.push(now(), &chunk);
                buf.push(&chunk);
            }
            Some(Ok(None)) if buf.has_remaining() => return RunEnd::Broken,
            Some(Ok(None)) => return RunEnd::Whole,
            Some(Err(_)) => return RunEnd::Broken,
            None => return RunEnd::Stalled,
        }
    }
}

/// Appends an event to the progress; returns the end of the run if the event is not acceptable.
fn append_event(
    work: &WorkItem,
    run_event: RunEvent,
    version: Option<u64>,
    progress: &mut Progress,
) -> Option<RunEnd> {
    let Some(version) = version.filter(|version| *version >= work.oldest_version) else {
        return Some(RunEnd::WrongWeights);
    };
    let number = run_event.id.unwrap_or(progress.last_event + 1);
    if number != progress.last_event + 1 {
        return Some(RunEnd::Broken);
    }
    if !progress.versions.contains(&version) {
        progress.versions.push(version);
        if work.single_version && progress.versions.len() > 1 {
            return Some(RunEnd::WrongWeights);
        }
    }
    if progress.text.len() + run_event.data.len() > TEXT_MAX_BYTES {
        return Some(RunEnd::Broken);
    }
    if progress.last_event > 0 {
        progress.text.push('\n');
    }
    progress.text.push_str(&run_event.data);
    progress.last_event = number;
    None
}
