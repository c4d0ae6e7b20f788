//! The tables of `docs/CAPACITY.md`, generated from the committed JSON of scale runs.

use super::projection::{Prediction, Projection};
use super::FIGURES_VERSION;
use serde_json::Value;
use std::path::Path;
use thiserror::Error;

/// Why the capacity page cannot be checked or written.
#[derive(Debug, Error)]
pub enum CapacityError {
    /// A file cannot be read or written.
    #[error("{file}: {cause}")]
    File {
        /// The file.
        file: String,
        /// The error of the system.
        cause: std::io::Error,
    },
    /// A file is not a report of a scale run.
    #[error("{file}: it is no report of a scale run: {cause}")]
    Shape {
        /// The file.
        file: String,
        /// The mismatch.
        cause: String,
    },
    /// A report has another version.
    #[error("{file}: its version is {found}, and {FIGURES_VERSION} is read here")]
    Version {
        /// The file.
        file: String,
        /// Its version.
        found: String,
    },
    /// The page lacks the marks of a table.
    #[error("{page}: it lacks the marks of the table {table:?}")]
    Marks {
        /// The page.
        page: String,
        /// The table.
        table: String,
    },
    /// A table differs from the JSON.
    #[error("{page}: the table {table:?} differs from the committed JSON; petrelgauge-lab capacity --write makes it anew")]
    Differs {
        /// The page.
        page: String,
        /// The table.
        table: String,
    },
}

/// The reports shown on the page, by file name without extension.
const REPORTS: [&str; 2] = ["single-owner", "sharded"];

/// What to do with the tables of the page.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PageAction {
    /// Compare them with the JSON.
    Check,
    /// Generate them anew.
    Rewrite,
}

/// Checks or rewrites all tables of the page, by the JSON in this folder.
///
/// # Errors
///
/// Fails if a file cannot be read or written, or if a checked table differs. The page is unchanged then.
pub fn page(page: &Path, folder: &Path, action: PageAction) -> Result<(), CapacityError> {
    let name = page.display().to_string();
    let read = |path: &Path| {
        let file = path.display().to_string();
        std::fs::read_to_string(path).map_err(|cause| CapacityError::File { file, cause })
    };
    let mut text = read(page)?;
    let before = text.clone();
    for report in REPORTS {
        let file = folder.join(format!("{report}.json"));
        let figures = figures(&file.display().to_string(), &read(&file)?)?;
        for Table { name: table, lines } in tables(&file.display().to_string(), &figures)? {
            let table = format!("{report} {table}");
            text = with_table(&name, &text, &table, &lines, action)?;
        }
    }
    if action == PageAction::Rewrite && text != before {
        std::fs::write(page, text).map_err(|cause| CapacityError::File { file: name, cause })?;
    }
    Ok(())
}

/// The figures of a report.
fn figures(file: &str, text: &str) -> Result<Value, CapacityError> {
    let shape = |cause: String| CapacityError::Shape { file: file.into(), cause };
    let mut report: Value = serde_json::from_str(text).map_err(|cause| shape(cause.to_string()))?;
    let figures = report.get_mut("figures").map(Value::take).ok_or_else(|| shape("no figures".into()))?;
    match figures["version"].as_u64() {
        Some(FIGURES_VERSION) => Ok(figures),
        _ => Err(CapacityError::Version { file: file.into(), found: figures["version"].to_string() }),
    }
}

/// The text of the page with this table between its marks. A table that is checked must be there already.
fn with_table(
    page: &str,
    text: &str,
    table: &str,
    lines: &str,
    action: PageAction,
) -> Result<String, CapacityError> {
    let (begin, end) = (format!("<!-- begin {table} -->\n"), format!("<!-- end {table} -->"));
    let marks = || CapacityError::Marks { page: page.into(), table: table.into() };
    let from = text.find(&begin).ok_or_else(marks)? + begin.len();
    let to = from + text[from..].find(&end).ok_or_else(marks)?;
    if action == PageAction::Check && text[from..to] != *lines {
        return Err(CapacityError::Differs { page: page.into(), table: table.into() });
    }
    Ok(format!("{}{lines}{}", &text[..from], &text[to..]))
}

/// A table of the page.
struct Table {
    /// Its name in the page's marks, without the report's.
    name: &'static str,
    /// Its lines.
    lines: String,
}

/// All tables of a report.
fn tables(file: &str, figures: &Value) -> Result<Vec<Table>, CapacityError> {
    let shape =
        |cause: serde_json::Error| CapacityError::Shape { file: file.into(), cause: cause.to_string() };
    let projections: Vec<Projection> = serde_json::from_value(figures["reckoned"].clone()).map_err(shape)?;
    let predictions: Vec<Prediction> =
        serde_json::from_value(figures["predictions"].clone()).map_err(shape)?;
    Ok(vec![
        Table { name: "run", lines: run_table(figures) },
        Table { name: "budgets", lines: budget_table(&projections) },
        Table { name: "predictions", lines: prediction_table(&predictions) },
        Table { name: "compared", lines: comparison_table(figures) },
        Table { name: "troubles", lines: fault_table(figures) },
    ])
}

fn run_table(figures: &Value) -> String {
    let machine = &figures["machine"];
    format!(
        "| commit | cores | memory | lease | took | processes | short | furthest over its budget |\n| --- | --- | --- | --- | --- | --- | --- | --- |\n| {} | {} | {} kB | {} ms | {} s | {} | {} | {} |\n",
        text_or_none(&figures["commit"]),
        machine["cores"],
        machine["memory_kb"],
        figures["lease_ms"],
        figures["took_s"],
        figures["processes"],
        figures["short"],
        text_or_none(&figures["missing_first"]),
    )
}

fn text_or_none(value: &Value) -> &str {
    value.as_str().unwrap_or("none")
}

fn budget_table(projections: &[Projection]) -> String {
    let mut lines = String::from(
        "| role | figure | at the operators' size | budget | times the budget | slopes, with their spread |\n| --- | --- | --- | --- | --- | --- |\n",
    );
    for one in projections {
        let slopes: Vec<String> = one
            .columns
            .iter()
            .zip(one.fit.slopes.iter().zip(&one.fit.errors))
            .map(|(column, (slope, error))| {
                format!("{} ± {} a {column}", three_digits(*slope), three_digits(*error))
            })
            .collect();
        let budget = one.budget.map_or("-".to_string(), |budget| format!("{budget:.0}"));
        let ratio = one.ratio().map_or("-".to_string(), three_digits);
        let square = if one.square { ", **grows with the square**" } else { "" };
        lines += &format!(
            "| {} | {} ({}) | {}{square} | {budget} | {ratio} | {} |\n",
            one.role,
            one.name,
            one.unit,
            three_digits(one.value),
            slopes.join("; ")
        );
    }
    lines
}

fn prediction_table(predictions: &[Prediction]) -> String {
    let mut lines = String::from(
        "| figure | gateways | hosts | changes a minute | predicted | measured | within a quarter |\n| --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for one in predictions {
        lines += &format!(
            "| {} | {} | {} | {} | {} | {} | {} |\n",
            one.figure,
            one.size.gateways,
            one.size.hosts,
            one.size.changes * 60.0,
            three_digits(one.predicted),
            three_digits(one.measured),
            if one.holds { "yes, or under its floor" } else { "**no**" },
        );
    }
    lines
}

fn comparison_table(figures: &Value) -> String {
    let mut lines = String::from("| a gateway without load, in | hollow | real |\n| --- | --- | --- |\n");
    for one in figures["compared"].as_array().into_iter().flatten() {
        lines += &format!("| {} | {} | {} |\n", text_or_none(&one["figure"]), one["hollow"], one["real"]);
    }
    lines
}

fn fault_table(figures: &Value) -> String {
    let faults = &figures["troubles"];
    let mut lines = String::from(
        "| trouble | bytes a gateway and second: mean, worst | processor time: mean, worst (us/s) | until all hold the newest list |\n| --- | --- | --- | --- |\n",
    );
    let names = [
        ("calm", "none"),
        ("restart", "a tenth starts at once"),
        ("zone_gone", "a zone gone and back"),
        ("regions_cut", "regions cut for three leases"),
    ];
    for (key, name) in names {
        let one = &faults[key];
        let seconds = if one["seconds"].is_object() { &one["seconds"] } else { one };
        let list_held = one["list_held_ms"].as_u64().map_or("-".to_string(), |ms| format!("{ms} ms"));
        lines += &format!(
            "| {name} | {}, {} | {}, {} | {list_held} |\n",
            seconds["mean_bytes"], seconds["worst_bytes"], seconds["mean_cpu_us"], seconds["worst_cpu_us"]
        );
    }
    lines += &format!(
        "\nA change of the list is held by all after {} ms, new settings after {} ms; after the cut all owners are known again after {} ms, and of {} duties {} had an owner at most at one look.\n",
        faults["list_held_by_all_ms"],
        faults["settings_held_by_all_ms"],
        faults["regions_cut"]["owners_known_after_ms"],
        faults["regions_cut"]["duties"],
        faults["regions_cut"]["most_owned"],
    );
    lines
}

/// A figure with three significant digits.
fn three_digits(value: f64) -> String {
    match value.abs() {
        0.0 => "0".into(),
        size if size >= 100.0 => format!("{value:.0}"),
        size if size >= 1.0 => format!("{value:.2}"),
        _ => format!("{value:.2e}"),
    }
}
