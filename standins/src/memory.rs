//! Memory of the processes that tests start.

/// Returns the resident memory of a process in KiB.
///
/// # Panics
///
/// Panics if there is no such process.
pub fn memory_kib(process: u32) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{process}/status"));
    let status = status.expect("the process runs");
    let line = status.lines().find(|l| l.starts_with("VmRSS:"));
    let number = line.and_then(|l| l.split_whitespace().nth(1));
    number
        .and_then(|n| n.parse().ok())
        .expect("the process has memory")
}
