//! The scale bench.

fn main() {}
