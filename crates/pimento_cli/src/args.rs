//! Command-line arguments.

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
/// Exit codes: 0 success; 1 failure; 2 invalid usage or input; 3 refused by the
/// server, such as a conflict; 4 outcome unknown: the change may have been made,
/// or is not in force everywhere yet; 5 no server could be reached.
#[derive(Debug, Parser)]
#[command(name = "pimento", version)]
pub struct Args {
    /// Operator listeners, such as `10.0.0.1:7300`, separated by commas. They
    /// are tried in order.
    #[arg(
        long,
        global = true,
        env = "PIMENTO_SERVER",
        value_delimiter = ',',
        default_value = "127.0.0.1:7300"
    )]
    pub server: Vec<String>,
    /// File with the operators' bearer token.
    #[arg(
        long = "token-file",
        global = true,
        env = "PIMENTO_TOKEN_FILE",
        value_name = "FILE"
    )]
    pub token: Option<PathBuf>,
    /// Output format of results.
    #[arg(long, global = true, value_enum, default_value = "text")]
    pub output: OutputFormat,
    /// Timeout for each response, in seconds.
    #[arg(long, global = true, default_value = "10", value_parser = parse_seconds)]
    pub timeout: Duration,
    /// The operation to perform.
    #[command(subcommand)]
    pub command: Command,
}

/// Output format of results.
#[derive(Clone, Copy, Debug, ValueEnum)]
pub enum OutputFormat {
    /// Indented lines and tables.
    Text,
    /// One JSON document.
    Json,
}

/// The arguments of `explain`.
#[derive(Debug, clap::Args)]
pub struct Explain {
    /// Id of the request.
    pub id: String,
    /// Log files of the processes, with one JSON object per line; text before
    /// the object is ignored.
    #[arg(required = true)]
    pub logs: Vec<PathBuf>,
}

/// The subcommands.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Applies, shows and checks release notes.
    #[command(subcommand)]
    Note(Note),
    /// Traces a request through the logs of the processes.
    Explain(Explain),
    /// Shows VMs, targets, leases, versions and the control group.
    Status,
    /// Drains targets.
    #[command(subcommand)]
    Target(Target),
    /// Drains VMs of the system.
    #[command(subcommand)]
    Vm(Vm),
    /// Sets and removes limits of single resources.
    #[command(subcommand)]
    Cap(Cap),
    /// Shows claims of requests that must not run twice.
    #[command(subcommand)]
    Claim(Claim),
    /// Looks up the entry VMs of a service, as a caller does.
    Lookup(Lookup),
    /// Shows and changes the members of the control group.
    #[command(subcommand)]
    Control(Control),
    /// Writes a backup of the replicated state to a file.
    Backup(Backup),
    /// Sends requests as callers do, and checks the responses.
    Load(Box<pimento_load::Args>),
    /// Prints a shell completion script.
    Completions {
        /// Shell to print the script for.
        shell: Shell,
    },
}

/// The subcommands of `note`.
#[derive(Debug, Subcommand)]
pub enum Note {
    /// Proposes a note to put in force. Applying the same note again is safe.
    Apply {
        /// YAML file with the note; `-` reads standard input.
        file: PathBuf,
        /// Wait until the note is in force on every VM that is known to be
        /// alive.
        #[arg(long)]
        wait: bool,
        /// Total time limit for retries and waiting, in seconds.
        #[arg(long, default_value = "60", value_parser = parse_seconds)]
        within: Duration,
    },
    /// Shows an accepted note, by default the newest one.
    Show {
        /// Number of the note.
        number: Option<u64>,
    },
    /// Lists the accepted notes.
    History,
    /// Checks the syntax and fields of a note without sending it.
    Check {
        /// YAML file with the note; `-` reads standard input.
        file: PathBuf,
    },
}

/// The subcommands of `target`.
#[derive(Debug, Subcommand)]
pub enum Target {
    /// Stops sending new requests to a target.
    Drain {
        /// Name of the target.
        name: TargetId,
    },
}

/// The subcommands of `vm`.
#[derive(Debug, Subcommand)]
pub enum Vm {
    /// Starts the graceful shutdown of a VM.
    Drain {
        /// Name of the VM.
        name: VmId,
    },
}

/// The subcommands of `cap`.
#[derive(Debug, Subcommand)]
pub enum Cap {
    /// Sets the limit of a resource. A limit below its current use only
    /// refuses new requests.
    Set {
        /// Name of the service.
        service: ServiceId,
        /// Name of the resource, such as a shift.
        resource: String,
        /// Maximum number of requests to accept for the resource.
        limit: u32,
    },
    /// Deletes the limit of a resource and its current use. Only safe once the
    /// targets accept no more requests for the resource.
    Forget {
        /// Name of the service.
        service: ServiceId,
        /// Name of the resource, such as a shift.
        resource: String,
    },
}

/// The subcommands of `claim`.
#[derive(Debug, Subcommand)]
pub enum Claim {
    /// Shows the state of the request with an idempotency key.
    Show {
        /// Tenant of the request.
        tenant: TenantId,
        /// Name of the service.
        service: ServiceId,
        /// Idempotency key of the request.
        key: uuid::Uuid,
    },
}

/// The arguments of `lookup`.
#[derive(Debug, clap::Args)]
pub struct Lookup {
    /// Name of the service.
    pub service: ServiceId,
    /// Address that names the callers' block; by default this machine's.
    #[arg(long)]
    pub block: Option<IpAddr>,
    /// Caller listener of an entry VM.
    #[arg(
        long,
        env = "PIMENTO_CALLERS",
        default_value = "127.0.0.1:7100",
        value_name = "ADDRESS"
    )]
    pub callers: String,
}

/// The subcommands of `control`.
#[derive(Debug, Subcommand)]
pub enum Control {
    /// Shows the members of the group and their replication progress.
    Status,
    /// Adds a VM to the group.
    Add {
        /// Name of the VM.
        vm: VmId,
        /// Link address of the VM.
        address: SocketAddr,
    },
    /// Removes a VM from the group.
    Remove {
        /// Name of the VM.
        vm: VmId,
    },
}

/// The arguments of `backup`.
#[derive(Debug, clap::Args)]
pub struct Backup {
    /// File to create; it must not exist.
    pub file: PathBuf,
}

fn parse_seconds(text: &str) -> Result<Duration, String> {
    let seconds: f64 = text.parse().map_err(|e| format!("{e}"))?;
    if seconds <= 0.0 {
        return Err("must be greater than 0".into());
    }
    Duration::try_from_secs_f64(seconds).map_err(|e| e.to_string())
}
