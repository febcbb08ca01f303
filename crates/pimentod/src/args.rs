//! The command line of the daemon.

use clap::{Parser, Subcommand};
use std::path::PathBuf;

/// Steers requests to the places that can answer them well.
#[derive(Debug, Parser)]
#[command(name = "pimentod", version)]
pub struct Args {
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// What the daemon can be asked to do.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Runs the roles that the settings give to this VM.
    Run {
        /// The settings file.
        #[arg(long)]
        settings: PathBuf,
    },
    /// Checks a settings file, and exits with 2 if it can't be used.
    Check {
        /// The settings file.
        #[arg(long)]
        settings: PathBuf,
    },
    /// Writes a backup into the empty data folder of a control VM, which then
    /// founds a new group; see docs/ops/control.md for what a restore loses.
    Restore {
        /// The settings file.
        #[arg(long)]
        settings: PathBuf,
        /// The backup, as `pimento backup` wrote it.
        #[arg(long)]
        backup: PathBuf,
    },
    /// Runs all roles on loopback, with two stand-in targets, to try things out.
    Dev {
        /// The data folder; without it, state is lost at the end.
        #[arg(long)]
        data: Option<PathBuf>,
    },
}
