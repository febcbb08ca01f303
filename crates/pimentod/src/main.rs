//! The daemon of pimentolanding.
//!
//! `pimentod run` starts the roles that the settings give to the VM; the parts
//! below read as the list of what a process is made of.

mod args;
mod dev;
mod run;

use args::{Args, Command};
use clap::Parser;
use std::process::ExitCode;

/// Bad settings, in the manner of a usage error.
const BAD_INPUT: u8 = 2;

fn main() -> ExitCode {
    let args = Args::parse();
    let result = match args.command {
        Command::Run { settings } => run::run(&settings),
        Command::Check { settings } => run::check(&settings),
        Command::Restore { settings, backup } => run::restore(&settings, &backup),
        Command::Dev { data } => dev::run(data),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("pimentod: {e:#}");
            let bad = e.is::<pimento_settings::SettingsError>();
            if bad {
                ExitCode::from(BAD_INPUT)
            } else {
                ExitCode::FAILURE
            }
        }
    }
}
