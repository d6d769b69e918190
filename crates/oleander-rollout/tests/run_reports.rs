//! Reports of runs to the leader: what an agent keeps of an item belongs to its present run.

use arbtest::arbtest;
use oleander_rollout::agent::held_item::HeldItem;
use oleander_rollout::agent::reported_progress::ReportedProgress;
use oleander_rollout::agent::state::State;
use oleander_rollout::peer::messages::WorkItem;
use oleander_rollout::runtime::spawn_task;
use oleanderlock::batch::checkpoint::Checkpoint;
use oleanderlock::batch::item_key::ItemKey;
use oleanderlock::batch::job_item::JobItem;
use oleanderlock::batch::progress::Progress;
use oleanderlock::batch::run_part::RunPart;
use oleanderlock::batch::runner::Runner;

fn key() -> ItemKey {
    ItemKey {
        job: "j".to_owned(),
        item: "i".to_owned(),
    }
}

/// Returns the progress of a run of a software version after `events` events.
fn progress(software: &str, events: u64) -> Progress {
    // A letter of two bytes shows parts that are cut within it.
    let lines: Vec<String> = (1..=events)
        .map(|n| format!("{software} \u{e9} {n}"))
        .collect();
    Progress {
        last_event: events,
        text: lines.join("\n"),
        versions: vec![1],
        software: Some(software.to_owned()),
    }
}

/// Returns the state of an agent with an item that runs, with the output of an earlier run.
fn running(earlier: Option<Progress>) -> State {
    let work = WorkItem {
        job_path: String::new(),
        key: key(),
        item: JobItem {
            id: "i".to_owned(),
            path: "/rollout/i".to_owned(),
            headers: Vec::new(),
            body_base64: String::new(),
            tokens: 300,
            expected_tokens: None,
            group: "g".to_owned(),
            score_call: None,
        },
        host: "host".to_owned(),
        model: "m".to_owned(),
        oldest_version: 1,
        single_version: false,
        score_attempts: 3,
        progress: earlier,
        workspace: None,
        rank: None,
    };
    let mut item = HeldItem::waiting(work);
    item.run = Some(spawn_task(std::future::pending()));
    let mut state = State::default();
    state.items.insert(key().to_string(), item);
    state
}

fn set_progress(state: &mut State, progress: Progress) {
    state.items[&key().to_string()].work.progress = Some(progress);
}

// Guards against an agent that stops working: the output of a run of another software version was
// discarded after a part of it had been reported, and the difference to the new run was below zero.
#[test]
fn a_run_that_starts_again_is_reported_from_its_first_event() {
    let mut state = running(Some(progress("v1", 50)));
    let earlier = state.unreported_parts();
    state.mark_reported(&earlier);
    set_progress(&mut state, progress("v2", 16));
    let parts = state.unreported_parts();
    assert_eq!(parts.len(), 1);
    assert_eq!((parts[0].after_event, parts[0].last_event), (0, 16));
    assert_eq!(parts[0].text, progress("v2", 16).text);
}

// Guards against parts with the text of other events: an answer to an earlier report came after the
// leader had asked for the whole run.
#[test]
fn an_answer_that_is_overtaken_by_a_request_for_the_whole_run_changes_nothing() {
    let mut state = running(None);
    set_progress(&mut state, progress("v1", 20));
    let first = state.unreported_parts();
    state.mark_reported(&first);
    set_progress(&mut state, progress("v1", 40));
    let second = state.unreported_parts();
    state.resend_full(&key().to_string());
    state.mark_reported(&second);
    set_progress(&mut state, progress("v1", 60));
    let whole = state.unreported_parts();
    assert_eq!(whole[0].after_event, 0);
    assert_eq!(whole[0].text, progress("v1", 60).text);
}

// Guards against panics and wrong texts for any order of runs, reports, lost answers and requests for
// the whole run.
#[test]
fn parts_always_join_to_the_progress_of_the_present_run() {
    arbtest(|u| {
        let mut state = running(u.arbitrary::<bool>()?.then(|| progress("v0", 30)));
        let runner = Runner {
            agent: "a".to_owned(),
            process: 1,
        };
        let mut known: Option<Checkpoint> = None;
        let mut events = 0;
        let mut version = 1;
        let mut unanswered: Vec<Vec<RunPart>> = Vec::new();
        for _ in 0..u.int_in_range(1..=30)? {
            match u.int_in_range(0..=4)? {
                0 => {
                    version += 1;
                    events = 0;
                    state.items[&key().to_string()].reported = ReportedProgress::of_new_run();
                    state.set_progress(&key(), &Progress::default());
                }
                1 => {
                    events += u.int_in_range(1..=20)?;
                    state.set_progress(&key(), &progress(&format!("v{version}"), events));
                }
                2 => {
                    let parts = state.unreported_parts();
                    for part in parts.iter().cloned() {
                        let current = state.items[&key().to_string()].work.progress.clone();
                        let follows = known.as_mut().is_some_and(|known| known.append(&part));
                        if !follows {
                            known = Checkpoint::begin(runner.clone(), part.clone()).or(known);
                        }
                        if known.as_ref().is_some_and(|known| known.run == part.run) {
                            let known = known.as_ref().map(|known| &known.progress);
                            let joined = known.map(|known| &known.text);
                            let text = current.as_ref().map(|current| &current.text);
                            if known.map(|known| known.last_event) == Some(part.last_event) {
                                assert_eq!(joined, text);
                            }
                        }
                    }
                    unanswered.push(parts);
                }
                3 => {
                    if let Some(parts) = unanswered.pop() {
                        state.mark_reported(&parts);
                    }
                }
                _ => state.resend_full(&key().to_string()),
            }
        }
        Ok(())
    });
}

/// Events of a long run.
const LONG_RUN_EVENTS: u64 = 20_000;
/// Times that a text which doubles its memory when it is full may move.
const MOVES_MAX: usize = 64;

// Guards against processor time that grows with the square of a run's text: an engine that sent one small
// event after the other kept its agent busy with copies of the text.
#[test]
fn an_event_costs_no_copy_of_the_whole_text() {
    let mut state = running(None);
    let mut whole = Progress::default();
    let (mut capacity, mut moves) = (0, 0);
    for number in 1..=LONG_RUN_EVENTS {
        whole.last_event = number;
        whole.text.push('\n');
        whole.versions = vec![1];
        state.set_progress(&key(), &whole);
        let held = state.items[&key().to_string()].work.progress.as_ref();
        let held = held.expect("the progress of the run").text.capacity();
        moves += usize::from(held != capacity);
        capacity = held;
    }
    let held = state.items[&key().to_string()].work.progress.as_ref();
    assert_eq!(held, Some(&whole));
    assert!(moves < MOVES_MAX, "the text was copied {moves} times");
}
