//! Experiment `sessions-large`: the heart alone, in simulated time, at a size that no one machine holds.
use crate::report::Verdict;
use crate::Options;

/// Faults that must make the experiment fail.
pub const PLANTS: [&str; 1] = ["forgets"];

/// Runs it.
pub fn run(options: &Options) -> std::io::Result<Verdict> {
    Ok(Verdict::new("sessions-large", options.seed))
}
