//! The duties of a dispatcher.

use super::platform_api::PlatformApi;
use super::usage_task;
use crate::duty_settings::DutySettings;
use crate::observe::metrics::Metrics;
use crate::peer::messages::UsageReceipt;
use crate::prelude::*;
use crate::store::shared_view::SharedView;
use crate::store::store_client::StoreClient;
use oleanderlock::duties::scale_loads::ScaleLoads;
use oleanderlock::duties::service_demand::ServiceDemand;
use oleanderlock::duties::true_clock::TrueClock;
use oleanderlock::duties::usage_ledger::UsageLedger;
use oleanderlock::duties::usage_report::UsageReport;
use oleanderlock::duties::usage_window::UsageWindow;
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// The duties of a dispatcher; it holds them while it leads.
#[derive(Debug)]
pub struct Duties {
    pub(super) cfg: DutySettings,
    pub(super) node: String,
    pub(super) view: SharedView,
    pub(super) store: Rc<StoreClient>,
    pub(super) api: PlatformApi,
    pub(super) metrics: Metrics,
    pub(super) window: UsageWindow,
    /// Counts that entries have reported since this dispatcher leads.
    pub(super) ledger: RefCell<UsageLedger>,
    /// Calls to services that entries and agents have reported.
    pub(super) loads: RefCell<ScaleLoads>,
    /// Last window that this dispatcher knows to be written; 0 if it knows none.
    pub(super) written_through: Cell<u64>,
    clock: TrueClock,
}

impl Duties {
    /// Returns the duties of the dispatcher on `node`, which doesn't lead yet.
    pub fn new(
        cfg: DutySettings,
        node: &str,
        view: SharedView,
        store: Rc<StoreClient>,
        metrics: Metrics,
    ) -> Rc<Self> {
        let window = UsageWindow::new(cfg.usage_window);
        let clock = TrueClock::new(now(), unix_ms());
        Rc::new(Self {
            api: PlatformApi::new(cfg.addr, node),
            node: node.to_owned(),
            view,
            store,
            metrics,
            window,
            ledger: RefCell::new(UsageLedger::new(window, now(), clock)),
            loads: RefCell::default(),
            written_through: Cell::new(0),
            clock,
            cfg,
        })
    }

    /// Starts the duties of a dispatcher that begins to lead; they end when `leads` returns false.
    /// `batch_items` returns the items of batch jobs that have no result yet.
    pub fn start(
        self: &Rc<Self>,
        leads: impl Fn() -> bool + 'static,
        batch_items: impl Fn() -> usize + 'static,
    ) {
        if !self.cfg.usage && !self.cfg.scale {
            return;
        }
        *self.ledger.borrow_mut() = UsageLedger::new(self.window, now(), self.clock);
        self.written_through.set(0);
        *self.loads.borrow_mut() = ScaleLoads::default();
        spawn(usage_task::run(Rc::clone(self), leads, batch_items));
    }

    /// Takes the calls of an entry or agent to services.
    pub fn take_demand(&self, node: &str, process: u64, demand: Vec<ServiceDemand>) {
        let mut loads = self.loads.borrow_mut();
        loads.record(now(), node, process, demand);
    }

    /// Takes the counts of an entry.
    pub fn take_counts(&self, mut report: UsageReport) -> UsageReceipt {
        let demand = std::mem::take(&mut report.demand);
        self.take_demand(&report.node, report.process, demand);
        let offset_ms = self.ledger.borrow_mut().record(now(), report);
        UsageReceipt {
            written_through: self.written_through.get(),
            offset_ms,
        }
    }
}
