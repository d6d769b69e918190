//! Plots latencies by quantile as SVG.

use crate::experiment::Experiment;
use crate::measure::latencies;
use crate::outcome::CallEnd;
use crate::run::RunResult;
use derive_more::{Display, Error};
use plotters::prelude::*;
use std::path::Path;

const SIZE: (u32, u32) = (900, 500);
/// Quantiles plotted, in per mille.
const QUANTILES_PER_MILLE: std::ops::RangeInclusive<u32> = 0..=999;

/// A plot that could not be written.
#[derive(Debug, Display, Error)]
#[display("the plot can't be written: {reason}")]
pub struct PlotError {
    /// What the library said.
    reason: String,
}

/// One line of a plot.
struct Line {
    label: String,
    points: Vec<(f64, f64)>,
}

/// Plots the latencies of the answered calls of every stream and policy.
pub fn plot(path: &Path, experiment: &Experiment, results: &[RunResult]) -> Result<(), PlotError> {
    let lines: Vec<_> = results
        .iter()
        .flat_map(|result| lines(experiment, result))
        .collect();
    draw(path, &experiment.name, &lines).map_err(|e| PlotError {
        reason: e.to_string(),
    })
}

fn lines(experiment: &Experiment, result: &RunResult) -> Vec<Line> {
    let streams = result.streams.iter();
    let lines = streams.map(|stream| {
        let histogram = latencies(experiment, stream, |end| *end == CallEnd::Answered);
        let points = QUANTILES_PER_MILLE.map(|quantile| {
            let value_us = histogram.value_at_quantile(f64::from(quantile) / 1000.0);
            (f64::from(quantile) / 10.0, value_us as f64 / 1000.0)
        });
        Line {
            label: format!("{} {}", result.policy, stream.cfg.name),
            points: points.collect(),
        }
    });
    lines.collect()
}

fn draw(path: &Path, title: &str, lines: &[Line]) -> Result<(), Box<dyn std::error::Error>> {
    let values = lines
        .iter()
        .flat_map(|line| &line.points)
        .map(|point| point.1);
    let top = values.fold(1.0, f64::max) * 1.05;
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 22))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(56)
        .build_cartesian_2d(0.0..100.0, 0.0..top)?;
    chart
        .configure_mesh()
        .x_desc("quantile of answered calls, %")
        .y_desc("latency from the intended send time, ms")
        .draw()?;
    for (number, line) in lines.iter().enumerate() {
        let color = Palette99::pick(number).to_rgba();
        chart
            .draw_series(LineSeries::new(line.points.iter().copied(), color))?
            .label(&line.label)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], color));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperLeft)
        .background_style(WHITE.mix(0.8))
        .draw()?;
    area.present()?;
    Ok(())
}
