//! Changes of step ownership, refusals of pulls, and the limits of restarting a stream.

use bytes::Bytes;
use oleanderlock::assembly_error::AssemblyError;
use oleanderlock::assembly_limits::AssemblyLimits;
use oleanderlock::prelude::*;
use oleanderlock::pull::{Pull, PullAnswer, PullId, PullRefusal};
use oleanderlock::sample_guards::SampleGuards;
use oleanderlock::segment::Segment;
use oleanderlock::staleness::Staleness;
use oleanderlock::step::Step;
use oleanderlock::step_action::StepAction;
use oleanderlock::step_config::StepConfig;
use oleanderlock::step_error::StepError;
use oleanderlock::step_limits::StepLimits;
use oleanderlock::step_shape::StepShape;
use oleanderlock::stream_assembly::StreamAssembly;
use oleanderlock::stream_chunk::StreamChunk;
use oleanderlock::trainer_position::{AnswerMismatch, TrainerPosition};

fn config(sizes: &[u32]) -> StepConfig {
    let shape = StepShape::new(sizes.iter().copied());
    StepConfig {
        tag: shape.tag("trainer", 1),
        shape,
        staleness: Staleness::within(1),
        limits: StepLimits::default(),
        guards: SampleGuards::ALL,
    }
}

fn pull(id: u64, cursor: &str) -> Pull {
    Pull {
        id: PullId(id),
        cursor: cursor.to_owned(),
        version: Version(3),
        until: Millis(100),
    }
}

#[test]
fn recovered_step_generates_nothing_before_the_first_pull() {
    let mut out = Vec::new();
    let mut step = Step::recover(config(&[2]), Version(3)).expect("the step fits its limits");
    step.tick(Millis(50), &mut out);
    assert_eq!(out, []);
    step.pull(Millis(50), pull(1, ""), &mut out);
    let wait = StepAction::Wait {
        pull: PullId(1),
        until: Millis(100),
    };
    let generate = |index| StepAction::Generate {
        slot: SlotKey { group: 0, index },
        attempt: 0,
        min_version: Version(2),
    };
    assert_eq!(out, [wait, generate(0), generate(1)]);
}

#[test]
fn newer_pull_supersedes_the_open_one_and_close_refuses_and_cancels() {
    let mut out = Vec::new();
    let opened = Step::open(Millis(0), config(&[1]), Version(3), &mut out);
    let mut step = opened.expect("the step fits its limits");
    step.pull(Millis(0), pull(1, ""), &mut out);
    out.clear();
    step.pull(Millis(0), pull(2, ""), &mut out);
    let refuse = |id, refusal| StepAction::Refuse {
        pull: PullId(id),
        refusal,
    };
    assert_eq!(out[0], refuse(1, PullRefusal::Superseded));
    out.clear();
    step.close(&mut out);
    let slot = SlotKey { group: 0, index: 0 };
    let cancel = StepAction::Cancel { slot, attempt: 0 };
    assert_eq!(out, [refuse(2, PullRefusal::Moved), cancel]);
}

#[test]
fn pull_times_out_with_an_answer_without_samples() {
    let mut out = Vec::new();
    let opened = Step::open(Millis(0), config(&[1]), Version(3), &mut out);
    let mut step = opened.expect("the step fits its limits");
    step.pull(Millis(0), pull(1, ""), &mut out);
    out.clear();
    step.tick(Millis(99), &mut out);
    assert_eq!(out, []);
    step.tick(Millis(100), &mut out);
    let answer = PullAnswer {
        from: String::new(),
        cursor: String::new(),
        version: Version(3),
        samples: Vec::new(),
        remaining: 1,
    };
    assert_eq!(
        out,
        [StepAction::Deliver {
            pull: PullId(1),
            answer
        }]
    );
}

#[test]
fn step_without_slots_or_room_is_rejected() {
    let refused = |config| Step::recover(config, Version(0)).err();
    assert_eq!(refused(config(&[])), Some(StepError::NoSlots));
    let too_many = StepError::TooManySlots {
        slots: 5000,
        limit: 4096,
    };
    assert_eq!(refused(config(&[5000])), Some(too_many));
    let mut narrow = config(&[1]);
    narrow.limits.payload_bytes = narrow.limits.sample_bytes - 1;
    assert_eq!(refused(narrow), Some(StepError::NoRoom));
}

#[test]
fn answer_for_another_cursor_or_version_is_rejected() {
    let mut position = TrainerPosition::new(Version(3));
    let answer = |from: &str, version| PullAnswer {
        from: from.to_owned(),
        cursor: "next".to_owned(),
        version: Version(version),
        samples: Vec::new(),
        remaining: 0,
    };
    let all = SampleGuards::ALL;
    assert_eq!(
        position.accept(answer("x", 3), &all),
        Err(AnswerMismatch::OtherCursor)
    );
    assert_eq!(
        position.accept(answer("", 2), &all),
        Err(AnswerMismatch::OtherVersion)
    );
    assert_eq!(position.cursor(), "");
    assert_eq!(position.accept(answer("", 3), &all), Ok(Vec::new()));
    assert_eq!(position.cursor(), "next");
}

#[test]
fn answer_restarts_only_before_data_is_released() {
    let ticket = |attempt| Ticket {
        attempt,
        ..Ticket::default()
    };
    let chunk = |attempt, text: &'static str| StreamChunk {
        ticket: ticket(attempt),
        offset: 0,
        tokens: 1,
        data: Bytes::from_static(text.as_bytes()),
        segments: vec![Segment::known(Version(1), 0, 1)],
    };
    let mut assembly = StreamAssembly::new(ticket(0), AssemblyLimits::default());
    assert!(assembly.chunk(chunk(0, "old")).is_ok());
    assert_eq!(assembly.restart(ticket(0)), Err(AssemblyError::NotLater));
    assert_eq!(assembly.restart(ticket(1)), Ok(()));
    assert!(assembly.chunk(chunk(1, "new")).is_ok());
    assert_eq!(
        assembly.release().map(|r| r.data),
        Some(Bytes::from_static(b"new"))
    );
    assert_eq!(assembly.release(), None);
    assert_eq!(
        assembly.restart(ticket(2)),
        Err(AssemblyError::AlreadyReleased)
    );
    let point = assembly.resume(ticket(2)).expect("the answer is not whole");
    assert_eq!((point.offset, point.text), (1, Bytes::from_static(b"new")));
    assert!(assembly.finish(ticket(2), 1).is_ok());
    assert_eq!(assembly.whole().map(|answer| answer.tokens), Some(1));
}
