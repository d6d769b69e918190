//! Loads of services by failure domain, as entries report them.

use super::service_demand::ServiceDemand;
use crate::prelude::*;
use std::collections::BTreeMap;

/// Time after which the report of an entry no longer counts.
const REPORT_AGE_MAX: Millis = Millis(5000);
/// Shortest time between two reports of a process that are compared: in less, single calls weigh too
/// much.
const INTERVAL_MIN: Millis = Millis(500);
/// Service time before any call has ended, in milliseconds.
const SERVICE_MS_DEFAULT: f64 = 100.0;

/// Name of a service and failure domain.
pub type ScaleSubject = (String, String);

/// Load that a process has put on a service.
#[derive(Clone, Debug)]
struct ProcessLoad {
    at: Millis,
    last: ServiceDemand,
    service_ms: f64,
    load: f64,
}

/// Loads of services by failure domain, as entries report them: calls at a time, what was refused
/// included.
#[derive(Clone, Debug, Default)]
pub struct ScaleLoads {
    loads: BTreeMap<ScaleSubject, BTreeMap<(String, u64), ProcessLoad>>,
}

impl ScaleLoads {
    /// Takes the demand of a process. It is compared with the process's last one; the first one only
    /// counts the calls in progress.
    pub fn record(&mut self, now: Millis, node: &str, process: u64, demand: Vec<ServiceDemand>) {
        for demand in demand {
            let subject = (demand.service.clone(), demand.domain.clone());
            let of_subject = self.loads.entry(subject).or_default();
            let key = (node.to_owned(), process);
            let load = match of_subject.get(&key) {
                Some(known) if now.since(known.at) >= INTERVAL_MIN => known.after(now, demand),
                Some(_) => continue,
                None => ProcessLoad {
                    at: now,
                    load: demand.started.saturating_sub(demand.ended) as f64,
                    service_ms: SERVICE_MS_DEFAULT,
                    last: demand,
                },
            };
            of_subject.insert(key, load);
        }
    }

    /// Returns the load of a service in a failure domain.
    pub fn load(&self, now: Millis, service: &str, domain: &str) -> f64 {
        let subject = (service.to_owned(), domain.to_owned());
        let processes = self
            .loads
            .get(&subject)
            .into_iter()
            .flat_map(BTreeMap::values);
        let recent = processes.filter(|load| now.since(load.at) < REPORT_AGE_MAX);
        recent.map(|load| load.load).sum()
    }

    /// Drops the reports that no longer count.
    pub fn forget_old(&mut self, now: Millis) {
        self.loads.retain(|_, processes| {
            processes.retain(|_, load| now.since(load.at) < REPORT_AGE_MAX);
            !processes.is_empty()
        });
    }
}

impl ProcessLoad {
    fn after(&self, now: Millis, demand: ServiceDemand) -> Self {
        let ms = now.since(self.at).0 as f64;
        let grown = |new: u64, old: u64| new.saturating_sub(old) as f64;
        let refused = grown(demand.refused, self.last.refused);
        let ended = grown(demand.ended, self.last.ended) - refused;
        let busy_ms = grown(demand.busy_ms, self.last.busy_ms);
        let service_ms = if ended > 0.0 {
            busy_ms / ended
        } else {
            self.service_ms
        };
        let arrived = grown(demand.started, self.last.started) - refused;
        let in_flight = demand.started.saturating_sub(demand.ended) as f64;
        let offered = arrived.max(0.0) * service_ms / ms;
        Self {
            at: now,
            last: demand,
            service_ms,
            load: offered.max(in_flight) + refused * service_ms / ms,
        }
    }
}
