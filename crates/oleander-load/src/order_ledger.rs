//! Judges orders by what the stand-ins say ran.

use crate::order_client::{OrderEnd, OrderKind, Told};
use indexmap::IndexMap;
use oleander_standins::service::ServiceRecord;
use oleanderlock::prelude::*;
use serde::Deserialize;

/// What became of all orders of a run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OrderVerdict {
    /// Orders.
    pub sent: u64,
    /// Whole and right answers.
    pub whole: u64,
    /// Answers that belong to another request, or are not whole.
    pub wrong: u64,
    /// Quotes that ran more than once.
    pub doubled: u64,
    /// Quotes that were answered although they did not run.
    pub made_up: u64,
    /// Orders that were told "not run" although they ran.
    pub false_not_run: u64,
    /// Orders without any answer.
    pub cut_off: u64,
    /// Connections that broke without an answer.
    pub broken: u64,
    /// Refusals by kind.
    pub refusals: IndexMap<String, u64>,
    /// Latencies of whole answers in milliseconds, ascending.
    pub latencies_ms: Vec<u64>,
}

#[derive(Deserialize)]
struct OrderBody {
    order: u64,
}

/// Judges the ends of orders by the records of the plain services.
pub fn judge(ends: &[OrderEnd], records: &[ServiceRecord]) -> OrderVerdict {
    let runs = runs_by_order(records);
    let mut verdict = OrderVerdict::default();
    for end in ends {
        let runs = runs.get(&end.order.number).copied().unwrap_or_default();
        take(&mut verdict, end, runs);
    }
    verdict.latencies_ms.sort_unstable();
    verdict
}

fn runs_by_order(records: &[ServiceRecord]) -> IndexMap<u64, u64> {
    let mut runs = IndexMap::new();
    for run in records.iter().flat_map(|record| &record.runs) {
        if let Ok(body) = serde_json::from_str::<OrderBody>(&run.body) {
            *runs.entry(body.order).or_insert(0) += 1;
        }
    }
    runs
}

fn take(verdict: &mut OrderVerdict, end: &OrderEnd, runs: u64) {
    verdict.sent += 1;
    verdict.broken += end.broken;
    if end.order.kind == OrderKind::Quote && runs > 1 {
        verdict.doubled += 1;
    }
    match &end.told {
        Told::Whole => {
            verdict.whole += 1;
            verdict.latencies_ms.push(end.latency_ms);
            verdict.made_up += u64::from(end.order.kind != OrderKind::Advice && runs == 0);
        }
        Told::Wrong => verdict.wrong += 1,
        Told::CutOff => verdict.cut_off += 1,
        Told::Refused { kind, ran } => {
            *verdict.refusals.entry(kind.clone()).or_insert(0) += 1;
            verdict.false_not_run += u64::from(*ran == Ran::No && runs > 0);
        }
    }
}

/// Returns the value below which `percent` of an ascending list lie; 0 for an empty list.
pub fn percentile(ascending: &[u64], percent: usize) -> u64 {
    let last = ascending.len().saturating_sub(1);
    ascending
        .get(last * percent / 100)
        .copied()
        .unwrap_or_default()
}
