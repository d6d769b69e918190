//! The task that binds idempotency keys chosen by callers, through the platform's store.

use crate::entry::bind_refusal::BindRefusal;
use crate::entry::bind_request::BindRequest;
use crate::logging::unix_ms;
use crate::prelude::*;
use crate::process::runtime;
use crate::store::store_client::StoreClient;
use crate::store::store_error::StoreError;
use crate::store::write_condition::WriteCondition;
use async_channel::{Receiver, Sender};
use futures_lite::FutureExt;
use indexmap::IndexMap;
use oleanderlock::key_binder::{BindAction, BindCall, BinderLimits, KeyBinder};
use oleanderlock::key_binding::KeyBinding;
use oleanderlock::store_answer::{NO_VERSION, ReadAnswer, WriteAnswer};
use std::time::Duration;

/// Time between two checks for calls whose deadline has passed.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(20);

/// The binding in force, or why there is none.
pub type BindResult = Result<KeyBinding, BindRefusal>;

/// An event for the task; buckets are named by number.
enum BinderEvent {
    Bind(BindRequest, Sender<BindResult>),
    Read(u32, ReadAnswer),
    Written(u32, WriteAnswer),
}

/// A handle to a running task; clones share the task, which runs until the process ends.
#[derive(Clone)]
pub struct KeyBinderHandle {
    events: Sender<BinderEvent>,
}

impl KeyBinderHandle {
    /// Starts a task that keeps bindings in `store`.
    pub fn spawn(store: StoreClient) -> Self {
        let (tx, rx) = async_channel::unbounded();
        let task = KeyBinderTask {
            store,
            binder: KeyBinder::new(BinderLimits::default()),
            replies: IndexMap::new(),
            next_call: 0,
            events: tx.clone(),
        };
        runtime::spawn(task.run(rx));
        Self { events: tx }
    }

    /// Binds a key and returns the binding in force: an earlier one if the key has one, otherwise
    /// the proposal.
    ///
    /// # Errors
    ///
    /// Why the key was not bound; [`ErrorKind::StoreUnavailable`] while the store can't be reached,
    /// [`ErrorKind::ShuttingDown`] when the task has ended.
    pub async fn bind(&self, req: BindRequest) -> BindResult {
        let (tx, rx) = async_channel::bounded(1);
        let task_ended = BindRefusal {
            kind: ErrorKind::ShuttingDown,
            ran: Ran::Unknown,
        };
        if self.events.send(BinderEvent::Bind(req, tx)).await.is_err() {
            return Err(task_ended);
        }
        rx.recv().await.unwrap_or(Err(task_ended))
    }
}

/// The task: connects the [`KeyBinder`] to its callers and to the store.
struct KeyBinderTask {
    store: StoreClient,
    binder: KeyBinder,
    /// Callers that wait for a result, by number of the call.
    replies: IndexMap<u64, Sender<BindResult>>,
    next_call: u64,
    events: Sender<BinderEvent>,
}

impl KeyBinderTask {
    async fn run(mut self, events: Receiver<BinderEvent>) {
        loop {
            let timer = async {
                smol::Timer::after(EXPIRY_INTERVAL).await;
                Ok(None)
            };
            let event = async { events.recv().await.map(Some) };
            // Without waiting calls there is no deadline to check.
            let event = match self.binder.waiting() {
                0 => event.await,
                _ => event.or(timer).await,
            };
            let Ok(event) = event else { return };
            let actions = self.handle(event);
            self.apply_actions(actions);
        }
    }

    fn handle(&mut self, event: Option<BinderEvent>) -> Vec<BindAction> {
        let now_unix = unix_time();
        match event {
            None => self.binder.expire(now()),
            Some(BinderEvent::Bind(req, reply)) => {
                let call = self.next_call;
                self.next_call += 1;
                self.replies.insert(call, reply);
                let BindRequest {
                    key,
                    proposal,
                    deadline,
                    first_call,
                } = req;
                self.binder.bind(
                    now_unix,
                    BindCall {
                        call,
                        key,
                        proposal,
                        deadline,
                        first_call,
                    },
                )
            }
            Some(BinderEvent::Read(bucket, answer)) => {
                self.binder.on_read(now_unix, bucket, answer)
            }
            Some(BinderEvent::Written(bucket, answer)) => {
                self.binder.on_written(now_unix, bucket, answer)
            }
        }
    }

    fn apply_actions(&mut self, actions: Vec<BindAction>) {
        for action in actions {
            match action {
                BindAction::Read(bucket) => self.read(bucket),
                BindAction::Write {
                    bucket,
                    base,
                    value,
                } => self.write(bucket, base, value),
                BindAction::Bound { call, binding } => self.reply(call, Ok(binding)),
                BindAction::Refuse { call, kind, ran } => {
                    self.reply(call, Err(BindRefusal { kind, ran }));
                }
            }
        }
    }

    fn reply(&mut self, call: u64, result: BindResult) {
        if let Some(reply) = self.replies.swap_remove(&call) {
            let _ = reply.try_send(result);
        }
    }

    fn read(&self, bucket: u32) {
        let store = self.store.clone();
        let events = self.events.clone();
        runtime::spawn(async move {
            let answer = match store.get(&KeyBinder::object_name(bucket)).await {
                Ok(None) => ReadAnswer::Missing,
                Ok(Some(found)) => ReadAnswer::Object {
                    version: found.version,
                    value: found.value.unwrap_or_default(),
                },
                Err(_) => ReadAnswer::Unavailable,
            };
            let _ = events.send(BinderEvent::Read(bucket, answer)).await;
        });
    }

    fn write(&self, bucket: u32, base: Option<u64>, value: String) {
        let store = self.store.clone();
        let events = self.events.clone();
        let condition = match base {
            None | Some(NO_VERSION) => WriteCondition::Absent,
            Some(version) => WriteCondition::Version(version),
        };
        runtime::spawn(async move {
            let written = store
                .put(&KeyBinder::object_name(bucket), condition, value)
                .await;
            let answer = match written {
                Ok(version) => WriteAnswer::Written(version),
                Err(StoreError::Mismatch { .. }) => WriteAnswer::Conflict,
                Err(StoreError::NoAnswer) => WriteAnswer::Lost,
                Err(_) => WriteAnswer::Refused,
            };
            let _ = events.send(BinderEvent::Written(bucket, answer)).await;
        });
    }
}

/// Returns the wall-clock time, counted from the Unix epoch; it may jump, unlike `now`.
pub fn unix_time() -> Millis {
    Millis(unix_ms())
}
