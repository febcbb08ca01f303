//! The command line.

use clap::{Parser, Subcommand, ValueEnum};
use clap_complete::Shell;
use pimento_core::{ServiceId, TargetId, TenantId, VmId};
use std::{
    net::{IpAddr, SocketAddr},
    path::PathBuf,
    time::Duration,
};

/// Operates pimentolanding.
///
/// Exit codes: 0 done; 1 failed; 2 wrong usage or input; 3 refused, such as a
/// conflict; 4 accepted perhaps, but not known to be in force; 5 no server
/// could be reached.
#[derive(Debug, Parser)]
#[command(name = "pimento", version)]
pub struct Args {
    /// Operators' listeners, such as `10.0.0.1:7300`; separated by commas and
    /// tried in turn.
    #[arg(
        long,
        global = true,
        env = "PIMENTO_SERVER",
        value_delimiter = ',',
        default_value = "127.0.0.1:7300"
    )]
    pub server: Vec<String>,
    /// The file that holds the operators' bearer token.
    #[arg(
        long = "token-file",
        global = true,
        env = "PIMENTO_TOKEN_FILE",
        value_name = "FILE"
    )]
    pub token: Option<PathBuf>,
    /// The form of what is printed.
    #[arg(long, global = true, value_enum, default_value = "text")]
    pub output: Form,
    /// The longest wait for an answer, in seconds.
    #[arg(long, global = true, default_value = "10", value_parser = seconds)]
    pub timeout: Duration,
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// The form of what is printed.
#[derive(Clone, Copy, Debug, ValueEnum)]
pub enum Form {
    /// Lines for people.
    Text,
    /// One JSON document for programs.
    Json,
}

/// What to explain, and from which logs.
#[derive(Debug, clap::Args)]
pub struct Explain {
    /// The id of the request.
    pub id: String,
    /// The logs of the processes, one JSON object a line; other text before
    /// it on the line is skipped.
    #[arg(required = true)]
    pub logs: Vec<PathBuf>,
}

/// What can be asked for.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Release notes.
    #[command(subcommand)]
    Note(Note),
    /// Tells a request's way from the logs of the processes.
    Explain(Explain),
    /// Shows VMs, targets, leases, versions and the control group.
    Status,
    /// Targets.
    #[command(subcommand)]
    Target(Target),
    /// VMs of the system.
    #[command(subcommand)]
    Vm(Vm),
    /// Limits of single resources.
    #[command(subcommand)]
    Cap(Cap),
    /// Claims of requests that must not run twice.
    #[command(subcommand)]
    Claim(Claim),
    /// Asks, as a caller does, which entry VMs to use.
    Lookup(Lookup),
    /// The control group.
    #[command(subcommand)]
    Control(Control),
    /// Writes a copy of the replicated state to a file.
    Backup(Backup),
    /// Sends requests as callers do, and checks the answers.
    Load(Box<pimento_load::Args>),
    /// Prints a script that completes this command line in a shell.
    Completions {
        /// The shell.
        shell: Shell,
    },
}

/// Commands for release notes.
#[derive(Debug, Subcommand)]
pub enum Note {
    /// Puts a note in force. Applying the same note again is safe.
    Apply {
        /// The note as YAML; `-` reads it from standard input.
        file: PathBuf,
        /// Waits until the note is in force on every VM that answers.
        #[arg(long)]
        wait: bool,
        /// The longest wait, in seconds.
        #[arg(long, default_value = "60", value_parser = seconds)]
        within: Duration,
    },
    /// Shows an accepted note, the newest one if none is named.
    Show {
        /// The number of the note.
        number: Option<u64>,
    },
    /// Lists the accepted notes.
    History,
    /// Checks the form of a note without sending it.
    Check {
        /// The note as YAML; `-` reads it from standard input.
        file: PathBuf,
    },
}

/// Commands for targets.
#[derive(Debug, Subcommand)]
pub enum Target {
    /// Sends a target no more work.
    Drain {
        /// The name of the target.
        name: TargetId,
    },
}

/// Commands for VMs.
#[derive(Debug, Subcommand)]
pub enum Vm {
    /// Begins a planned stop of a VM.
    Drain {
        /// The name of the VM.
        name: VmId,
    },
}

/// Commands for limits.
#[derive(Debug, Subcommand)]
pub enum Cap {
    /// Sets the places of a resource. Lowering them below those taken only
    /// stops new ones.
    Set {
        /// The service.
        service: ServiceId,
        /// The resource, such as a shift.
        resource: String,
        /// The places.
        limit: u32,
    },
    /// Forgets a resource with its limit and all places taken. Only for a
    /// resource whose targets take no more requests for it.
    Forget {
        /// The service.
        service: ServiceId,
        /// The resource, such as a shift.
        resource: String,
    },
}

/// Commands for claims.
#[derive(Debug, Subcommand)]
pub enum Claim {
    /// Shows how far the request with a key has come.
    Show {
        /// The tenant.
        tenant: TenantId,
        /// The service.
        service: ServiceId,
        /// The idempotency key.
        key: uuid::Uuid,
    },
}

/// A look-up as a caller makes it.
#[derive(Debug, clap::Args)]
pub struct Lookup {
    /// The service.
    pub service: ServiceId,
    /// An address of the callers' block, instead of this machine's.
    #[arg(long)]
    pub block: Option<IpAddr>,
    /// The callers' listener of an entry VM.
    #[arg(
        long,
        env = "PIMENTO_CALLERS",
        default_value = "127.0.0.1:7100",
        value_name = "ADDRESS"
    )]
    pub callers: String,
}

/// Commands for the control group.
#[derive(Debug, Subcommand)]
pub enum Control {
    /// Shows the members of the group and how far each has come.
    Status,
    /// Adds a VM to the group.
    Add {
        /// The name of the VM.
        vm: VmId,
        /// Its link address.
        address: SocketAddr,
    },
    /// Removes a VM from the group.
    Remove {
        /// The name of the VM.
        vm: VmId,
    },
}

/// Where a copy goes.
#[derive(Debug, clap::Args)]
pub struct Backup {
    /// The file; it must not exist.
    pub file: PathBuf,
}

fn seconds(text: &str) -> Result<Duration, String> {
    let seconds: f64 = text.parse().map_err(|e| format!("{e}"))?;
    if seconds <= 0.0 {
        return Err("must be more than zero".into());
    }
    Duration::try_from_secs_f64(seconds).map_err(|e| e.to_string())
}
