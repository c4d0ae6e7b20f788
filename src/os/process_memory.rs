//! The private memory of this process, as the kernel counts it.

/// Where the kernel reports a process's memory.
const STATUS_FILE: &str = "/proc/self/status";
/// The line with the private memory: anonymous pages, without those of files such as the program itself.
const PRIVATE_MEMORY: &str = "RssAnon:";
const BYTES_PER_KIB: usize = 1024;

/// The private memory of this process (bytes). None if the kernel does not report it.
pub fn private_bytes() -> Option<usize> {
    parse_private_bytes(&std::fs::read_to_string(STATUS_FILE).ok()?)
}

/// The private memory in a status file (bytes). None if the file does not state it.
pub fn parse_private_bytes(status: &str) -> Option<usize> {
    let line = status.lines().find_map(|line| line.strip_prefix(PRIVATE_MEMORY))?;
    let kib: usize = line.trim().strip_suffix("kB")?.trim().parse().ok()?;
    kib.checked_mul(BYTES_PER_KIB)
}
