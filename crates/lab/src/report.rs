//! What an experiment ends with: promises held or not, figures as JSON, and a page with plots.

use plotters::prelude::*;
use serde_json::{json, Value};
use std::path::Path;

/// The end of an experiment.
pub struct Verdict {
    experiment: &'static str,
    seed: u64,
    promises: Vec<(String, bool)>,
    /// All that was measured.
    pub figures: Value,
    bars: Vec<(String, String, String, f64)>,
}

impl Verdict {
    /// Nothing promised yet.
    pub fn new(experiment: &'static str, seed: u64) -> Verdict {
        Verdict { experiment, seed, promises: Vec::new(), figures: Value::Null, bars: Vec::new() }
    }

    /// A promise and whether it held.
    pub fn check(&mut self, text: impl Into<String>, held: bool) {
        self.promises.push((text.into(), held));
    }

    /// A bar of a plot: one series, one place on the axis.
    pub fn bar(&mut self, plot: &str, series: &str, place: &str, value: f64) {
        self.bars.push((plot.into(), series.into(), place.into(), value));
    }

    /// Every promise held, and there was one.
    pub fn held(&self) -> bool {
        !self.promises.is_empty() && self.promises.iter().all(|(_, held)| *held)
    }

    /// One line of JSON.
    pub fn json(&self) -> String {
        let broken: Vec<&str> =
            self.promises.iter().filter(|(_, held)| !held).map(|(text, _)| text.as_str()).collect();
        let (experiment, seed, held) = (self.experiment, self.seed, self.held());
        json!({ "experiment": experiment, "seed": seed, "held": held, "broken": broken, "figures": self.figures })
            .to_string()
    }

    /// Writes a page that can be read without the code.
    pub fn write(&self, folder: &Path) -> std::io::Result<()> {
        std::fs::create_dir_all(folder)?;
        let mut page =
            format!("<!doctype html><meta charset=utf-8><title>{0}</title><h1>{0}</h1>", self.experiment);
        page += &format!("<p>Seed {}. Every promise held: {}.</p><ul>", self.seed, self.held());
        for (text, held) in &self.promises {
            page += &format!("<li>{}: {text}</li>", if *held { "held" } else { "<b>broken</b>" });
        }
        page += "</ul>";
        let mut plots: Vec<&String> = self.bars.iter().map(|(plot, ..)| plot).collect();
        plots.dedup();
        plots.sort();
        plots.dedup();
        for plot in plots {
            page += &self.plot(plot).map_err(std::io::Error::other)?;
        }
        page += &format!("<h2>Figures</h2><pre>{:#}</pre>", self.figures);
        std::fs::write(folder.join(format!("{}.html", self.experiment)), page)
    }

    fn plot(&self, plot: &str) -> Result<String, String> {
        let bars: Vec<&(String, String, String, f64)> =
            self.bars.iter().filter(|bar| bar.0 == plot).collect();
        let mut series: Vec<&str> = bars.iter().map(|bar| bar.1.as_str()).collect();
        series.dedup();
        let mut places: Vec<&str> = Vec::new();
        for bar in &bars {
            if !places.contains(&bar.2.as_str()) {
                places.push(&bar.2);
            }
        }
        let most = bars.iter().map(|bar| bar.3).fold(0.0, f64::max).max(1e-9) * 1.1;
        let mut svg = String::new();
        let failed = |cause: &dyn std::fmt::Display| format!("cannot plot {plot}: {cause}");
        {
            let area = SVGBackend::with_string(&mut svg, (760, 300)).into_drawing_area();
            let mut chart = ChartBuilder::on(&area)
                .caption(plot, ("sans-serif", 18))
                .margin(8)
                .x_label_area_size(24)
                .y_label_area_size(48)
                .build_cartesian_2d(0.0..places.len() as f64, 0.0..most)
                .map_err(|cause| failed(&cause))?;
            let label = |at: &f64| places.get(at.floor() as usize).copied().unwrap_or("").to_string();
            let mut mesh = chart.configure_mesh();
            mesh.disable_x_mesh().x_labels(places.len()).x_label_formatter(&label);
            mesh.draw().map_err(|cause| failed(&cause))?;
            let width = 0.8 / series.len().max(1) as f64;
            for (number, name) in series.iter().enumerate() {
                let colour = Palette99::pick(number).to_rgba();
                let shapes = bars.iter().filter(|bar| bar.1 == *name).map(|bar| {
                    let place = places.iter().position(|place| *place == bar.2).unwrap_or(0) as f64;
                    let left = place + 0.1 + number as f64 * width;
                    Rectangle::new([(left, 0.0), (left + width * 0.9, bar.3)], colour.filled())
                });
                chart
                    .draw_series(shapes)
                    .map_err(|cause| failed(&cause))?
                    .label(*name)
                    .legend(move |(x, y)| Rectangle::new([(x, y - 4), (x + 8, y + 4)], colour.filled()));
            }
            chart
                .configure_series_labels()
                .background_style(WHITE.mix(0.8))
                .border_style(BLACK)
                .draw()
                .map_err(|cause| failed(&cause))?;
            area.present().map_err(|cause| failed(&cause))?;
        }
        Ok(svg)
    }
}
