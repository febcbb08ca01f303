//! Criterion benches and the policy and scale benches of pimentolanding.
