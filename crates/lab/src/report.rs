//! The result of an experiment: its checks, its figures as JSON, and an HTML page with plots.

use crate::error::LabError;
use plotters::coord::Shift;
use plotters::prelude::*;
use serde_json::{json, Value};
use std::collections::BTreeSet;
use std::path::Path;

/// Width and height of a plot (pixels).
const PLOT_SIZE: (u32, u32) = (760, 300);
/// Share of a category's width that its bars fill.
const BARS_SHARE: f64 = 0.8;
/// Share of its slot that a bar fills, beside the gap to the next one.
const BAR_SHARE: f64 = 0.9;
/// Height of a plot, relative to its highest bar.
const HEADROOM: f64 = 1.1;

/// A property that an experiment checks.
struct Check {
    text: String,
    passed: bool,
}

/// A bar of a plot.
struct Bar {
    plot: String,
    series: String,
    /// Its category on the horizontal axis.
    category: String,
    value: f64,
}

/// The result of an experiment.
pub struct Verdict {
    experiment: &'static str,
    seed: u64,
    checks: Vec<Check>,
    /// Everything that was measured.
    pub figures: Value,
    bars: Vec<Bar>,
}

impl Verdict {
    /// A result without checks.
    pub fn new(experiment: &'static str, seed: u64) -> Verdict {
        Verdict { experiment, seed, checks: Vec::new(), figures: Value::Null, bars: Vec::new() }
    }

    /// Adds the result of a check.
    pub fn check(&mut self, text: impl Into<String>, passed: bool) {
        self.checks.push(Check { text: text.into(), passed });
    }

    /// Adds a bar to a plot, by series and by category on the horizontal axis.
    pub fn bar(&mut self, plot: &str, series: &str, category: &str, value: f64) {
        self.bars.push(Bar { plot: plot.into(), series: series.into(), category: category.into(), value });
    }

    /// Whether there are checks and all of them passed.
    pub fn passed(&self) -> bool {
        !self.checks.is_empty() && self.checks.iter().all(|check| check.passed)
    }

    /// The result as one line of JSON.
    pub fn json(&self) -> String {
        let failed = self.checks.iter().filter(|check| !check.passed);
        let failed: Vec<&str> = failed.map(|check| check.text.as_str()).collect();
        json!({
            "experiment": self.experiment, "seed": self.seed, "held": self.passed(), "broken": failed,
            "figures": self.figures,
        })
        .to_string()
    }

    /// Writes an HTML page with all checks, plots and figures into a folder.
    ///
    /// # Errors
    ///
    /// Fails if a plot cannot be drawn or the page cannot be written.
    pub fn write_page(&self, folder: &Path) -> Result<(), LabError> {
        std::fs::create_dir_all(folder)?;
        let mut page =
            format!("<!doctype html><meta charset=utf-8><title>{0}</title><h1>{0}</h1>", self.experiment);
        page += &format!("<p>Seed {}. Every promise held: {}.</p><ul>", self.seed, self.passed());
        for Check { text, passed } in &self.checks {
            page += &format!("<li>{}: {text}</li>", if *passed { "held" } else { "<b>broken</b>" });
        }
        page += "</ul>";
        let plots: BTreeSet<&str> = self.bars.iter().map(|bar| bar.plot.as_str()).collect();
        for plot in plots {
            let bars: Vec<&Bar> = self.bars.iter().filter(|bar| bar.plot == plot).collect();
            page += &plot_svg(plot, &bars)?;
        }
        page += &format!("<h2>Figures</h2><pre>{:#}</pre>", self.figures);
        std::fs::write(folder.join(format!("{}.html", self.experiment)), page)?;
        Ok(())
    }
}

/// Draws a bar chart as SVG.
fn plot_svg(plot: &str, bars: &[&Bar]) -> Result<String, LabError> {
    let mut svg = String::new();
    let area = SVGBackend::with_string(&mut svg, PLOT_SIZE).into_drawing_area();
    let drawn = draw_bars(&area, plot, bars);
    drawn.map_err(|cause| LabError::Plot { plot: plot.into(), cause: cause.to_string() })?;
    drop(area);
    Ok(svg)
}

fn draw_bars<'a>(
    area: &DrawingArea<SVGBackend<'a>, Shift>,
    plot: &str,
    bars: &[&Bar],
) -> Result<(), Box<dyn std::error::Error + 'a>> {
    let series = distinct(bars.iter().map(|bar| bar.series.as_str()));
    let categories = distinct(bars.iter().map(|bar| bar.category.as_str()));
    let highest = bars.iter().map(|bar| bar.value).fold(0.0, f64::max).max(1e-9) * HEADROOM;
    let mut chart = ChartBuilder::on(area)
        .caption(plot, ("sans-serif", 18))
        .margin(8)
        .x_label_area_size(24)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..categories.len() as f64, 0.0..highest)?;
    let label = |x: &f64| categories.get(x.floor() as usize).copied().unwrap_or("").to_string();
    let mut mesh = chart.configure_mesh();
    mesh.disable_x_mesh().x_labels(categories.len()).x_label_formatter(&label);
    mesh.draw()?;
    let width = BARS_SHARE / series.len().max(1) as f64;
    for (number, name) in series.iter().enumerate() {
        let colour = Palette99::pick(number).to_rgba();
        let bars_of_series = bars.iter().filter(|bar| bar.series == *name);
        let rectangles = bars_of_series.map(|bar| {
            let index = categories.iter().position(|category| *category == bar.category).unwrap_or(0);
            let left = index as f64 + (1.0 - BARS_SHARE) / 2.0 + number as f64 * width;
            Rectangle::new([(left, 0.0), (left + width * BAR_SHARE, bar.value)], colour.filled())
        });
        chart
            .draw_series(rectangles)?
            .label(*name)
            .legend(move |(x, y)| Rectangle::new([(x, y - 4), (x + 8, y + 4)], colour.filled()));
    }
    let mut labels = chart.configure_series_labels();
    labels.background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
    area.present()?;
    Ok(())
}

/// The distinct names, in order of first appearance.
fn distinct<'a>(names: impl Iterator<Item = &'a str>) -> Vec<&'a str> {
    let mut distinct = Vec::new();
    for name in names {
        if !distinct.contains(&name) {
            distinct.push(name);
        }
    }
    distinct
}
