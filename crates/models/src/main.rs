//! `petrelgauge-models`: runs the exhaustive models, with an injected bug or without.

use clap::Parser;
use petrelgauge_models::{model_for, ModelEntry, Size, MODELS};
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

fn run(arguments: &Arguments) -> Result<bool, String> {
    let size = if arguments.large { Size::Large } else { Size::Small };
    if let Some(file) = &arguments.replay {
        return replay(file, size);
    }
    let bugs: Vec<Option<Mutant>> = match arguments.mutant.as_deref() {
        None => vec![None],
        Some("all") => Mutant::ALL.into_iter().map(Some).collect(),
        Some(name) => {
            let known = Mutant::ALL.into_iter().find(|bug| format!("{bug:?}") == name);
            vec![Some(known.ok_or(format!("there is no bug {name:?}"))?)]
        }
    };
    let mut passed = true;
    for bug in bugs {
        for model in MODELS.iter().filter(|model| is_selected(arguments, bug, model)) {
            inject_mutant(bug);
            let report = (model.run)(size, &[]);
            inject_mutant(None);
            passed &= report.violated.is_some() == bug.is_some() && report.complete();
            let injected = bug.map_or(String::new(), |bug| format!(" with {bug:?}"));
            println!(
                "{}{injected}: {} states, {} different, {} events deep, {} ms: {}",
                model.name,
                report.states,
                report.unique,
                report.depth,
                report.took_ms,
                report.violated.map_or("every property holds".to_string(), |what| format!("BROKEN: {what}")),
            );
            report.trace.iter().enumerate().for_each(|(number, line)| println!("  {:2}. {line}", number + 1));
            if let Some(folder) = &arguments.report {
                let name = bug.map_or(model.name.to_string(), |bug| format!("{}-{bug:?}", model.name));
                let value = json!({ "model": model.name, "bug": bug.map(|bug| format!("{bug:?}")), "report": report.json() });
                std::fs::create_dir_all(folder).map_err(|cause| cause.to_string())?;
                std::fs::write(folder.join(name + ".json"), format!("{value:#}\n"))
                    .map_err(|cause| cause.to_string())?;
            }
        }
    }
    if arguments.mutant.is_none() && arguments.model.is_none() {
        let (all, missing) = petrelgauge_models::coverage::transitions();
        println!("transitions of an attempt: {} of {} taken", all.len() - missing.len(), all.len());
        all.iter()
            .for_each(|one| println!("  {} {one}", if missing.contains(one) { "MISSING" } else { "taken" }));
        passed &= missing.is_empty();
    }
    Ok(passed)
}

fn is_selected(arguments: &Arguments, bug: Option<Mutant>, model: &ModelEntry) -> bool {
    match (&arguments.model, bug) {
        (Some(name), _) => model.name == name,
        (None, Some(bug)) => model.name == model_for(bug),
        (None, None) => true,
    }
}

/// Replays the run of a report's file with its bug. Returns whether it violates the same property.
fn replay(file: &Path, size: Size) -> Result<bool, String> {
    let text =
        std::fs::read_to_string(file).map_err(|cause| format!("cannot read {}: {cause}", file.display()))?;
    let value: Value = serde_json::from_str(&text).map_err(|cause| cause.to_string())?;
    let texts = |value: &Value| -> Vec<String> {
        value.as_array().into_iter().flatten().filter_map(|one| one.as_str().map(str::to_string)).collect()
    };
    let model = MODELS.iter().find(|model| Some(model.name) == value["model"].as_str());
    let model = model.ok_or("the file names no model that there is")?;
    inject_mutant(
        Mutant::ALL.into_iter().find(|bug| Some(format!("{bug:?}").as_str()) == value["bug"].as_str()),
    );
    let report = (model.run)(size, &texts(&value["report"]["path"]));
    inject_mutant(None);
    report.trace.iter().enumerate().for_each(|(number, line)| println!("  {:2}. {line}", number + 1));
    println!("{}", report.violated.unwrap_or("nothing is broken"));
    Ok(report.violated == value["report"]["broken"].as_str())
}
