//! `petrelgauge-lab`: runs experiments, starts a test cluster for manual use, and demonstrates the gateway.

use clap::{Parser, Subcommand};
use petrelgauge_lab::demo::{AddressFormat, UpOptions};
use petrelgauge_lab::error::LabError;
use petrelgauge_lab::scale::capacity::PageAction;
use petrelgauge_lab::{demo, scale, Experiment, Options, EXPERIMENTS};
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Parser)]
#[command(name = "petrelgauge-lab", version, about = "The laboratory of petrelgauge")]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Lists the experiments
    List,
    /// Runs an experiment; ends with code 0 only if every check passed
    Run {
        /// Name of the experiment
        name: String,
        /// Seed of all random generators
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Stay under a minute
        #[arg(long)]
        short: bool,
        /// Also write the line of JSON to this file
        #[arg(long)]
        json: Option<PathBuf>,
        /// Write a page with plots into this folder
        #[arg(long)]
        report: Option<PathBuf>,
        /// Inject a fault that must make the experiment fail
        #[arg(long = "plant", value_name = "FAULT")]
        injected_fault: Option<String>,
        /// An earlier build of the gateway, played in the same run
        #[arg(long)]
        baseline: Option<PathBuf>,
    },
    /// Starts hosts, list service and gateways, and stays until interrupted
    Up {
        /// How many gateways
        #[arg(long, default_value_t = 2)]
        gateways: usize,
        /// Members of each group
        #[arg(long, default_value_t = 4)]
        members: usize,
        /// The operator's file
        #[arg(long)]
        operator: Option<PathBuf>,
        /// Print where they listen as one line of JSON
        #[arg(long)]
        json: bool,
    },
    /// Some load on a cluster, and a table of what was served
    Demo,
    /// Checks the tables of docs/CAPACITY.md against the committed figures
    Capacity {
        /// Rewrite the tables
        #[arg(long)]
        write: bool,
        /// The page
        #[arg(long, default_value = "docs/CAPACITY.md")]
        page: PathBuf,
        /// Where the figures are
        #[arg(long, default_value = "docs/capacity")]
        figures: PathBuf,
    },
    /// A process of hollow gateways; the scale run starts them
    #[command(hide = true)]
    Hollow {
        /// File with the plan of the process
        plan: PathBuf,
    },
    /// Runs the exhaustive models: `petrelgauge-models`, which is built apart
    Models {
        /// Passed on to `petrelgauge-models`
        #[arg(trailing_var_arg = true, allow_hyphen_values = true)]
        arguments: Vec<String>,
    },
}

fn main() -> ExitCode {
    match run(Arguments::parse().command) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(cause) => {
            eprintln!("petrelgauge-lab: {cause}");
            ExitCode::from(2)
        }
    }
}

fn run(command: Command) -> Result<bool, LabError> {
    match command {
        Command::List => {
            for experiment in &EXPERIMENTS {
                println!("{:16} {}", experiment.name, experiment.summary);
            }
            Ok(true)
        }
        Command::Run { name, seed, short, json, report, injected_fault, baseline } => {
            let experiment = find_experiment(&name, injected_fault.as_deref())?;
            let verdict = (experiment.run)(&Options { seed, short, injected_fault, baseline })?;
            println!("{}", verdict.json());
            if let Some(path) = json {
                std::fs::write(path, verdict.json() + "\n")?;
            }
            if let Some(folder) = report {
                verdict.write_page(&folder)?;
            }
            Ok(verdict.passed())
        }
        Command::Up { gateways, members, operator, json } => {
            let format = if json { AddressFormat::Json } else { AddressFormat::Text };
            demo::up(UpOptions { gateways, members, operator_file: operator, format })?;
            Ok(true)
        }
        Command::Demo => demo::run(),
        Command::Capacity { write, page, figures } => {
            let action = if write { PageAction::Rewrite } else { PageAction::Check };
            scale::capacity::page(&page, &figures, action)?;
            Ok(true)
        }
        Command::Hollow { plan } => scale::hollow::run(&plan).map(|()| true),
        Command::Models { arguments } => {
            let program = std::env::current_exe()?.with_file_name("petrelgauge-models");
            Ok(std::process::Command::new(program).args(arguments).status()?.success())
        }
    }
}

/// Finds an experiment by name, and checks that it has the fault to inject.
fn find_experiment(name: &str, fault: Option<&str>) -> Result<&'static Experiment, LabError> {
    let experiment = EXPERIMENTS.iter().find(|experiment| experiment.name == name);
    let experiment = experiment.ok_or_else(|| LabError::UnknownExperiment(name.into()))?;
    if let Some(fault) = fault.filter(|fault| !experiment.injected_faults.contains(fault)) {
        let known = experiment.injected_faults.join(", ");
        return Err(LabError::UnknownFault { experiment: name.into(), fault: fault.into(), known });
    }
    Ok(experiment)
}
