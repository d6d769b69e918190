//! What a replay measures.

use super::fleet::Endpoint;

/// What a replay measures.
#[derive(Clone, Copy, Debug, Default)]
pub struct Figures {
    /// Coefficient of variation of occupied slots among endpoints, mean over windows of 100 ms.
    pub spread: f64,
    /// 99th percentile of the time until a call has a slot, and mean, in milliseconds.
    pub wait_p99_ms: f64,
    pub wait_mean_ms: f64,
    /// Occupied slots of the busiest endpoint over the mean, over all of the time.
    pub busiest: f64,
    /// Refusals by full endpoints for each 1000 calls.
    pub refused: f64,
    /// Part of the calls that stayed in the failure domain of the chooser.
    pub own_domain: f64,
    /// Connections opened for each 1000 calls, and most open at once.
    pub opened: f64,
    pub open_max: usize,
    /// Calls that gave up for each 1000.
    pub gave_up: f64,
    /// Part of the calls that went to the first endpoint from 10 s after half of the time on, times
    /// the number of endpoints.
    pub to_first: f64,
}

/// Returns the mean over windows of the coefficient of variation of occupied slots.
pub fn spread(endpoints: &[Endpoint]) -> f64 {
    let windows = endpoints[0].busy.len();
    let each = (10..windows).filter_map(|window| {
        let busy = endpoints.iter().map(|it| it.busy[window] as f64);
        variation(&busy.collect::<Vec<f64>>())
    });
    let each: Vec<f64> = each.collect();
    each.iter().sum::<f64>() / each.len() as f64
}

/// Returns the occupied slots of the busiest endpoint over the mean.
pub fn busiest(endpoints: &[Endpoint]) -> f64 {
    let all = endpoints
        .iter()
        .map(|it| it.busy.iter().sum::<u64>() as f64);
    let all: Vec<f64> = all.collect();
    let mean = all.iter().sum::<f64>() / all.len() as f64;
    all.iter().copied().fold(0.0, f64::max) / mean
}

fn variation(values: &[f64]) -> Option<f64> {
    let count = values.len() as f64;
    let mean = values.iter().sum::<f64>() / count;
    let variance = values.iter().map(|it| (it - mean).powi(2)).sum::<f64>() / count;
    (mean > 0.0).then(|| variance.sqrt() / mean)
}

/// Returns the 99th percentile.
pub fn p99(values: &mut [u64]) -> f64 {
    values.sort_unstable();
    values
        .get(values.len() * 99 / 100)
        .copied()
        .unwrap_or_default() as f64
}
