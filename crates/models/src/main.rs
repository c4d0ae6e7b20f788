//! `petrelgauge-models`: runs the exhaustive models, with an injected fault or without.

use clap::Parser;
use petrelgauge_models::check::Report;
use petrelgauge_models::coverage::{transition_coverage, TransitionCoverage};
use petrelgauge_models::{ModelEntry, Size, MODELS};
use petrelgauge_policy::{inject_mutant, Mutant};
use serde_json::{json, Value};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Explores every order of events in small cases on the gateway's own code
#[derive(Parser)]
#[command(name = "petrelgauge-models", version)]
struct Arguments {
    /// Only this model
    #[arg(long)]
    model: Option<String>,
    /// The large sizes: minutes
    #[arg(long)]
    large: bool,
    /// Inject a bug, which must be found; `all` for each of them in turn
    #[arg(long)]
    mutant: Option<String>,
    /// Replay the run of this file
    #[arg(long)]
    replay: Option<PathBuf>,
    /// Write traces and a summary into this folder
    #[arg(long)]
    report: Option<PathBuf>,
}

fn main() -> ExitCode {
    match run(&Arguments::parse()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(cause) => {
            eprintln!("petrelgauge-models: {cause}");
            ExitCode::from(2)
        }
    }
}

/// Runs what the arguments ask for. Returns whether everything passed.
fn run(arguments: &Arguments) -> Result<bool, String> {
    let size = if arguments.large { Size::Large } else { Size::Small };
    if let Some(file) = &arguments.replay {
        return replay(file, size);
    }
    let mut passed = true;
    for mutant in selected_mutants(arguments)? {
        for model in MODELS.iter().filter(|model| is_selected(arguments, mutant, model)) {
            passed &= run_model(arguments, size, mutant, model)?;
        }
    }
    if arguments.mutant.is_none() && arguments.model.is_none() {
        passed &= print_coverage();
    }
    Ok(passed)
}

/// The faults to inject, one run for each; `None` for a run without a fault.
fn selected_mutants(arguments: &Arguments) -> Result<Vec<Option<Mutant>>, String> {
    match arguments.mutant.as_deref() {
        None => Ok(vec![None]),
        Some("all") => Ok(Mutant::ALL.into_iter().map(Some).collect()),
        Some(name) => match find_mutant(name) {
            Some(mutant) => Ok(vec![Some(mutant)]),
            None => Err(format!("there is no bug {name:?}")),
        },
    }
}

fn find_mutant(name: &str) -> Option<Mutant> {
    Mutant::ALL.into_iter().find(|mutant| format!("{mutant:?}") == name)
}

fn is_selected(arguments: &Arguments, mutant: Option<Mutant>, model: &ModelEntry) -> bool {
    match (&arguments.model, mutant) {
        (Some(name), _) => model.name == name,
        (None, Some(mutant)) => model.detects.contains(&mutant),
        (None, None) => true,
    }
}

/// Explores a model, with a fault or without, and prints the result. Returns whether a property is violated
/// exactly if a fault was injected.
fn run_model(
    arguments: &Arguments,
    size: Size,
    mutant: Option<Mutant>,
    model: &ModelEntry,
) -> Result<bool, String> {
    inject_mutant(mutant);
    let report = (model.run)(size, &[]);
    inject_mutant(None);
    print_report(model, mutant, &report);
    if let Some(folder) = &arguments.report {
        write_report(folder, model, mutant, &report).map_err(|cause| cause.to_string())?;
    }
    Ok(report.violated.is_some() == mutant.is_some() && report.is_complete())
}

fn print_report(model: &ModelEntry, mutant: Option<Mutant>, report: &Report) {
    let injected = mutant.map_or(String::new(), |mutant| format!(" with {mutant:?}"));
    let result = match report.violated {
        None => "every property holds".to_string(),
        Some(property) => format!("BROKEN: {property}"),
    };
    println!(
        "{}{injected}: {} states, {} different, {} events deep, {} ms: {result}",
        model.name, report.states, report.unique, report.depth, report.took_ms
    );
    print_trace(report);
}

fn print_trace(report: &Report) {
    for (index, line) in report.trace.iter().enumerate() {
        println!("  {:2}. {line}", index + 1);
    }
}

fn write_report(
    folder: &Path,
    model: &ModelEntry,
    mutant: Option<Mutant>,
    report: &Report,
) -> std::io::Result<()> {
    let mutant = mutant.map(|mutant| format!("{mutant:?}"));
    let name = match &mutant {
        None => format!("{}.json", model.name),
        Some(mutant) => format!("{}-{mutant}.json", model.name),
    };
    let value = json!({ "model": model.name, "bug": mutant, "report": report.json() });
    std::fs::create_dir_all(folder)?;
    std::fs::write(folder.join(name), format!("{value:#}\n"))
}

/// Prints which transitions of an attempt's state machine were taken. Returns whether all were.
fn print_coverage() -> bool {
    let TransitionCoverage { all, missing } = transition_coverage();
    println!("transitions of an attempt: {} of {} taken", all.len() - missing.len(), all.len());
    for transition in &all {
        let state = if missing.contains(transition) { "MISSING" } else { "taken" };
        println!("  {state} {transition}");
    }
    missing.is_empty()
}

/// Replays the run of a report's file with its injected fault. Returns whether it violates the same property.
fn replay(file: &Path, size: Size) -> Result<bool, String> {
    let text =
        std::fs::read_to_string(file).map_err(|cause| format!("cannot read {}: {cause}", file.display()))?;
    let value: Value = serde_json::from_str(&text).map_err(|cause| cause.to_string())?;
    let model = MODELS.iter().find(|model| Some(model.name) == value["model"].as_str());
    let model = model.ok_or("the file names no model that there is")?;
    let steps = value["report"]["path"].as_array().into_iter().flatten();
    let path: Vec<String> = steps.filter_map(|step| step.as_str().map(str::to_string)).collect();
    inject_mutant(value["bug"].as_str().and_then(find_mutant));
    let report = (model.run)(size, &path);
    inject_mutant(None);
    print_trace(&report);
    println!("{}", report.violated.unwrap_or("nothing is broken"));
    Ok(report.violated == value["report"]["broken"].as_str())
}
