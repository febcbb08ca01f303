//! Running the roles of the settings.

use anyhow::Context;
use pimento_control::{Control, ControlConfig, MembershipMode, Propose, Shutdown, restore_backup};
use pimento_entry::{EntryRole, Listeners};
use pimento_link::{Key, Links};
use pimento_log::{Event, Logger, event};
use pimento_rules::Note;
use pimento_settings::{Role, Settings};
use pimento_state::Command;
use std::{
    fs,
    path::Path,
    time::{SystemTime, UNIX_EPOCH},
};
use tokio::signal::unix::{SignalKind, signal};

/// How often a note is proposed again while the group has no leader.
const APPLY_TRIES: u32 = 5;

/// The parts of a running process.
#[derive(Debug)]
pub struct Process {
    entry: EntryRole,
    replica: Option<actix::Addr<Control>>,
    log: Logger,
}

/// Reads the settings and serves until a planned stop.
pub fn run(path: &Path) -> anyhow::Result<()> {
    let settings = Settings::load(path)?;
    let sockets = Listeners::bind(&settings.listen)?;
    actix_rt::System::new().block_on(async {
        let process = Process::start(&settings, sockets)?;
        process.wait().await?;
        process.stop().await;
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

/// Writes a backup into an empty data folder.
pub fn restore(path: &Path, backup: &Path) -> anyhow::Result<()> {
    let settings = Settings::load(path)?;
    let data = settings.data.as_ref();
    let data = data.context("data: only a VM with the control role has a data folder")?;
    let bytes = fs::read(backup).with_context(|| format!("{}", backup.display()))?;
    let restored = restore_backup(&bytes, data, &settings.vm, &settings.control)
        .with_context(|| format!("{}", backup.display()))?;
    println!(
        "{}: restored rules {} and the log up to entry {}",
        data.display(),
        restored.rules,
        restored.index
    );
    Ok(())
}

impl Process {
    /// Starts the parts that the roles call for.
    pub fn start(settings: &Settings, sockets: Listeners) -> anyhow::Result<Self> {
        let log = pimento_log::root(&settings.vm);
        let links = start_links(settings, &sockets, &log)?;
        let replica = match &settings.data {
            Some(data) if settings.has_role(Role::Control) => {
                let config = ControlConfig {
                    vm: settings.vm.clone(),
                    peers: settings.control.clone(),
                    membership: MembershipMode::Fixed,
                    advertise_address: None,
                    data: data.clone(),
                    seed: rand::random(),
                };
                Some(Control::start(config, links.clone(), log.clone())?)
            }
            _ => None,
        };
        let entry = EntryRole::start(settings, sockets, links, replica.clone(), &log)?;
        event!(log, Event::VmStarted, "roles" => ?settings.roles);
        Ok(Self {
            entry,
            replica,
            log,
        })
    }

    /// Puts a release note in force on this VM's control group, once it has a
    /// leader; a note that is in force already is left as it is.
    pub async fn apply(&self, note: &Note) -> anyhow::Result<()> {
        let replica = self
            .replica
            .as_ref()
            .context("the VM has no control role")?;
        let time = SystemTime::now().duration_since(UNIX_EPOCH)?.as_millis() as u64;
        let command = Command::note(time, note);
        let mut tries = 0;
        loop {
            match replica
                .send(Propose {
                    command: command.clone(),
                })
                .await?
            {
                Ok(_) => return Ok(()),
                Err(e) if tries == APPLY_TRIES => return Err(e.into()),
                Err(_) => tries += 1,
            }
        }
    }

    /// Waits for the signal, or an operator's command, of a planned stop.
    pub async fn wait(&self) -> anyhow::Result<()> {
        let mut term = signal(SignalKind::terminate())?;
        let mut int = signal(SignalKind::interrupt())?;
        tokio::select! {
            _ = term.recv() => {}
            _ = int.recv() => {}
            () = self.entry.wait_for_drain() => {}
        }
        Ok(())
    }

    /// Stops gracefully: no request in flight is cut off, and the data folder
    /// is free afterwards.
    pub async fn stop(self) {
        event!(self.log, Event::StopBegun);
        let cut = self.entry.stop().await;
        if let Some(replica) = self.replica {
            // A replica that has stopped by itself has nothing left to free.
            replica.send(Shutdown).await.unwrap_or_default();
        }
        event!(self.log, Event::StopEnded, "cut" => cut);
    }
}

fn start_links(settings: &Settings, sockets: &Listeners, log: &Logger) -> anyhow::Result<Links> {
    let path = &settings.secrets.links;
    let key = fs::read(path).with_context(|| format!("secrets.links: {}", path.display()))?;
    let listener = sockets.links.try_clone()?;
    let vm = settings.vm.clone();
    Ok(Links::start(
        vm,
        Key::new(key.trim_ascii()),
        listener,
        log.clone(),
    )?)
}
