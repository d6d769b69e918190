//! Compares parts of the request protocol with simple reference implementations that keep and scan
//! the whole history.

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use oleanderlock::attempt_ledger::{AttemptLedger, LedgerLimits, SubmitAction};
use oleanderlock::key_binder::{BindAction, BindCall, BinderLimits, KeyBinder};
use oleanderlock::key_binding::{BindingTable, KeyBinding, KeyHash};
use oleanderlock::lease::Lease;
use oleanderlock::lease_action::LeaseAction;
use oleanderlock::lease_answer::LeaseAnswer;
use oleanderlock::lease_record::LeaseRecord;
use oleanderlock::lease_term::LeaseTerm;
use oleanderlock::prelude::*;
use oleanderlock::request_outcome::Outcome;
use oleanderlock::request_tracker::{
    Placement, RequestSpec, RequestTracker, TrackAction, TrackConfig, TrackEvent,
};
use oleanderlock::store_answer::{ReadAnswer, WriteAnswer};
use oleanderlock::store_write::StoreWrite;
use oleanderlock::submission::Submission;
use oleanderlock::write_id::WriteId;
use oleanderlock::write_log::WriteLog;
use oleanderlock::write_outcome::WriteOutcome;

/// Number of random cases for each test.
const SEEDS: u64 = 300;
/// Bytes of random input for each case.
const SEED_BYTES: u64 = 4096;

/// Runs a property on fixed seeds. The low half of an arbtest seed is the length of its input.
fn for_seeds(property: fn(&mut Unstructured<'_>) -> Result<()>) {
    for seed in 1..=SEEDS {
        arbtest(property).seed(seed << 32 | SEED_BYTES).run();
    }
}

/// Grace period of the ledger, in milliseconds.
const GRACE: u64 = 3;
const FLOORS: u128 = 2;

const LIMITS: LedgerLimits = LedgerLimits {
    capacity: 3,
    answer_bytes: 1 << 20,
    grace: Millis(GRACE),
    max_horizon: Millis(50),
    floor_count: FLOORS as usize,
};

/// A submission that was accepted or buried; never removed.
struct NaiveRecord {
    submission: Submission,
    forget_at: u64,
    outcome: Option<Outcome>,
    runs: u32,
    forgotten: bool,
}

/// A ledger that keeps and scans all submissions.
#[derive(Default)]
struct NaiveLedger {
    records: Vec<NaiveRecord>,
    refused_when_full: Vec<Submission>,
}

fn same_work(a: &Submission, b: &Submission) -> bool {
    let attempt = !a.idempotent || a.ticket.attempt == b.ticket.attempt;
    a.ticket.request == b.ticket.request && a.idempotent == b.idempotent && attempt
}

impl NaiveLedger {
    fn forget(&mut self, now: u64) {
        for record in &mut self.records {
            let due = !record.forgotten && record.forget_at <= now;
            match &record.outcome {
                Some(_) if due => record.forgotten = true,
                None if due => record.forget_at = now + GRACE + 1,
                _ => {}
            }
        }
    }

    fn find(&mut self, submission: &Submission) -> Option<&mut NaiveRecord> {
        let known = |r: &&mut NaiveRecord| !r.forgotten && same_work(&r.submission, submission);
        self.records.iter_mut().find(known)
    }

    fn add(&mut self, submission: &Submission, outcome: Option<Outcome>) -> bool {
        if self
            .records
            .iter()
            .filter(|record| !record.forgotten)
            .count()
            == LIMITS.capacity
        {
            self.refused_when_full.push(*submission);
            return false;
        }
        self.records.push(NaiveRecord {
            submission: *submission,
            forget_at: submission.horizon.0 + GRACE,
            outcome,
            runs: 0,
            forgotten: false,
        });
        true
    }

    fn submit(&mut self, now: u64, submission: &Submission) -> SubmitAction {
        let refuse = SubmitAction::Refuse;
        if submission.ticket.incarnation != Incarnation(1) {
            return refuse(ErrorKind::WrongIncarnation, Ran::Unknown);
        }
        self.forget(now);
        if let Some(record) = self.find(submission) {
            if record.submission.fingerprint != submission.fingerprint {
                return refuse(ErrorKind::KeyReused, Ran::No);
            }
            let repeat = record.outcome.clone().map(SubmitAction::Repeat);
            return repeat.unwrap_or(SubmitAction::Attach);
        }
        let (deadline, horizon) = (submission.deadline.0, submission.horizon.0);
        if now >= horizon + GRACE {
            return refuse(ErrorKind::DeadlineBeforeStart, Ran::Unknown);
        }
        if horizon > now + LIMITS.max_horizon.0 {
            return refuse(ErrorKind::BadRequest, Ran::Unknown);
        }
        let bucket = |s: &Submission| s.ticket.request.0 % FLOORS;
        let is_barred =
            |s: &Submission| bucket(s) == bucket(submission) && s.horizon >= submission.horizon;
        if self.refused_when_full.iter().any(is_barred) {
            return refuse(ErrorKind::Cancelled, Ran::No);
        }
        if now >= deadline || now >= horizon {
            let late = Outcome::failed(ErrorKind::DeadlineBeforeStart, Ran::No);
            self.add(submission, Some(late));
            return refuse(ErrorKind::DeadlineBeforeStart, Ran::No);
        }
        match self.add(submission, None) {
            true => SubmitAction::Start,
            false => refuse(ErrorKind::Overloaded, Ran::No),
        }
    }

    fn bury(&mut self, now: u64, submission: &Submission) -> Ran {
        if submission.ticket.incarnation != Incarnation(1) {
            return Ran::Unknown;
        }
        self.forget(now);
        let buried = Outcome::failed(ErrorKind::Cancelled, Ran::No);
        if let Some(record) = self.find(submission) {
            if record.submission.fingerprint != submission.fingerprint {
                return Ran::No;
            }
            let queued = record.outcome.is_none() && record.runs == 0;
            if queued {
                record.outcome = Some(buried);
            }
            return record.outcome.as_ref().map_or(Ran::Unknown, |o| o.ran);
        }
        if now >= submission.horizon.0 + GRACE {
            return Ran::Unknown;
        }
        self.add(submission, Some(buried));
        Ran::No
    }
}

fn draw_submission(u: &mut Unstructured<'_>) -> Result<Submission> {
    let request = u.int_in_range(0..=4u8)?;
    let idempotent = request >= 3;
    let attempt = u.int_in_range(0..=2)?;
    let horizon = 10 * u64::from(request) + 5 + if idempotent { u64::from(attempt) } else { 0 };
    let incarnation = u64::from(u.ratio(9, 10)?);
    Ok(Submission {
        ticket: Ticket {
            request: RequestId(u128::from(request)),
            attempt,
            incarnation: Incarnation(incarnation),
        },
        idempotent,
        deadline: Millis(horizon - u.int_in_range(0..=4)?),
        horizon: Millis(horizon),
        fingerprint: u64::from(u.ratio(1, 10)?),
    })
}

#[test]
fn ledger_agrees_with_naive() {
    for_seeds(|u| {
        let mut ledger = AttemptLedger::new(Incarnation(1), LIMITS);
        let mut naive = NaiveLedger::default();
        let mut now = 0;
        while !u.is_empty() && now < 60 {
            now += u64::from(u.ratio(1, 4)?);
            let submission = draw_submission(u)?;
            let (ticket, idempotent) = (submission.ticket, submission.idempotent);
            match u.int_in_range(0..=4)? {
                0 | 1 => {
                    let action = ledger.submit(Millis(now), &submission);
                    assert_eq!(action, naive.submit(now, &submission));
                }
                2 => {
                    let burial = ledger.bury(Millis(now), &submission);
                    assert_eq!(burial.ran, naive.bury(now, &submission));
                }
                3 => {
                    let started = ledger.start(Millis(now), ticket, idempotent);
                    let Some(record) = naive.find(&submission) else {
                        assert!(started.is_err());
                        continue;
                    };
                    let waits = record.outcome.is_none() && record.runs == 0;
                    let in_time = now < record.submission.deadline.0;
                    if waits && !in_time {
                        let late = Outcome::failed(ErrorKind::DeadlineBeforeStart, Ran::No);
                        record.outcome = Some(late);
                    }
                    record.runs += u32::from(waits && in_time);
                    assert_eq!(started.is_ok(), waits && in_time);
                }
                _ => {
                    let outcome = Outcome::answered(200, "quote".into());
                    let running = naive.find(&submission).filter(|r| r.runs == 1);
                    if let Some(record) = running {
                        let first = record.outcome.is_none();
                        assert_eq!(ledger.finish(ticket, idempotent, outcome.clone()), first);
                        record.outcome.get_or_insert(outcome);
                    }
                }
            }
            let kept = naive.records.iter().filter(|record| !record.forgotten);
            assert!(kept.clone().count() <= LIMITS.capacity);
            for record in &naive.records {
                let same = naive
                    .records
                    .iter()
                    .filter(|r| same_work(&r.submission, &record.submission));
                assert!(same.map(|r| r.runs).sum::<u32>() <= 1);
            }
        }
        Ok(())
    });
}

/// All that an entry learned about one ticket.
#[derive(Default)]
struct TicketHistory {
    ticket: Ticket,
    sends: u32,
    /// A connection broke after a send, so a copy may have been sent.
    maybe_sent: bool,
    not_sent: bool,
    /// The agent reported that it did not run.
    no: bool,
    /// The agent reported that it ran.
    yes: bool,
}

impl TicketHistory {
    fn certainly_not_run(&self) -> bool {
        self.no || (self.not_sent && self.sends == 1)
    }
}

fn draw_event(u: &mut Unstructured<'_>, ticket: Option<Ticket>) -> Result<TrackEvent> {
    let Some(ticket) = ticket else {
        return Ok(match u.ratio(3, 4)? {
            true => TrackEvent::Route(Incarnation(u.int_in_range(1..=3)?)),
            false => TrackEvent::NoRoute(ErrorKind::NoEndpoint),
        });
    };
    let stale = u.ratio(1, 6)?;
    let ticket = Ticket {
        attempt: ticket.attempt.wrapping_sub(u32::from(stale)),
        ..ticket
    };
    let refused = Outcome::failed(ErrorKind::Overloaded, Ran::No);
    let failed = Outcome::failed(ErrorKind::EndpointFailed, Ran::Unknown);
    Ok(match u.int_in_range(0..=9)? {
        0 => TrackEvent::NotSent(ticket),
        1 => TrackEvent::Disconnected(ticket),
        2 => TrackEvent::AgentGone(ticket.incarnation),
        3 => TrackEvent::Started(ticket),
        4 => TrackEvent::Finished(ticket, refused),
        5 => TrackEvent::Finished(ticket, failed),
        6 => TrackEvent::Finished(ticket, Outcome::answered(200, "quote".into())),
        7 => TrackEvent::Buried(ticket, Ran::No),
        8 => TrackEvent::Buried(ticket, Ran::Unknown),
        _ => TrackEvent::Tick,
    })
}

fn record_event(history: &mut [TicketHistory], event: &TrackEvent) {
    let Some(last) = history.last_mut() else {
        return;
    };
    if ticket_of(event) != Some(last.ticket) {
        return;
    }
    match event {
        TrackEvent::Disconnected(_) => last.maybe_sent = true,
        TrackEvent::NotSent(_) => last.not_sent |= !last.maybe_sent,
        TrackEvent::Started(_) => last.yes = true,
        TrackEvent::Buried(_, Ran::No) => last.no = true,
        TrackEvent::Finished(_, outcome) => {
            last.no |= outcome.ran == Ran::No;
            last.yes |= outcome.ran == Ran::Yes;
        }
        _ => {}
    }
}

const fn ticket_of(event: &TrackEvent) -> Option<Ticket> {
    match event {
        TrackEvent::NotSent(ticket)
        | TrackEvent::Disconnected(ticket)
        | TrackEvent::Started(ticket)
        | TrackEvent::Finished(ticket, _)
        | TrackEvent::Buried(ticket, _) => Some(*ticket),
        _ => None,
    }
}

/// Returns whether an event contradicts that the attempt has started.
fn denies_run(event: &TrackEvent) -> bool {
    match event {
        TrackEvent::Finished(_, outcome) => outcome.ran != Ran::Yes,
        TrackEvent::Buried(_, ran) => *ran == Ran::No,
        TrackEvent::NotSent(_) => true,
        _ => false,
    }
}

#[test]
fn track_agrees_with_whole_history() {
    for_seeds(|u| {
        let idempotent = u.ratio(1, 2)?;
        let spec = RequestSpec {
            id: RequestId(1),
            idempotent,
            deadline: Millis(30),
            first_attempt: 0,
            placement: Placement::Free,
        };
        let cfg = TrackConfig {
            bury_margin: Millis(5),
            ..TrackConfig::default()
        };
        let (mut track, action) = RequestTracker::open(spec, cfg);
        let mut history: Vec<TicketHistory> = Vec::new();
        let mut action = Some(action);
        let mut now = 0;
        while !u.is_empty() {
            if let Some(TrackAction::Send(ticket)) = action {
                if history.last().is_none_or(|last| last.ticket != ticket) {
                    let safe = idempotent || history.iter().all(TicketHistory::certainly_not_run);
                    assert!(safe, "a second attempt after one that may have run");
                    history.push(TicketHistory {
                        ticket,
                        ..TicketHistory::default()
                    });
                }
                history.last_mut().expect("just pushed").sends += 1;
            }
            if let Some(TrackAction::Answer(outcome)) = &action {
                let none_ran = history.iter().all(TicketHistory::certainly_not_run);
                assert_eq!(outcome.ran == Ran::No, none_ran);
                assert_eq!(outcome.ran == Ran::Yes, history.iter().any(|t| t.yes));
                assert!(track.is_done());
                return Ok(());
            }
            now += u.int_in_range(0..=4)?;
            let event = draw_event(u, track.current())?;
            let started = history.last().is_some_and(|last| last.yes);
            if started && denies_run(&event) {
                continue;
            }
            let in_time = now < spec.deadline.0 || matches!(event, TrackEvent::Finished(..));
            if in_time {
                record_event(&mut history, &event);
            }
            action = track.step(Millis(now), event);
        }
        let last = track.step(spec.deadline, TrackEvent::Tick);
        assert!(matches!(last, Some(TrackAction::Answer(_))));
        Ok(())
    });
}

/// A store that keeps all values of its only object.
#[derive(Default)]
struct NaiveStore {
    values: Vec<String>,
}

impl NaiveStore {
    fn read(&self) -> ReadAnswer {
        match self.values.last() {
            None => ReadAnswer::Missing,
            Some(value) => ReadAnswer::Object {
                version: self.values.len() as u64,
                value: value.clone(),
            },
        }
    }

    fn write(&mut self, base: Option<u64>, value: String) -> WriteAnswer {
        if base.is_some_and(|base| base != self.values.len() as u64) {
            return WriteAnswer::Conflict;
        }
        self.values.push(value);
        WriteAnswer::Written(self.values.len() as u64)
    }

    /// Returns the binding of a key in the first value that has one.
    fn first_binding(&self, key: KeyHash) -> Option<KeyBinding> {
        let find = |value: &String| {
            let table = BindingTable::parse(value).expect("the written value is a binding table");
            table.get(Millis::ZERO, key).cloned()
        };
        self.values.iter().find_map(find)
    }
}

fn draw_call(u: &mut Unstructured<'_>, call: u64) -> Result<BindCall> {
    Ok(BindCall {
        call,
        key: KeyHash(u.int_in_range(0..=20u8)?.into()),
        proposal: KeyBinding {
            agent: "agent".into(),
            incarnation: Incarnation(call),
            horizon: Millis(100),
            fingerprint: 0,
            expires: Millis(1000),
        },
        deadline: Millis(1000),
        first_call: false,
    })
}

fn serve(
    u: &mut Unstructured<'_>,
    store: &mut NaiveStore,
    binder: &mut KeyBinder,
    action: BindAction,
) -> Result<Vec<BindAction>> {
    let fails = u.ratio(1, 8)?;
    Ok(match action {
        BindAction::Read(bucket) => {
            let answer = if fails {
                ReadAnswer::Unavailable
            } else {
                store.read()
            };
            binder.on_read(Millis::ZERO, bucket, answer)
        }
        BindAction::Write {
            bucket,
            base,
            value,
        } => {
            let answer = match (fails, u.ratio(1, 8)?) {
                (true, true) => WriteAnswer::Refused,
                (true, false) => WriteAnswer::Lost,
                (false, lost) => {
                    let answer = store.write(base, value);
                    if lost { WriteAnswer::Lost } else { answer }
                }
            };
            binder.on_written(Millis::ZERO, bucket, answer)
        }
        _ => Vec::new(),
    })
}

#[test]
fn binders_agree_with_naive() {
    for_seeds(|u| {
        let limits = BinderLimits {
            buckets: 1,
            ..BinderLimits::default()
        };
        let mut binders = [KeyBinder::new(limits), KeyBinder::new(limits)];
        let mut work: Vec<(usize, BindAction)> = Vec::new();
        let mut store = NaiveStore::default();
        let mut calls = Vec::new();
        while !u.is_empty() && calls.len() < 100 {
            let who = u.choose_index(2)?;
            let actions = if work.is_empty() || u.ratio(1, 3)? {
                let call = draw_call(u, calls.len() as u64)?;
                calls.push(call.key);
                binders[who]
                    .bind(Millis::ZERO, call)
                    .into_iter()
                    .map(|a| (who, a))
                    .collect()
            } else {
                let (who, action) = work.swap_remove(u.choose_index(work.len())?);
                let next = serve(u, &mut store, &mut binders[who], action)?;
                next.into_iter().map(|a| (who, a)).collect::<Vec<_>>()
            };
            for (who, action) in actions {
                match action {
                    BindAction::Bound { call, binding } => {
                        let first = store.first_binding(calls[call as usize]);
                        assert_eq!(Some(binding), first);
                    }
                    BindAction::Refuse { ran, .. } => assert_eq!(ran, Ran::Unknown),
                    action => work.push((who, action)),
                }
            }
        }
        Ok(())
    });
}

/// A write of the lease object, with the time at which it was sent.
struct LeaseWrite {
    sent: u64,
    record: LeaseRecord,
}

#[test]
fn lease_agrees_with_whole_history() {
    for_seeds(|u| {
        let term = LeaseTerm {
            length: Millis(6),
            margin: Millis(2),
            renew: Millis(2),
        };
        let lease = |id| Lease::new(Incarnation(id), term);
        let mut leases = [lease(0), lease(1)];
        let mut calls = [None, None];
        let mut writes: Vec<LeaseWrite> = Vec::new();
        let mut now = 0;
        while !u.is_empty() {
            now += u.int_in_range(0..=2)?;
            let who = u.choose_index(2)?;
            match calls[who].take() {
                None => calls[who] = leases[who].tick(Millis(now)).map(|action| (now, action)),
                Some((sent, action)) => {
                    let version = writes.len() as u64;
                    let answer = match action {
                        _ if u.ratio(1, 8)? => LeaseAnswer::Unavailable,
                        LeaseAction::Read => LeaseAnswer::Read {
                            version,
                            record: writes.last().map(|write| write.record),
                        },
                        LeaseAction::Write { base, .. } if base != version => LeaseAnswer::Conflict,
                        LeaseAction::Write { record, .. } => {
                            writes.push(LeaseWrite { sent, record });
                            LeaseAnswer::Written(version + 1)
                        }
                    };
                    leases[who].on_answer(Millis(now), answer);
                }
            }
            for (id, lease) in leases.iter().enumerate() {
                let Some(fence) = lease.may_act(Millis(now)) else {
                    continue;
                };
                let last = writes.last().expect("the holder has written the lease");
                let mine = last.record.holder == Incarnation(id as u64);
                let fresh = now + term.margin.0 < last.sent + term.length.0;
                assert!(mine && fresh && last.record.fence == fence);
            }
        }
        let fences: Vec<Fence> = writes.iter().map(|write| write.record.fence).collect();
        assert!(fences.is_sorted());
        Ok(())
    });
}

#[test]
fn write_fate_agrees_with_whole_log() {
    for_seeds(|u| {
        let mut log = WriteLog::default();
        let mut all: Vec<WriteId> = Vec::new();
        let mut sent: Vec<StoreWrite> = Vec::new();
        while !u.is_empty() && sent.len() < 80 {
            let base = all.len() as u64;
            let write = StoreWrite {
                id: WriteId(sent.len() as u64),
                base,
            };
            sent.push(write);
            if u.ratio(3, 4)? {
                log = log.with(write);
                all.push(write.id);
            }
            let version = all.len() as u64;
            for write in &sent {
                let truth = match all.iter().position(|id| *id == write.id) {
                    Some(index) if index + 1 == all.len() => WriteOutcome::TookEffect,
                    Some(_) => WriteOutcome::Overwritten,
                    None if version == write.base => WriteOutcome::CannotTell,
                    None => WriteOutcome::NeverTookEffect,
                };
                let recent = version - write.base <= WriteLog::CAPACITY as u64;
                let fate = write.resolve(version, &log);
                assert!(fate == truth || (!recent && fate == WriteOutcome::CannotTell));
            }
        }
        Ok(())
    });
}
