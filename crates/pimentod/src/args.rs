//! Command-line arguments of the daemon.

use clap::{Parser, Subcommand};
use std::path::PathBuf;

/// Runs a VM of the traffic steering system.
#[derive(Debug, Parser)]
#[command(name = "pimentod", version)]
pub struct Args {
    /// The operation to perform.
    #[command(subcommand)]
    pub command: Command,
}

/// The subcommands.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Runs the roles that the settings assign to this VM.
    Run {
        /// Path of the settings file.
        #[arg(long)]
        settings: PathBuf,
    },
    /// Checks a settings file; exits with 2 if it is invalid.
    Check {
        /// Path of the settings file.
        #[arg(long)]
        settings: PathBuf,
    },
    /// Restores a backup into the empty data folder of a control VM, which then
    /// starts a new group; see docs/ops/control.md for what a restore loses.
    Restore {
        /// Path of the settings file.
        #[arg(long)]
        settings: PathBuf,
        /// Backup file, as written by `pimento backup`.
        #[arg(long)]
        backup: PathBuf,
    },
    /// Runs all roles on loopback with two stand-in targets, for development.
    Dev {
        /// Data folder; by default a temporary one, whose state is lost at exit.
        #[arg(long)]
        data: Option<PathBuf>,
    },
}
