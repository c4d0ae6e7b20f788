//! `petrelgauge-lab`: runs experiments, sets up a stage for a person, and shows the gateway at work.

use clap::{Parser, Subcommand};
use petrelgauge_lab::{demo, scale, Options, EXPERIMENTS};
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
    /// Runs an experiment; ends with code 0 only if every promise held
    Run {
        /// Name of the experiment
        name: String,
        /// Seed of all chance
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
    /// Starts hosts, register and gateways, and stays until interrupted
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
        /// Say where they listen as one line of JSON
        #[arg(long)]
        json: bool,
    },
    /// Some load on a cluster, and a table of what was served
    Demo,
    /// Checks the tables of docs/CAPACITY.md against the committed figures
    Capacity {
        /// Write them anew
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
        /// What it is told
        plan: PathBuf,
    },
    /// Plays the exhaustive models: `petrelgauge-models`, which is built apart
    Models {
        /// Handed on
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

fn run(command: Command) -> std::io::Result<bool> {
    match command {
        Command::List => {
            EXPERIMENTS.iter().for_each(|one| println!("{:16} {}", one.name, one.summary));
            Ok(true)
        }
        Command::Run { name, seed, short, json, report, injected_fault, baseline } => {
            let known = EXPERIMENTS.iter().find(|one| one.name == name);
            let one =
                known.ok_or_else(|| std::io::Error::other(format!("there is no experiment {name:?}")))?;
            if let Some(fault) =
                injected_fault.as_deref().filter(|fault| !one.injected_faults.contains(fault))
            {
                let known = one.injected_faults.join(", ");
                return Err(std::io::Error::other(format!("{name} has no fault {fault:?}, but {known}")));
            }
            let verdict = (one.run)(&Options { seed, short, injected_fault, baseline })?;
            println!("{}", verdict.json());
            json.map_or(Ok(()), |path| std::fs::write(path, verdict.json() + "\n"))?;
            report.map_or(Ok(()), |folder| verdict.write(&folder))?;
            Ok(verdict.held())
        }
        Command::Up { gateways, members, operator, json } => demo::up(gateways, members, operator, json),
        Command::Demo => demo::run(),
        Command::Capacity { write, page, figures } => {
            scale::capacity::page(&page, &figures, write).map(|()| true).map_err(std::io::Error::other)
        }
        Command::Hollow { plan } => scale::hollow::run(&plan).map(|()| true),
        Command::Models { arguments } => {
            let program = std::env::current_exe()?.with_file_name("petrelgauge-models");
            Ok(std::process::Command::new(program).args(arguments).status()?.success())
        }
    }
}
