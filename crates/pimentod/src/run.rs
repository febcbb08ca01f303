//! Running the roles of the settings.

use anyhow::Context;
use pimento_entry::{Entry, Sockets};
use pimento_link::{Key, Links};
use pimento_settings::Settings;
use std::{fs, path::Path};
use tokio::signal::unix::{SignalKind, signal};

/// Reads the settings and serves until a planned stop.
pub fn run(path: &Path) -> anyhow::Result<()> {
    let settings = Settings::load(path)?;
    let sockets = Sockets::bind(&settings.listen)?;
    actix_rt::System::new().block_on(async {
        let entry = start(&settings, sockets)?;
        wait().await?;
        entry.stop().await;
        Ok(())
    })
}

/// Reads and checks the settings only.
pub fn check(path: &Path) -> anyhow::Result<()> {
    let settings = Settings::load(path)?;
    println!(
        "{}: the settings of {} are good",
        path.display(),
        settings.vm
    );
    Ok(())
}

/// Starts the parts of a process.
pub fn start(settings: &Settings, sockets: Sockets) -> anyhow::Result<Entry> {
    let log = pimento_log::root(&settings.vm);
    let key = &settings.secrets.links;
    let key = fs::read(key).with_context(|| format!("secrets.links: {}", key.display()))?;
    let listener = sockets.links.try_clone()?;
    let links = Links::start(settings.vm.clone(), Key::new(key), listener, log.clone())?;
    Entry::start(settings, sockets, links, &log)
}

/// Waits for the signal of a planned stop.
pub async fn wait() -> anyhow::Result<()> {
    let mut term = signal(SignalKind::terminate())?;
    let mut int = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    Ok(())
}
