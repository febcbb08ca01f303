//! The load tool against stand-in targets and entry VMs that break promises.

mod promises;
mod resend;
mod schedule;
mod support;
