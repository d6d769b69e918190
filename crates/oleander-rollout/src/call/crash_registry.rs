//! Requests under which endpoints have crashed, as this process and others have seen it.

use super::call_request::CallRequest;
use super::not_run::NotRun;
use super::not_run_reason::NotRunReason;
use crate::http::socket::refuses_connections;
use crate::observe::metrics::Metrics;
use crate::prelude::*;
use crate::store::crash_objects::{CRASH_KIND, add_crashes};
use crate::store::shared_view::SharedView;
use crate::store::store_client::StoreClient;
use oleanderlock::routing::crash_suspects::{
    CRASHES_MAX, CRASHES_PER_CALL_MAX, CrashSuspects, Crashes, report_delay,
};
use oleanderlock::routing::endpoint_entry::EndpointEntry;
use oleanderlock::routing::request_content::RequestContent;
use std::cell::RefCell;
use std::rc::Rc;

/// Timeout of checking whether an endpoint that broke a connection still accepts others.
const CHECK_TIMEOUT: Millis = Millis(100);
/// Longest pause before a call is attempted again after an endpoint has crashed under it.
const BACKOFF_MAX: Millis = Millis(200);
/// Time after which a caller may repeat a request under which endpoints crash.
const REFUSAL_RETRY_AFTER: Millis = Millis::from_secs(60);
/// Pause after crashes could not be written to the store.
const RETRY_PAUSE: Millis = Millis(200);
/// Attempts to write crashes to the store.
const WRITES_MAX: u32 = 100;

/// Requests under which endpoints have crashed, as this process and others have seen it.
#[derive(Debug)]
pub struct CrashRegistry {
    view: SharedView,
    store: Rc<StoreClient>,
    // Crashes that this process has seen and that no later success has cleared.
    own: RefCell<CrashSuspects>,
    metrics: Metrics,
}

impl CrashRegistry {
    /// Returns a registry that learns from `view` what others have seen.
    pub fn new(view: SharedView, store: Rc<StoreClient>, metrics: Metrics) -> Rc<Self> {
        Rc::new(Self {
            view,
            store,
            own: RefCell::default(),
            metrics,
        })
    }

    /// Returns the number of endpoints that have crashed under a request.
    fn count(&self, req: &CallRequest) -> usize {
        let told = self.view.get();
        if self.own.borrow().is_empty() && told.crash_suspects.is_empty() {
            return 0;
        }
        self.crashes(&req.content()).instances.len()
    }

    /// Whether an endpoint has crashed under a request.
    pub fn is_suspect(&self, req: &CallRequest) -> bool {
        self.count(req) > 0
    }

    /// Returns the refusal of a request under which too many endpoints have crashed.
    pub fn refusal(&self, req: &CallRequest) -> Option<NotRun> {
        if req.trial || self.count(req) < CRASHES_MAX {
            return None;
        }
        event(log::Level::Info, "crashing-request-refused", || {
            format!("request={} content={}", req.id, req.content())
        });
        Some(NotRun {
            retry_after: REFUSAL_RETRY_AFTER,
            reason: NotRunReason::CrashesEndpoints,
            full: false,
        })
    }

    /// Whether a call may be attempted again under which `crashes` endpoints have crashed; waits so
    /// that calls that were in flight at the same endpoint don't all go on to the same one.
    pub async fn may_retry(&self, req: &CallRequest, crashes: usize) -> bool {
        let exhausted = || crashes >= CRASHES_PER_CALL_MAX || self.count(req) >= CRASHES_MAX;
        if exhausted() {
            return false;
        }
        let longest = Millis(req.deadline.since(now()).0 / 4).min(BACKOFF_MAX);
        sleep(Millis(rand::random_range(0..=longest.0))).await;
        !exhausted()
    }

    /// Records a crash if the endpoint that broke the connection of a request accepts no others;
    /// returns whether it does not.
    pub async fn record_if_down(
        self: &Rc<Self>,
        req: &CallRequest,
        endpoint: &EndpointEntry,
    ) -> bool {
        let is_down = refuses_connections(endpoint.addr, CHECK_TIMEOUT).await;
        if is_down {
            self.record(&req.id, req.content(), &endpoint.instance);
        }
        is_down
    }

    fn crashes(&self, content: &RequestContent) -> Crashes {
        let now = unix_ms();
        let view = self.view.get();
        let mut all = Crashes::default();
        if let Some(seen) = self.own.borrow().crashes(content, now) {
            all.merge(seen);
        }
        if let Some(told) = view.crash_suspects.crashes(content, now) {
            all.merge(told);
        }
        all
    }

    /// Records that an endpoint has crashed under a request. Others learn of it unless the request
    /// succeeds soon.
    fn record(self: &Rc<Self>, id: &str, content: RequestContent, instance: &str) {
        let crash = Crashes::of(instance, unix_ms());
        self.own.borrow_mut().record(content.as_str(), &crash);
        let count = self.crashes(&content).instances.len();
        event(log::Level::Warn, "endpoint-crashed", || {
            format!("request={id} content={content} instance={instance} crashes={count}")
        });
        let this = Rc::clone(self);
        spawn(async move {
            sleep(report_delay(count)).await;
            this.report(&content).await;
        });
    }

    /// Writes the crashes under a request to the store, until it is done or the request is cleared.
    async fn report(&self, content: &RequestContent) {
        for _ in 0..WRITES_MAX {
            let seen = self.own.borrow().crashes(content, unix_ms()).cloned();
            let Some(seen) = seen else {
                return;
            };
            match add_crashes(&self.store, content.as_str(), &seen).await {
                Ok(all) => {
                    event(log::Level::Info, "crash-reported", || {
                        format!("content={content} crashes={}", all.instances.len())
                    });
                    return;
                }
                Err(error) => {
                    event(log::Level::Info, "crash-not-reported", || {
                        format!("content={content} reason=\"{error}\"")
                    });
                    sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    /// Records that an endpoint has run a request and is still there: earlier crashes under the
    /// request have another cause.
    pub fn clear(self: &Rc<Self>, req: &CallRequest) {
        let told = self.view.get();
        if self.own.borrow().is_empty() && told.crash_suspects.is_empty() {
            return;
        }
        let content = req.content();
        let was_seen = self.own.borrow_mut().clear(content.as_str());
        let was_told = told.crash_suspects.crashes(&content, unix_ms()).is_some();
        if was_seen || was_told {
            self.metrics.count_event("crash-cleared");
            event(log::Level::Info, "crash-cleared", || {
                format!("content={content}")
            });
        }
        if was_told {
            let this = Rc::clone(self);
            spawn(async move { this.withdraw(&content).await });
        }
    }

    /// Removes the crashes under a request from the store.
    async fn withdraw(&self, content: &RequestContent) {
        if let Err(error) = self.store.delete(CRASH_KIND, content.as_str()).await {
            event(log::Level::Warn, "crash-not-withdrawn", || {
                format!("content={content} reason=\"{error}\"")
            });
        }
    }
}
