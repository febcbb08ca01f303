//! Memory use of this process.

use anyhow::Context as _;

/// Resident set size in bytes, from `/proc/self/status`.
pub fn resident_bytes() -> anyhow::Result<usize> {
    let text = std::fs::read_to_string("/proc/self/status")?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.trim().strip_suffix(" kB"));
    let kib: usize = kib
        .context("/proc/self/status has no VmRSS line")?
        .trim()
        .parse()?;
    Ok(kib * 1_024)
}

/// Converts bytes to megabytes (10^6 bytes).
pub fn megabytes(bytes: usize) -> f64 {
    bytes as f64 / 1e6
}
