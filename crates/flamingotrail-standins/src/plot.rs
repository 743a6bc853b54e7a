//! SVG plots of benchmark metrics.

use std::collections;
use std::fs;
use std::path;

use plotters::prelude::*;

use crate::bench;

/// A plot could not be drawn or written.
#[derive(Debug, thiserror::Error)]
#[error("{0}")]
pub struct PlotError(String);

fn to_plot_error(error: impl ToString) -> PlotError {
    PlotError(error.to_string())
}

/// Values of one metric per policy and load.
type SeriesByPolicy = collections::BTreeMap<String, collections::BTreeMap<u64, Vec<f64>>>;

/// Factor that turns a load into an integer map key, since floats are not `Ord`.
const LOAD_SCALE: f64 = 1000.0;

/// Writes SVG plots of program latency and wasted cache by load into `folder`.
///
/// # Errors
///
/// Returns an error when a plot cannot be drawn or `folder` cannot be written.
pub fn write_plots(
    folder: &path::Path,
    results: &[(bench::BenchConfig, bench::RunMetrics)],
) -> Result<(), PlotError> {
    fs::create_dir_all(folder).map_err(to_plot_error)?;
    let mean = |metrics: &bench::RunMetrics| bench::mean(&metrics.latencies);
    draw(&folder.join("program_mean_s.svg"), "program mean, s", results, mean)?;
    let p95 = |metrics: &bench::RunMetrics| bench::percentile(&metrics.latencies, 0.95);
    draw(&folder.join("program_p95_s.svg"), "program 95th percentile, s", results, p95)?;
    let wasted = bench::RunMetrics::wasted_cache_tokens;
    draw(&folder.join("wasted_cache.svg"), "wasted cache, tokens and token-s", results, wasted)
}

fn draw(
    file: &path::Path,
    title: &str,
    results: &[(bench::BenchConfig, bench::RunMetrics)],
    value: impl Fn(&bench::RunMetrics) -> f64,
) -> Result<(), PlotError> {
    let mut series_by_policy = SeriesByPolicy::new();
    for (config, metrics) in results {
        let load = (config.load * LOAD_SCALE) as u64;
        let values_by_load = series_by_policy.entry(config.policy.clone()).or_default();
        values_by_load.entry(load).or_default().push(value(metrics));
    }
    let points = |values_by_load: &collections::BTreeMap<u64, Vec<f64>>| -> Vec<(f64, f64)> {
        let point =
            |(load, values): (&u64, &Vec<f64>)| (*load as f64 / LOAD_SCALE, bench::mean(values));
        values_by_load.iter().map(point).collect()
    };
    let highest = series_by_policy.values().flat_map(&points).map(|(_, y)| y).fold(1e-9, f64::max);
    let area = SVGBackend::new(file, (720, 480)).into_drawing_area();
    area.fill(&WHITE).map_err(to_plot_error)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 20))
        .margin(10)
        .x_label_area_size(40)
        .y_label_area_size(70)
        .build_cartesian_2d(0.4..1.4, 0.0..highest * 1.1)
        .map_err(to_plot_error)?;
    chart.configure_mesh().x_desc("load, share of capacity").draw().map_err(to_plot_error)?;
    for (index, (policy, values_by_load)) in series_by_policy.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let series = LineSeries::new(points(values_by_load), color.stroke_width(2)).point_size(3);
        let drawn = chart.draw_series(series).map_err(to_plot_error)?;
        drawn.label(policy).legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()
        .map_err(to_plot_error)?;
    area.present().map_err(to_plot_error)
}
