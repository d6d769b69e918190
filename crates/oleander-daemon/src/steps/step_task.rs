//! The task of one step that this entry runs.

use crate::entry::attempt_progress::AttemptProgress;
use crate::entry::call::prefix_of;
use crate::entry::entry_cx::EntryCx;
use crate::entry::progress::Progress;
use crate::entry::request::Request;
use crate::entry::request_log;
use crate::entry::request_run;
use crate::entry::terms::Terms;
use crate::entry::tracking::Tracking;
use crate::prelude::*;
use crate::steps::pull_call::PullCall;
use crate::steps::step_event::StepEvent;
use crate::steps::step_name::StepName;
use crate::steps::step_spec::StepSpec;
use async_channel::{Receiver, Sender, WeakSender};
use bytes::Bytes;
use futures_lite::FutureExt;
use indexmap::IndexMap;
use oleanderlock::hedge::HedgeCandidate;
use oleanderlock::pull::{Pull, PullAnswer, PullId, PullRefusal};
use oleanderlock::request_tracker::{Placement, RequestSpec};
use oleanderlock::staleness::Staleness;
use oleanderlock::step::Step;
use oleanderlock::step_action::StepAction;
use oleanderlock::step_counter::StepCounter;
use serde_json::json;
use std::sync::Arc;
use std::time::Duration;
use trillium_smol::async_global_executor::{self as executor, Task};

/// Time without a pull after which a step ends.
const IDLE_TIMEOUT: Millis = Millis::from_secs(40 * 60);
/// Minimum delay before a failed sample is tried again.
const RETRY_DELAY_MIN: Millis = Millis(100);
/// Maximum time between two ticks of the step.
const TICK_INTERVAL_MAX: Millis = Millis(100);

/// A pull that waits for samples.
struct WaitingPull {
    started_at: Millis,
    reply: Sender<Result<PullAnswer, PullRefusal>>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct AttemptKey {
    slot: SlotKey,
    attempt: u32,
}

/// An attempt in flight; dropping it cancels the attempt at its agent.
struct RunningAttempt {
    _task: Task<()>,
    progress: AttemptProgress,
}

/// The state of a step: the decision logic, its attempts in flight and its waiting pulls.
pub(crate) struct StepTask {
    cx: EntryCx,
    name: StepName,
    spec: Arc<StepSpec>,
    class: String,
    deadline: Millis,
    hedge_percent: u32,
    step: Step,
    attempts: IndexMap<AttemptKey, RunningAttempt>,
    pulls: IndexMap<PullId, WaitingPull>,
    next_pull: u64,
    events: WeakSender<StepEvent>,
    last_pull: Millis,
    version: Version,
}

impl StepTask {
    /// Creates the task of a step, whose attempts report their ends to `events`.
    pub fn new(
        cx: &EntryCx,
        name: &StepName,
        spec: Arc<StepSpec>,
        terms: &Terms,
        step: Step,
        events: WeakSender<StepEvent>,
    ) -> Self {
        Self {
            cx: cx.clone(),
            name: name.clone(),
            version: Version(spec.version),
            spec,
            deadline: terms.contract.classes[&terms.class].deadline,
            hedge_percent: terms.contract.limits.hedge_percent,
            class: terms.class.clone(),
            step,
            attempts: IndexMap::new(),
            pulls: IndexMap::new(),
            next_pull: 0,
            events,
            last_pull: now(),
        }
    }

    /// Runs until the last handle is dropped, or until there was no pull for [`IDLE_TIMEOUT`].
    pub async fn run(&mut self, events: Receiver<StepEvent>) {
        while now().since(self.last_pull) < IDLE_TIMEOUT {
            let wake_at = self.step.next_tick().unwrap_or(Millis::MAX);
            let wait = wake_at.since(now()).min(TICK_INTERVAL_MAX).max(Millis(1));
            let timer = async {
                smol::Timer::after(Duration::from(wait)).await;
                Ok(None)
            };
            let event = async { events.recv().await.map(Some) }.or(timer).await;
            let Ok(event) = event else { break };
            self.handle(event);
        }
        for (_, waiting) in std::mem::take(&mut self.pulls) {
            let _ = waiting.reply.try_send(Err(PullRefusal::Moved));
        }
        log::info!("event=step-closed step={}", self.name);
    }

    fn handle(&mut self, event: Option<StepEvent>) {
        let now = now();
        let mut actions = Vec::new();
        match event {
            Some(StepEvent::Pull(call)) => self.start_pull(now, call, &mut actions),
            Some(StepEvent::AttemptEnded {
                slot,
                attempt,
                result,
            }) => {
                self.attempts.swap_remove(&AttemptKey { slot, attempt });
                match result {
                    Ok(answer) => self.step.settle(now, slot, attempt, answer, &mut actions),
                    Err(wait) => {
                        let retry_at = now.plus(wait.max(RETRY_DELAY_MIN));
                        self.step.fail(now, slot, attempt, retry_at, &mut actions);
                    }
                }
            }
            None => {
                self.step.tick(now, &mut actions);
                self.report_versions(now, &mut actions);
                self.hedge(now, &mut actions);
            }
        }
        self.apply(actions);
    }

    fn start_pull(&mut self, now: Millis, call: PullCall, actions: &mut Vec<StepAction>) {
        self.last_pull = now;
        self.version = call.version;
        let id = PullId(self.next_pull);
        self.next_pull += 1;
        self.pulls.insert(
            id,
            WaitingPull {
                started_at: now,
                reply: call.reply,
            },
        );
        let pull = Pull {
            id,
            cursor: call.cursor,
            version: call.version,
            until: now.plus(call.wait),
        };
        self.step.pull(now, pull, actions);
    }

    /// Carries out the actions that the step has decided on.
    pub fn apply(&mut self, actions: Vec<StepAction>) {
        for action in actions {
            match action {
                StepAction::Generate { slot, attempt, .. } => self.generate(slot, attempt),
                StepAction::Cancel { slot, attempt } => {
                    // Dropping the attempt cancels it at its agent.
                    self.attempts.swap_remove(&AttemptKey { slot, attempt });
                }
                StepAction::Deliver { pull, answer } => self.reply(pull, Ok(answer)),
                StepAction::Refuse { pull, refusal } => self.reply(pull, Err(refusal)),
                StepAction::Wait { .. } => {}
                StepAction::Count(count) => self.count(count),
            }
        }
    }

    fn count(&self, count: StepCounter) {
        self.cx.metrics.count_event(count.into());
    }

    fn reply(&mut self, pull: PullId, answer: Result<PullAnswer, PullRefusal>) {
        let Some(waiting) = self.pulls.swap_remove(&pull) else {
            return;
        };
        self.cx
            .metrics
            .record_pull_wait(now().since(waiting.started_at));
        if let Ok(answer) = &answer {
            for sample in &answer.samples {
                let oldest = sample.answer.attribution.oldest().unwrap_or(answer.version);
                self.cx
                    .metrics
                    .record_staleness(Staleness::age(oldest, answer.version));
            }
            log::info!(
                "event=delivered step={} samples={} remaining={}",
                self.name,
                answer.samples.len(),
                answer.remaining
            );
        }
        let _ = waiting.reply.try_send(answer);
    }

    /// Reports to the step which versions its attempts have used, so that an attempt whose version is
    /// too old for the trainer is replaced before it ends.
    fn report_versions(&mut self, now: Millis, actions: &mut Vec<StepAction>) {
        for (key, running) in &self.attempts {
            if let Some(version) = running.progress.get().oldest_version {
                let AttemptKey { slot, attempt } = *key;
                self.step.progress(now, slot, attempt, version, actions);
            }
        }
    }

    /// Starts second attempts of stragglers, within the hedge budget.
    fn hedge(&mut self, now: Millis, actions: &mut Vec<StepAction>) {
        let stragglers = self.step.stragglers(now);
        let progress_by_slot: IndexMap<SlotKey, Progress> = self
            .attempts
            .iter()
            .map(|(key, running)| (key.slot, running.progress.get()))
            .collect();
        let candidates = stragglers.iter().enumerate();
        let candidates = candidates.filter_map(|(index, straggler)| {
            let progress = progress_by_slot.get(&straggler.slot)?;
            let began = progress.began_at?;
            Some(HedgeCandidate {
                request: RequestId(index as u128),
                idempotent: true,
                in_flight: straggler.attempts,
                age: now.since(began),
                time_to_first_token: progress.first_token_at.map(|first| first.since(began)),
                tokens: progress.tokens,
                missing_in_group: Some(straggler.missing_in_group),
            })
        });
        let candidates: Vec<HedgeCandidate> = candidates.collect();
        for RequestId(index) in self.cx.hedges.choose(&self.target(), &candidates) {
            let slot = stragglers[index as usize].slot;
            self.step.hedge(now, slot, actions);
        }
    }

    /// Returns the attempts in flight of a slot.
    fn attempts_of(&self, slot: SlotKey) -> impl Iterator<Item = &RunningAttempt> {
        let of_slot = self
            .attempts
            .iter()
            .filter(move |(key, _)| key.slot == slot);
        of_slot.map(|(_, attempt)| attempt)
    }

    fn target(&self) -> Bytes {
        Bytes::from(self.spec.model.clone())
    }

    /// Starts an attempt to generate the sample of a slot, avoiding the endpoints of its other attempts.
    fn generate(&mut self, slot: SlotKey, attempt: u32) {
        let Some(req) = self.request(slot) else {
            return;
        };
        let others = self.attempts_of(slot);
        let avoid: Vec<_> = others
            .filter_map(|other| other.progress.get().endpoint)
            .collect();
        if self.attempts_of(slot).next().is_none() {
            self.cx
                .hedges
                .first_attempt(&req.target, self.hedge_percent);
        }
        let progress = AttemptProgress::default();
        let tracking = Tracking {
            progress: progress.clone(),
            avoid,
            min_version: Some(self.version),
        };
        request_log::sample(&self.name, slot, req.spec.id);
        let target = req.target.clone();
        let cx = self.cx.clone();
        let events = self.events.clone();
        let task = executor::spawn(async move {
            let progress = tracking.progress.clone();
            let end = request_run::run_tracked(&cx, req, tracking, |_| true).await;
            if end.answer.is_some() {
                cx.hedges.observe(&target, progress.get());
            }
            let wait = end.outcome.retry_after.unwrap_or(RETRY_DELAY_MIN);
            let result = end
                .answer
                .filter(|_| end.outcome.error.is_none())
                .ok_or(wait);
            if let Some(events) = events.upgrade() {
                let _ = events.try_send(StepEvent::AttemptEnded {
                    slot,
                    attempt,
                    result,
                });
            }
        });
        let running = RunningAttempt {
            _task: task,
            progress,
        };
        self.attempts.insert(AttemptKey { slot, attempt }, running);
    }

    fn request(&self, slot: SlotKey) -> Option<Request> {
        let sample = self.spec.sample(slot)?;
        let payload = json!({ "prompt": sample.prompt, "max_tokens": sample.tokens }).to_string();
        Some(Request {
            spec: RequestSpec {
                id: RequestId(rand::random()),
                idempotent: true,
                deadline: now().plus(self.deadline),
                first_attempt: 0,
                placement: Placement::Free,
            },
            target: self.target(),
            class: self.class.clone(),
            kind: WorkKind::Samples,
            payload: Bytes::from(payload),
            route: String::new(),
            prefix: Some(prefix_of(sample.prompt)),
            cost: sample.tokens,
            fingerprint: 0,
            horizon: None,
            agent: None,
        })
    }
}
