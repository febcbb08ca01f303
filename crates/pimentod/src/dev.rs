//! The development mode: one process with all roles on loopback.

use crate::run::Process;
use pimento_core::{DomainId, RegionId, ServiceId, TargetId, VmId};
use pimento_entry::Sockets;
use pimento_settings::{Limits, Listen, Peer, Role, Secrets, Settings, Targets};
use pimento_standin::{Standin, StandinConfig};
use std::{
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
};

/// The bearer token of the development mode.
const TOKEN: &str = "dev-operator-token";

/// Runs all roles until interrupted.
pub fn run(data: Option<PathBuf>) -> anyhow::Result<()> {
    let folder = tempfile::tempdir()?;
    let data = data.unwrap_or_else(|| folder.path().join("data"));
    fs::create_dir_all(&data)?;
    let mut settings = settings(&data)?;
    let sockets = Sockets::bind(&settings.listen)?;
    adopt(&mut settings, &sockets)?;
    actix_rt::System::new().block_on(async {
        let process = Process::start(&settings, sockets)?;
        let standins = standins(&settings)?;
        greet(&settings);
        process.wait().await?;
        process.stop().await;
        drop(standins);
        Ok(())
    })
}

fn settings(data: &Path) -> anyhow::Result<Settings> {
    let any: SocketAddr = "127.0.0.1:0".parse()?;
    let secrets = Secrets {
        operators: data.join("operators"),
        links: data.join("links"),
    };
    fs::write(&secrets.operators, TOKEN)?;
    fs::write(&secrets.links, VmId::new("dev-link-key")?.as_str())?;
    Ok(Settings {
        vm: VmId::new("dev")?,
        region: RegionId::new("dev-region")?,
        domain: DomainId::new("dev-domain")?,
        roles: vec![Role::Entry, Role::Control],
        listen: Listen {
            callers: Some(any),
            targets: Some(any),
            operators: any,
            links: any,
            forwards: Some(any),
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

/// Takes over the ports that the system chose.
fn adopt(settings: &mut Settings, sockets: &Sockets) -> anyhow::Result<()> {
    let address = |listener: &Option<std::net::TcpListener>| {
        listener
            .as_ref()
            .map(std::net::TcpListener::local_addr)
            .transpose()
    };
    settings.listen = Listen {
        callers: address(&sockets.callers)?,
        targets: address(&sockets.targets)?,
        operators: sockets.operators.local_addr()?,
        links: sockets.links.local_addr()?,
        forwards: address(&sockets.forwards)?,
    };
    settings.control = vec![Peer {
        vm: settings.vm.clone(),
        address: settings.listen.links,
    }];
    Ok(())
}

/// Starts one stand-in target for each service.
fn standins(settings: &Settings) -> anyhow::Result<Vec<Standin>> {
    let start = |target: &str, service: &str| {
        let mut config = StandinConfig::new(TargetId::new(target)?, ServiceId::new(service)?);
        config.entries = settings.listen.targets.into_iter().collect();
        anyhow::Ok(Standin::start(config)?)
    };
    Ok(vec![
        start("dev-shifts-1", "shifts")?,
        start("dev-sign-ups-1", "sign-ups")?,
    ])
}

fn greet(settings: &Settings) {
    let listen = &settings.listen;
    let show = |name: &str, address: Option<SocketAddr>| {
        if let Some(address) = address {
            println!("{name:<10} http://{address}");
        }
    };
    show("callers", listen.callers);
    show("targets", listen.targets);
    show("operators", Some(listen.operators));
    println!("{:<10} {}", "links", listen.links);
    show("forwards", listen.forwards);
}
