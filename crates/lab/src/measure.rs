//! Processor time and memory of processes and of the machine, from `/proc`.

use crate::error::LabError;

/// Processor time of a process's main thread so far (nanoseconds). Gateways and hollow processes are
/// single-threaded.
///
/// # Errors
///
/// Fails if the process has ended.
pub fn cpu_ns(process: u32) -> Result<u64, LabError> {
    let path = format!("/proc/{process}/schedstat");
    let text = std::fs::read_to_string(&path)?;
    let figure = text.split_ascii_whitespace().next().and_then(|field| field.parse().ok());
    figure.ok_or(LabError::FigureMissing { path, name: "processor time".into() })
}

/// Resident memory of a process (kB).
///
/// # Errors
///
/// Fails if the process has ended.
pub fn resident_kb(process: u32) -> Result<u64, LabError> {
    status_kb(&format!("/proc/{process}/status"), "VmRSS:")
}

/// Memory of this machine that is available (kB).
///
/// # Errors
///
/// Fails if `/proc` lacks the figure.
pub fn available_kb() -> Result<u64, LabError> {
    status_kb("/proc/meminfo", "MemAvailable:")
}

/// Memory of this machine (kB).
///
/// # Errors
///
/// Fails if `/proc` lacks the figure.
pub fn machine_kb() -> Result<u64, LabError> {
    status_kb("/proc/meminfo", "MemTotal:")
}

fn status_kb(path: &str, name: &str) -> Result<u64, LabError> {
    let text = std::fs::read_to_string(path)?;
    let line = text.lines().find_map(|line| line.strip_prefix(name));
    let figure = line.and_then(|line| line.split_ascii_whitespace().next()?.parse().ok());
    figure.ok_or_else(|| LabError::FigureMissing { path: path.into(), name: name.into() })
}
