//! `pimento`, the operators' command line of pimentolanding.
//!
//! See `docs/ops/notes.md` and `docs/ops/claims.md`; the exit codes are those
//! of [`exit::Exit`].

mod args;
mod cap;
mod claim;
mod client;
mod control;
mod exit;
mod explain;
mod lookup;
mod note;
mod output;
mod status;
mod wait;

use args::{Args, Command};
use clap::{CommandFactory, Parser};
use client::Client;
use exit::{Exit, Failure};
use output::Output;
use std::process::ExitCode;

#[actix_rt::main]
async fn main() -> ExitCode {
    let args = Args::parse();
    match run(args).await {
        Ok(code) => code,
        Err(failure) => {
            eprintln!("pimento: {failure}");
            failure.exit.into()
        }
    }
}

/// Runs the load tool, which returns its own exit codes.
async fn run_load(args: pimento_load::Args, out: Output) -> Result<ExitCode, Failure> {
    let json = out.is_json();
    let result = pimento_load::run(pimento_load::Args { json, ..args }).await;
    result.map_err(|e| Failure::failed(format!("{e:#}")))
}

async fn run(args: Args) -> Result<ExitCode, Failure> {
    let out = Output::new(args.output);
    let connect = || Client::new(&args.server, args.token.as_deref(), args.timeout);
    match args.command {
        Command::Note(command) => note::run(command, connect, out).await?,
        Command::Status => status::show(&connect()?, out).await?,
        Command::Target(command) => status::drain_target(&connect()?, command, out).await?,
        Command::Vm(command) => status::drain_vm(&connect()?, command, out).await?,
        Command::Cap(command) => cap::run(&connect()?, command, out).await?,
        Command::Claim(command) => claim::run(&connect()?, command, out).await?,
        Command::Lookup(query) => lookup::run(query, args.timeout, out).await?,
        Command::Control(command) => control::run(&connect()?, command, out).await?,
        Command::Backup(target) => control::backup(&connect()?, target, out).await?,
        Command::Explain(explain) => explain::run(&explain, out)?,
        Command::Load(load) => return run_load(*load, out).await,
        Command::Completions { shell } => {
            let mut command = Args::command();
            clap_complete::generate(shell, &mut command, "pimento", &mut std::io::stdout());
        }
    }
    Ok(Exit::Ok.into())
}
