//! Orders of endpoints by the loads that entries and agents report.

use super::duties::Duties;
use crate::prelude::*;
use crate::store::view::View;
use indexmap::IndexMap;
use oleanderlock::duties::scale_input::ScaleInput;
use oleanderlock::duties::scale_loads::ScaleSubject;
use oleanderlock::duties::scale_order::ScaleOrder;
use oleanderlock::duties::scale_plan::ScalePlan;
use oleanderlock::duties::usage_duty::UsageDuty;
use oleanderlock::routing::route_kind::RouteKind;
use oleanderlock::routing::scale_limits::ScaleLimits;

/// Time between two decisions.
const PLAN_EVERY: Millis = Millis(1000);
/// Time after the start of a leader before its first order: reports of entries and agents take 1 s,
/// the list of endpoints is read anew.
const PLAN_AFTER: Millis = Millis(3000);

/// Orders of endpoints of a leading dispatcher.
pub(super) struct ScalePlanner {
    next: Millis,
    plans: IndexMap<ScaleSubject, ScalePlan>,
}

/// Endpoints of a service in a failure domain that take work.
#[derive(Clone, Copy, Default)]
struct Listed {
    endpoints: u32,
    slots: u32,
}

impl ScalePlanner {
    pub(super) fn new() -> Self {
        Self {
            next: now().plus(PLAN_AFTER),
            plans: IndexMap::new(),
        }
    }

    /// Decides about all services whose endpoints are ordered, once a second. `batch_items` returns
    /// the items of batch jobs that have no result yet.
    pub(super) fn run(
        &mut self,
        duties: &Duties,
        duty: &mut UsageDuty,
        batch_items: &impl Fn() -> usize,
    ) {
        let now = now();
        if now < self.next || duty.holder().fence().is_none() {
            return;
        }
        self.next = now.plus(PLAN_EVERY);
        duties.loads.borrow_mut().forget_old(now);
        let view = duties.view.get();
        let Some(routes) = view.routes.as_ref().filter(|_| view.endpoints_known) else {
            return;
        };
        let items = batch_items();
        let services = routes.config.services.iter();
        for (service, config) in services {
            if let Some(limits) = config.scale {
                self.plan_service(duties, duty, &view, (service, limits), items);
            }
        }
    }

    fn plan_service(
        &mut self,
        duties: &Duties,
        duty: &mut UsageDuty,
        view: &View,
        (service, limits): (&str, ScaleLimits),
        items: usize,
    ) {
        let listed = listed_by_domain(view, service, duty.orders());
        let all_slots: u32 = listed.values().map(|one| one.slots).sum();
        let all_endpoints: u32 = listed.values().map(|one| one.endpoints).sum();
        let slots = all_slots.checked_div(all_endpoints).unwrap_or(0);
        let items = if runs_batch_jobs(view, service) {
            items
        } else {
            0
        };
        for (domain, listed) in listed {
            let mut orders = duty.orders().iter();
            let ordered = orders
                .find(|order| order.service == service && order.domain == domain)
                .map(|order| order.count);
            // Items wait for slots as long as there are more of them, so they ask for what is there.
            let share = f64::from(listed.slots) / f64::from(all_slots.max(1));
            let batch = (items as f64 * share).min(f64::from(listed.slots));
            let calls = duties.loads.borrow().load(now(), service, &domain);
            let input = ScaleInput {
                load: calls + batch,
                listed: listed.endpoints,
                slots: listed.slots.checked_div(listed.endpoints).unwrap_or(slots),
                limits,
                ordered,
            };
            let subject = (service.to_owned(), domain.clone());
            let plan = self.plans.entry(subject).or_default();
            let Some(count) = plan.decide(now(), &input) else {
                continue;
            };
            duties.metrics.count_event("scale_ordered");
            event(log::Level::Info, "scale-decided", || {
                let (min, max, boot) = (limits.min, limits.max, limits.boot);
                let before = ordered.map_or("none".to_owned(), |count| count.to_string());
                format!(
                    "service={service} domain={domain} count={count} before={before} \
                     listed={} slots={} calls={calls:.1} batch={batch:.1} min={min} max={max} \
                     boot={boot}",
                    listed.endpoints, input.slots
                )
            });
            duty.order(ScaleOrder {
                service: service.to_owned(),
                domain,
                count,
                taken: false,
            });
        }
    }
}

/// Returns the endpoints of a service by failure domain, also of domains that have none any more but an
/// order.
fn listed_by_domain(view: &View, service: &str, orders: &[ScaleOrder]) -> IndexMap<String, Listed> {
    let mut domains: IndexMap<String, Listed> = IndexMap::new();
    for entry in view.endpoints.ready(service) {
        let listed = domains.entry(entry.domain.clone()).or_default();
        listed.endpoints += 1;
        listed.slots += entry.slots as u32;
    }
    for order in orders.iter().filter(|order| order.service == service) {
        domains.entry(order.domain.clone()).or_default();
    }
    domains
}

/// Whether items of batch jobs run at the endpoints of a service.
fn runs_batch_jobs(view: &View, service: &str) -> bool {
    let routes = view.routes.iter().flat_map(|routes| &routes.config.routes);
    let mut of_jobs = routes.filter(|route| route.kind == RouteKind::Rollout);
    of_jobs.any(|route| route.targets.iter().any(|target| target.service == service))
}
