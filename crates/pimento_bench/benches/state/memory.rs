//! The memory of this process.

use anyhow::Context as _;

/// Resident memory, in bytes.
pub fn resident() -> anyhow::Result<usize> {
    let text = std::fs::read_to_string("/proc/self/status")?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.trim().strip_suffix(" kB"));
    let kib: usize = kib.context("no resident size")?.trim().parse()?;
    Ok(kib * 1_024)
}

/// A number of bytes as megabytes (10^6).
pub fn mb(bytes: usize) -> f64 {
    bytes as f64 / 1e6
}
