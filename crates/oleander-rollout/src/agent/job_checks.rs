//! Finds out which jobs are still open and where their routes lead, while no leader says so.

use crate::call::send_condition::SendCondition;
use crate::prelude::*;
use crate::settings::Config;
use crate::store::config_reader::ConfigReader;
use crate::store::confirmation::Confirmation;
use crate::store::job_objects::has_end_mark;
use crate::store::shared_view::SharedView;
use crate::store::store_client::StoreClient;
use crate::store::store_error::StoreError;
use crate::store::store_health::StoreHealth;
use futures_util::future::join_all;
use indexmap::IndexSet;
use oleanderlock::batch::open_jobs::OpenJobs;
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// Interval at which the age of what is known of the jobs is checked.
const CHECK_INTERVAL: Millis = Millis(100);
/// Interval at which the silence of the leader is checked.
const SILENCE_CHECK_INTERVAL: Millis = Millis(250);
/// Timeout of reading the end mark of a job. A slow store takes 0.3 s.
const READ_TIMEOUT: Millis = Millis(400);
/// The configuration is read once no leader has answered for the time within which a change must be in
/// force, divided by this.
const SILENCE_DIVISOR: u64 = 2;

/// Finds out which jobs are still open and where their routes lead, while no leader says so.
#[derive(Debug)]
pub struct JobChecks {
    jobs: RefCell<OpenJobs>,
    store: Rc<StoreClient>,
    config_reader: Rc<ConfigReader>,
    /// Time without an answer of a leader after which this process reads the configuration itself.
    silence_max: Millis,
    /// Whether the agent holds items.
    holds_items: Cell<bool>,
}

/// What is done with the outcome of a check.
pub struct CheckActions<H, E, C> {
    /// Returns the jobs whose items the agent holds.
    pub held: H,
    /// Called with a job that has ended.
    pub ended: E,
    /// Called when jobs are known to be open again.
    pub confirmed: C,
}

impl JobChecks {
    /// Returns checks that read the store and put configurations into force in `view`.
    pub fn new(cfg: &Config, view: SharedView) -> Rc<Self> {
        Rc::new(Self {
            jobs: RefCell::new(OpenJobs::new(cfg.end_within)),
            store: StoreClient::new(cfg.store, StoreHealth::default()),
            config_reader: ConfigReader::new(cfg.store, view, Confirmation::default()),
            silence_max: Millis(cfg.keys.config_within.0 / SILENCE_DIVISOR),
            holds_items: Cell::new(false),
        })
    }

    /// Records the response of a leader; see [`OpenJobs::record_leader`].
    pub fn record_leader(&self, sent_at: Millis, confirmed_at: Option<Millis>) {
        let mut jobs = self.jobs.borrow_mut();
        jobs.record_leader(now(), sent_at, confirmed_at);
    }

    /// Whether items and scoring calls of a job may be sent to endpoints.
    pub fn is_open(&self, job: &str) -> bool {
        self.jobs.borrow().is_open(now(), job)
    }

    /// Returns the condition that [`Self::is_open`] holds for a job.
    pub fn condition(self: &Rc<Self>, job: &str) -> SendCondition {
        let (checks, job) = (Rc::clone(self), job.to_owned());
        SendCondition::new(move || checks.is_open(&job))
    }

    /// Whether no leader has answered for so long that this process reads the configuration itself.
    pub fn leader_is_silent(&self) -> bool {
        self.jobs.borrow().leader_silence(now()) >= self.silence_max
    }

    /// Reads the end marks of held jobs that no leader confirms, until the process ends.
    pub async fn read_ends<H, E, C>(self: Rc<Self>, actions: CheckActions<H, E, C>)
    where
        H: Fn() -> IndexSet<String>,
        E: Fn(&str),
        C: Fn(),
    {
        loop {
            sleep(CHECK_INTERVAL).await;
            let held = (actions.held)();
            self.holds_items.set(!held.is_empty());
            let due: Vec<String> = {
                let mut jobs = self.jobs.borrow_mut();
                jobs.retain(|job| held.contains(job));
                let must_read = |job: &String| jobs.must_read(now(), job);
                held.into_iter().filter(must_read).collect()
            };
            let Some((first, others)) = due.split_first() else {
                continue;
            };
            // If the store doesn't answer, one call is enough to notice.
            if self.check(first, &actions).await {
                join_all(others.iter().map(|job| self.check(job, &actions))).await;
                (actions.confirmed)();
            }
        }
    }

    /// Reads the end mark of a job and records the result; returns whether the store has answered.
    async fn check<H, E, C>(&self, job: &str, actions: &CheckActions<H, E, C>) -> bool
    where
        E: Fn(&str),
    {
        let sent_at = now();
        let read = within(READ_TIMEOUT, has_end_mark(&self.store, job)).await;
        match read.unwrap_or_else(|| Err(StoreError::no_answer("timeout"))) {
            Ok(true) => (actions.ended)(job),
            Ok(false) => self.jobs.borrow_mut().record_open(job, sent_at),
            Err(err) => {
                event(log::Level::Info, "end-unread", || {
                    format!("job={job} reason=\"{err}\"")
                });
                self.jobs.borrow_mut().record_failed(sent_at);
                return false;
            }
        }
        true
    }

    /// Reads the configuration while the agent holds items and no leader answers, until the process ends.
    pub async fn read_config(self: Rc<Self>) {
        loop {
            sleep(SILENCE_CHECK_INTERVAL).await;
            // A store that doesn't answer is asked for end marks alone.
            let store_is_silent = self.jobs.borrow().store_is_silent(now());
            if self.holds_items.get() && !store_is_silent && self.leader_is_silent() {
                self.config_reader.refresh().await;
            }
        }
    }
}
