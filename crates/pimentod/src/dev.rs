//! The development mode: one process with all roles on loopback.

use crate::run::Process;
use pimento_core::{DomainId, RegionId, ServiceId, TargetId, VmId};
use pimento_entry::Listeners;
use pimento_rules::Note;
use pimento_settings::{ControlPeer, Limits, Listen, Role, Secrets, Settings, Targets};
use pimento_signals::Signals;
use pimento_standin::{Standin, StandinConfig};
use std::{
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
};

/// The operators' bearer token in development mode.
const OPERATOR_TOKEN: &str = "dev-operator-token";

/// The first release note: one service whose requests may run more than once
/// and one whose requests must run at most once.
const FIRST_NOTE: &str = "
number: 1
added:
  regions:
  - name: dev-region
  domains:
  - name: dev-domain
    region: dev-region
  services:
  - name: shifts
    repeatable: true
    class: critical
  - name: sign-ups
    repeatable: false
    cap:
      segment: 0
      limit: 3
";

/// Runs all roles until the process is interrupted or drained.
pub fn run(data: Option<PathBuf>) -> anyhow::Result<()> {
    actix_rt::System::new().block_on(async {
        let signals = Signals::install()?;
        let temp_folder = tempfile::tempdir()?;
        let data = data.unwrap_or_else(|| temp_folder.path().join("data"));
        fs::create_dir_all(&data)?;
        let mut settings = dev_settings(&data)?;
        let listeners = Listeners::bind(&settings.listen)?;
        set_bound_addresses(&mut settings, &listeners)?;
        let process = Process::start(&settings, listeners)?;
        process.apply(&Note::parse(FIRST_NOTE)?).await?;
        let standins = start_standins(&settings)?;
        print_usage(&settings);
        process.wait(signals, None).await;
        process.stop().await;
        drop(standins);
        Ok(())
    })
}

fn dev_settings(data: &Path) -> anyhow::Result<Settings> {
    let any_port: SocketAddr = "127.0.0.1:0".parse()?;
    let secrets = Secrets {
        operators: data.join("operators"),
        links: data.join("links"),
    };
    fs::write(&secrets.operators, OPERATOR_TOKEN)?;
    fs::write(&secrets.links, VmId::new("dev-link-key")?.as_str())?;
    Ok(Settings {
        vm: VmId::new("dev")?,
        region: RegionId::new("dev-region")?,
        domain: DomainId::new("dev-domain")?,
        roles: vec![Role::Entry, Role::Control],
        listen: Listen {
            callers: Some(any_port),
            targets: Some(any_port),
            operators: any_port,
            links: any_port,
            forwards: Some(any_port),
        },
        control: Vec::new(),
        seeds: Vec::new(),
        data: Some(data.to_owned()),
        targets: Targets {
            ranges: vec!["127.0.0.0/8".parse()?],
            port: 1_024,
        },
        secrets,
        limits: Limits::default(),
    })
}

/// Replaces port 0 in the settings by the ports that the operating system
/// assigned.
fn set_bound_addresses(settings: &mut Settings, listeners: &Listeners) -> anyhow::Result<()> {
    let bound_address = |listener: &Option<std::net::TcpListener>| {
        listener
            .as_ref()
            .map(std::net::TcpListener::local_addr)
            .transpose()
    };
    settings.listen = Listen {
        callers: bound_address(&listeners.callers)?,
        targets: bound_address(&listeners.targets)?,
        operators: listeners.operators.local_addr()?,
        links: listeners.links.local_addr()?,
        forwards: bound_address(&listeners.forwards)?,
    };
    settings.control = vec![ControlPeer {
        vm: settings.vm.clone(),
        address: settings.listen.links,
    }];
    Ok(())
}

/// Starts one stand-in target for each service.
fn start_standins(settings: &Settings) -> anyhow::Result<Vec<Standin>> {
    let start_standin = |target: &str, service: &str| {
        let mut config = StandinConfig::new(TargetId::new(target)?, ServiceId::new(service)?);
        config.entries = settings.listen.targets.into_iter().collect();
        anyhow::Ok(Standin::start(config)?)
    };
    Ok(vec![
        start_standin("dev-shifts-1", "shifts")?,
        start_standin("dev-sign-ups-1", "sign-ups")?,
    ])
}

fn print_usage(settings: &Settings) {
    let listen = &settings.listen;
    let callers = listen.callers.unwrap_or(listen.operators);
    let token = settings.secrets.operators.display();
    let rows = [
        ("callers", listen.callers),
        ("targets", listen.targets),
        ("operators", Some(listen.operators)),
        ("forwards", listen.forwards),
        ("links", Some(listen.links)),
    ];
    for (name, address) in rows {
        if let Some(address) = address {
            println!("{name:<10} {address}");
        }
    }
    println!();
    println!("The targets are ready within a few seconds. Then try:");
    println!("  curl 'http://{callers}/s/shifts/today?nonce=hello'");
    println!(
        "  curl -X POST http://{callers}/s/sign-ups/shift-7 -d me -H \"Idempotency-Key: {}\"",
        uuid::Uuid::now_v7()
    );
    println!(
        "  cargo run --bin pimento -- --server http://{} --token-file {token} status",
        listen.operators
    );
}
