//! The command line of the laboratory: names and flags that scripts and pages rely on.

use petrelgauge_lab::EXPERIMENTS;
use std::process::{Command, Output};

fn lab(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_petrelgauge-lab")).args(arguments).output().expect("the program runs")
}

#[test]
fn every_experiment_is_listed() {
    let output = lab(&["list"]);
    assert!(output.status.success());
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    let listed: Vec<&str> = text.lines().filter_map(|line| line.split_whitespace().next()).collect();
    let names = ["cost", "ownership", "scale", "scale-single-owner", "sessions", "sessions-large"];
    assert_eq!(listed, names);
}

#[test]
fn every_experiment_has_a_fault_that_the_flag_plant_injects() {
    for experiment in &EXPERIMENTS {
        assert!(!experiment.injected_faults.is_empty(), "{}", experiment.name);
        let output = lab(&["run", experiment.name, "--short", "--seed", "1", "--plant", "nothing"]);
        assert_eq!(output.status.code(), Some(2));
        let text = String::from_utf8_lossy(&output.stderr).into_owned();
        let known = experiment.injected_faults.join(", ");
        assert!(
            text.contains(&format!("{} has no fault \"nothing\", but {known}", experiment.name)),
            "{text}"
        );
    }
}

#[test]
fn an_unknown_experiment_is_an_error() {
    let output = lab(&["run", "nothing"]);
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(text.contains("there is no experiment \"nothing\""), "{text}");
}
