//! Logs and counts how often keys are used.

use crate::observe::metrics::Metrics;
use crate::prelude::*;
use oleanderlock::workspaces::key_holder::KeyHolder;
use oleanderlock::workspaces::key_usage::{KeyUsage, most_used};
use oleanderlock::workspaces::key_use::KeyUse;
use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::sync::Arc;

/// Time between two logs of the most used keys.
const LOG_INTERVAL: Millis = Millis::from_secs(60);
/// Time between two updates of the metrics.
const COUNT_INTERVAL: Millis = Millis::from_secs(5);
/// Keys that are logged, and workspaces that have metrics of their own; the others are summed.
const NAMED_MAX: usize = 16;
/// Name in metrics of all workspaces without metrics of their own.
const OTHERS: &str = "(others)";

/// Logs and counts how often keys are used.
#[derive(Debug)]
pub struct KeyLog {
    usage: RefCell<KeyUsage>,
    metrics: Metrics,
}

impl KeyLog {
    /// Returns a log without requests.
    pub fn new(metrics: Metrics) -> Rc<Self> {
        Rc::new(Self {
            usage: RefCell::default(),
            metrics,
        })
    }

    /// Records a request that is served.
    pub fn record(&self, holder: &KeyHolder) {
        self.usage.borrow_mut().record(holder);
    }

    /// Logs and counts until the process ends.
    pub async fn run(self: Rc<Self>) {
        let mut totals = HashMap::new();
        let mut named = HashSet::new();
        let mut next_log = now().plus(LOG_INTERVAL);
        loop {
            sleep(COUNT_INTERVAL).await;
            self.count(&mut totals, &mut named);
            if now() >= next_log {
                next_log = now().plus(LOG_INTERVAL);
                self.log();
            }
        }
    }

    /// Adds the requests since the last call to the metrics of the workspaces with most use so far.
    fn count(&self, totals: &mut HashMap<Arc<str>, u64>, named: &mut HashSet<Arc<str>>) {
        let new = self.usage.borrow_mut().take_workspaces();
        for (workspace, count) in &new {
            *totals.entry(Arc::clone(workspace)).or_default() += count;
        }
        let (most, _) = most_used(totals.clone(), NAMED_MAX);
        let most = most.into_iter().map(|(workspace, _)| workspace).collect();
        for workspace in named.difference(&most) {
            self.metrics.remove_workspace(workspace);
        }
        *named = most;
        for (workspace, count) in new {
            let name = if named.contains(&workspace) {
                &workspace
            } else {
                OTHERS
            };
            self.metrics.count_workspace_requests(name, count);
        }
    }

    fn log(&self) {
        let (most, others) = self.usage.borrow_mut().take_keys(NAMED_MAX);
        for used in most {
            event(log::Level::Info, "key-used", || {
                let KeyUse {
                    workspace,
                    number,
                    requests,
                } = used;
                format!("workspace={workspace:?} key={number} requests={requests}")
            });
        }
        if others > 0 {
            event(log::Level::Info, "other-keys-used", || {
                format!("requests={others}")
            });
        }
    }
}
