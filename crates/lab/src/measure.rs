//! What the system says of a process: processor time and resident memory.

/// Processor time of a process's main thread so far (nanoseconds). Gateways and hollow processes do their work there.
pub fn cpu_ns(process: u32) -> std::io::Result<u64> {
    let text = std::fs::read_to_string(format!("/proc/{process}/schedstat"))?;
    let first = text.split_ascii_whitespace().next().and_then(|word| word.parse().ok());
    first.ok_or_else(|| std::io::Error::other("schedstat has no figure"))
}

/// Resident memory of a process (kB).
pub fn resident_kb(process: u32) -> std::io::Result<u64> {
    status_kb(&format!("/proc/{process}/status"), "VmRSS:")
}

/// Memory of this machine that can still be had (kB).
pub fn available_kb() -> std::io::Result<u64> {
    status_kb("/proc/meminfo", "MemAvailable:")
}

/// Memory of this machine (kB).
pub fn machine_kb() -> std::io::Result<u64> {
    status_kb("/proc/meminfo", "MemTotal:")
}

fn status_kb(path: &str, name: &str) -> std::io::Result<u64> {
    let text = std::fs::read_to_string(path)?;
    let line = text.lines().find_map(|line| line.strip_prefix(name));
    let figure = line.and_then(|line| line.split_ascii_whitespace().next()?.parse().ok());
    figure.ok_or_else(|| std::io::Error::other(format!("{path} has no {name}")))
}
