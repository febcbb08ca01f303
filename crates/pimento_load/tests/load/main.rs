//! Runs the load tool against stand-in targets and faulty entry VMs.

mod promises;
mod resend;
mod schedule;
mod support;
