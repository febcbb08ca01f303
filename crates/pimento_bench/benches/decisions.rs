//! The decisions bench.

fn main() {}
