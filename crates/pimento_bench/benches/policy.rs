//! The policy bench.

fn main() {}
