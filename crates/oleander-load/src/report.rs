//! Prints and keeps the figures of experiments.

use crate::measure::Measure;
use oleanderlock::policy::Policy;
use serde::Serialize;
use std::fs::File;
use std::io::{self, Write};
use std::path::Path;

/// The figures of one experiment with one policy.
#[derive(Clone, Debug, Serialize)]
pub struct PolicyReport {
    /// Name of the experiment.
    pub experiment: String,
    /// The policy.
    pub policy: Policy,
    /// Number of the round, from 0.
    pub round: u32,
    /// The figures.
    pub measures: Vec<Measure>,
}

/// Prints `result` lines.
pub fn print_results(out: &mut impl Write, report: &PolicyReport) -> io::Result<()> {
    for measure in &report.measures {
        writeln!(
            out,
            "result experiment={} policy={} metric={} value={:.3} unit={}",
            report.experiment, report.policy, measure.metric, measure.value, measure.unit,
        )?;
    }
    Ok(())
}

/// Prints `ratio` lines: the product's figure divided by that of each baseline, where neither is 0.
pub fn print_ratios(
    out: &mut impl Write,
    product: &PolicyReport,
    baseline: &PolicyReport,
) -> io::Result<()> {
    for measure in &product.measures {
        let mut others = baseline.measures.iter();
        let other = others.find(|other| other.metric == measure.metric);
        let Some(other) = other.filter(|other| other.value != 0.0 && measure.value != 0.0) else {
            continue;
        };
        writeln!(
            out,
            "ratio experiment={} metric={} baseline={} value={:.3}",
            product.experiment,
            measure.metric,
            baseline.policy,
            measure.value / other.value,
        )?;
    }
    Ok(())
}

/// Adds one line of JSON to the file of all results.
pub fn keep(folder: &Path, report: &PolicyReport) -> io::Result<()> {
    std::fs::create_dir_all(folder)?;
    let path = folder.join("results.jsonl");
    let mut file = File::options().create(true).append(true).open(path)?;
    writeln!(file, "{}", serde_json::to_string(report)?)
}
