use super::CostError;
use std::fs::read_to_string;

const TICKS_PER_SECOND: f64 = 100.0;
const USER_TICKS_FIELD: usize = 11;
const SYSTEM_TICKS_FIELD: usize = 12;

/// Returns the CPU time of a process in seconds.
pub(super) fn cpu_seconds(pid: u32) -> Result<f64, CostError> {
    let unreadable = || CostError::ProcessUsage(pid);
    let stat = read_to_string(format!("/proc/{pid}/stat")).map_err(|_| unreadable())?;
    // The program name may contain spaces, so fields are counted from its closing bracket.
    let (_, fields) = stat.rsplit_once(')').ok_or_else(unreadable)?;
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let ticks = |index: usize| fields.get(index).and_then(|text| text.parse::<f64>().ok());
    let user = ticks(USER_TICKS_FIELD).ok_or_else(unreadable)?;
    let system = ticks(SYSTEM_TICKS_FIELD).ok_or_else(unreadable)?;
    Ok((user + system) / TICKS_PER_SECOND)
}

/// Returns the resident memory of a process in MiB.
pub(super) fn memory_mib(pid: u32) -> Result<f64, CostError> {
    const KIB_PER_MIB: f64 = 1024.0;
    let unreadable = || CostError::ProcessUsage(pid);
    let status = read_to_string(format!("/proc/{pid}/status")).map_err(|_| unreadable())?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|rest| rest.split_whitespace().next()?.parse::<f64>().ok());
    kib.map(|kib| kib / KIB_PER_MIB).ok_or_else(unreadable)
}
