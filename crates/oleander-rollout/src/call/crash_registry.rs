//! Requests under which endpoints have crashed, as this process and others have seen it.

use crate::observe::metrics::Metrics;
use crate::prelude::*;
use crate::store::crash_objects::{CRASH_KIND, add_crashes};
use crate::store::shared_view::SharedView;
use crate::store::store_client::StoreClient;
use oleanderlock::routing::crash_suspects::{CRASHES_MAX, CrashSuspects, Crashes};
use oleanderlock::routing::request_content::RequestContent;
use std::cell::RefCell;
use std::rc::Rc;

/// Time after a crash within which a retry of the request may still show that the request is not
/// the cause, so that others need not know of it.
const REPORT_DELAY: Millis = Millis(500);
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

    /// Returns the number of endpoints that have crashed under a request; `content` is called only
    /// if some have crashed under any.
    pub fn count(&self, content: impl FnOnce() -> RequestContent) -> usize {
        let others = self.view.get();
        if self.own.borrow().is_empty() && others.crash_suspects.is_empty() {
            return 0;
        }
        self.crashes(&content()).instances.len()
    }

    /// Whether a request has crashed so many endpoints that it is not sent any more.
    pub fn is_blocked(&self, content: impl FnOnce() -> RequestContent) -> bool {
        self.count(content) >= CRASHES_MAX
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
    pub fn record(self: &Rc<Self>, id: &str, content: RequestContent, instance: &str) {
        let crash = Crashes::of(instance, unix_ms());
        self.own.borrow_mut().record(content.as_str(), &crash);
        let count = self.crashes(&content).instances.len();
        event(log::Level::Warn, "endpoint-crashed", || {
            format!("request={id} content={content} instance={instance} crashes={count}")
        });
        let this = Rc::clone(self);
        spawn(async move {
            if count < CRASHES_MAX {
                sleep(REPORT_DELAY).await;
            }
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
    pub fn clear(self: &Rc<Self>, content: impl FnOnce() -> RequestContent) {
        let told = self.view.get();
        if self.own.borrow().is_empty() && told.crash_suspects.is_empty() {
            return;
        }
        let content = content();
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
