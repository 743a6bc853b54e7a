//! Plots of figures as SVG.

use std::collections;
use std::fs;
use std::path;

use plotters::prelude::*;

use crate::bench;

/// Plots that can't be drawn.
#[derive(Debug, thiserror::Error)]
#[error("{0}")]
pub struct PlotError(String);

fn failed(error: impl ToString) -> PlotError {
    PlotError(error.to_string())
}

/// A figure by load for each policy.
type Lines = collections::BTreeMap<String, collections::BTreeMap<u64, Vec<f64>>>;

/// Loads are keyed in thousandths, to be ordered.
const LOAD_SCALE: f64 = 1000.0;

/// Draws program latency and wasted cache by load into `folder`.
///
/// # Errors
///
/// A folder that can't be written.
pub fn write_plots(
    folder: &path::Path,
    results: &[(bench::BenchConfig, bench::RunMetrics)],
) -> Result<(), PlotError> {
    fs::create_dir_all(folder).map_err(failed)?;
    let mean = |figures: &bench::RunMetrics| bench::mean(&figures.latencies);
    draw(&folder.join("program_mean_s.svg"), "program mean, s", results, mean)?;
    let p95 = |figures: &bench::RunMetrics| bench::percentile(&figures.latencies, 0.95);
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
    let mut lines = Lines::new();
    for (config, figures) in results {
        let load = (config.load * LOAD_SCALE) as u64;
        let line = lines.entry(config.policy.clone()).or_default();
        line.entry(load).or_default().push(value(figures));
    }
    let points = |line: &collections::BTreeMap<u64, Vec<f64>>| -> Vec<(f64, f64)> {
        let point =
            |(load, values): (&u64, &Vec<f64>)| (*load as f64 / LOAD_SCALE, bench::mean(values));
        line.iter().map(point).collect()
    };
    let highest = lines.values().flat_map(&points).map(|(_, y)| y).fold(1e-9, f64::max);
    let area = SVGBackend::new(file, (720, 480)).into_drawing_area();
    area.fill(&WHITE).map_err(failed)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 20))
        .margin(10)
        .x_label_area_size(40)
        .y_label_area_size(70)
        .build_cartesian_2d(0.4..1.4, 0.0..highest * 1.1)
        .map_err(failed)?;
    chart.configure_mesh().x_desc("load, share of capacity").draw().map_err(failed)?;
    for (index, (name, line)) in lines.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let series = LineSeries::new(points(line), color.stroke_width(2)).point_size(3);
        let drawn = chart.draw_series(series).map_err(failed)?;
        drawn.label(name).legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()
        .map_err(failed)?;
    area.present().map_err(failed)
}
