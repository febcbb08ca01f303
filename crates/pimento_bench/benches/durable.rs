//! The durable bench.

fn main() {}
