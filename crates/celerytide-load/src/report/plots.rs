//! Plots of a run as SVG.

use std::{collections::BTreeMap, path::Path};

use plotters::prelude::*;

use super::{Error, PlotSnafu};
use crate::run::Results;

const SIZE_PIXELS: (u32, u32) = (960, 360);
const MARGIN_PIXELS: u32 = 10;
const AXIS_LABEL_PIXELS: u32 = 45;
const LEGEND_LINE_PIXELS: i32 = 16;
/// Window of the moving average of the attainment.
const WINDOW_SECONDS: u64 = 5;
/// Ratio of the top of the y axis to the highest value.
const HEADROOM: f64 = 1.05;

struct Line {
    name: String,
    points: Vec<(f64, f64)>,
}

/// Draws all plots. Returns the title and the file name of each.
pub(super) fn draw(results: &Results, dir: &Path) -> Result<Vec<(&'static str, &'static str)>, Error> {
    let plots = [
        ("Attainment by class, %", "attainment.svg", attainment_lines(results)),
        ("Queue by tier, requests", "queue.svg", queue_lines(results)),
        (
            "Work by zone, requests in flight",
            "zones.svg",
            in_flight_lines(results),
        ),
    ];
    let mut drawn = Vec::new();
    for (title, name, lines) in plots {
        let phases: Vec<f64> = results.phases.iter().map(|phase| phase.end).collect();
        plot(&dir.join(name), title, &lines, &phases).map_err(|e| {
            PlotSnafu {
                name,
                message: e.to_string(),
            }
            .build()
        })?;
        drawn.push((title, name));
    }
    Ok(drawn)
}

fn attainment_lines(results: &Results) -> Vec<Line> {
    let mut by_class: BTreeMap<&str, BTreeMap<u64, (u64, u64)>> = BTreeMap::new();
    for second in &results.seconds {
        by_class
            .entry(&second.class)
            .or_default()
            .insert(second.second, (second.sent, second.attained));
    }
    let lines = by_class.into_iter().map(|(class, seconds)| Line {
        name: class.to_owned(),
        points: moving_average(&seconds),
    });
    lines.collect()
}

/// Attained percentage of the requests sent in the window that ends with each second.
fn moving_average(seconds: &BTreeMap<u64, (u64, u64)>) -> Vec<(f64, f64)> {
    let points = seconds.keys().map(|second| {
        let window = seconds.range(second.saturating_sub(WINDOW_SECONDS - 1)..=*second);
        let (sent, attained) = window.fold((0, 0), |sum, (_, one)| (sum.0 + one.0, sum.1 + one.1));
        (*second as f64, 100.0 * attained as f64 / sent.max(1) as f64)
    });
    points.collect()
}

fn queue_lines(results: &Results) -> Vec<Line> {
    let samples = results
        .samples
        .iter()
        .map(|sample| (sample.at.as_secs_f64(), &sample.queued));
    lines_by_key(samples, |tier| format!("tier {tier}"))
}

fn in_flight_lines(results: &Results) -> Vec<Line> {
    let samples = results
        .samples
        .iter()
        .map(|sample| (sample.at.as_secs_f64(), &sample.in_flight));
    lines_by_key(samples, Clone::clone)
}

fn lines_by_key<'a, K: Ord + Clone + 'a>(
    samples: impl Iterator<Item = (f64, &'a BTreeMap<K, u64>)>,
    name: impl Fn(&K) -> String,
) -> Vec<Line> {
    let mut all: BTreeMap<K, Vec<(f64, f64)>> = BTreeMap::new();
    for (at, values) in samples {
        for (key, value) in values {
            all.entry(key.clone()).or_default().push((at, *value as f64));
        }
    }
    all.into_iter()
        .map(|(key, points)| Line {
            name: name(&key),
            points,
        })
        .collect()
}

fn plot(path: &Path, title: &str, lines: &[Line], phases: &[f64]) -> Result<(), Box<dyn std::error::Error>> {
    let end = phases.last().copied().unwrap_or(1.0).max(1.0);
    let values = lines.iter().flat_map(|line| line.points.iter().map(|point| point.1));
    let max_y = values.fold(1.0, f64::max) * HEADROOM;
    let root = SVGBackend::new(path, SIZE_PIXELS).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 18))
        .margin(MARGIN_PIXELS)
        .x_label_area_size(AXIS_LABEL_PIXELS)
        .y_label_area_size(AXIS_LABEL_PIXELS)
        .build_cartesian_2d(0.0..end, 0.0..max_y)?;
    chart.configure_mesh().x_desc("seconds").max_light_lines(0).draw()?;
    for phase in phases {
        let boundary = [(*phase, 0.0), (*phase, max_y)];
        chart.draw_series(LineSeries::new(boundary, BLACK.mix(0.3)))?;
    }
    for (i, line) in lines.iter().enumerate() {
        let color = Palette99::pick(i).to_rgba();
        let series = LineSeries::new(line.points.iter().copied(), color.stroke_width(2));
        let legend = move |(x, y)| PathElement::new([(x, y), (x + LEGEND_LINE_PIXELS, y)], color.stroke_width(2));
        chart.draw_series(series)?.label(&line.name).legend(legend);
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    root.present()?;
    Ok(())
}
