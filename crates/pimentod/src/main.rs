//! The daemon of pimentolanding.
//!
//! `pimentod run` starts the roles that the settings assign to the VM.

mod args;
mod dev;
mod run;

use args::{Args, Command};
use clap::Parser;
use std::process::ExitCode;

/// Exit code for invalid settings; clap uses the same one for usage errors.
const INVALID_SETTINGS: u8 = 2;

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
            let is_settings_error = e.is::<pimento_settings::SettingsError>();
            if is_settings_error {
                ExitCode::from(INVALID_SETTINGS)
            } else {
                ExitCode::FAILURE
            }
        }
    }
}
