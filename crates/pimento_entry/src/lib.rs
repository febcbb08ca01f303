//! The entry role: listeners for callers, targets and operators, and the proxy.
