//! Starting and stopping the roles of a process.

use anyhow::Context;
use pimento_control::{Control, ControlConfig, MembershipMode, Propose, Shutdown, restore_backup};
use pimento_entry::{EntryRole, Listeners};
use pimento_link::{Key, Links};
use pimento_log::{Event, Logger, event};
use pimento_rules::Note;
use pimento_settings::{Role, Settings};
use pimento_signals::{Request, Signals};
use pimento_state::Command;
use std::{
    fs,
    path::Path,
    time::{SystemTime, UNIX_EPOCH},
};

/// Maximum number of retries of a proposal, which fails while the group has no
/// leader.
const MAX_APPLY_RETRIES: u32 = 5;

/// The parts of a running process.
#[derive(Debug)]
pub struct Process {
    entry: EntryRole,
    replica: Option<actix::Addr<Control>>,
    log: Logger,
}

/// Reads the settings and serves until a graceful shutdown is requested.
pub fn run(path: &Path) -> anyhow::Result<()> {
    actix_rt::System::new().block_on(async {
        let signals = Signals::install()?;
        let settings = Settings::load(path)?;
        let listeners = Listeners::bind(&settings.listen)?;
        let process = Process::start(&settings, listeners)?;
        process.wait(signals, Some(path)).await;
        process.stop().await;
        Ok(())
    })
}

/// Reads and checks the settings without starting anything.
pub fn check(path: &Path) -> anyhow::Result<()> {
    let settings = Settings::load(path)?;
    println!(
        "{}: the settings of {} are valid",
        path.display(),
        settings.vm
    );
    Ok(())
}

/// Restores a backup into an empty data folder.
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
    /// Starts the components of the configured roles.
    pub fn start(settings: &Settings, listeners: Listeners) -> anyhow::Result<Self> {
        let log = pimento_log::root(&settings.vm);
        let links = start_links(settings, &listeners, &log)?;
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
        let entry = EntryRole::start(settings, listeners, links, replica.clone(), &log)?;
        event!(log, Event::VmStarted, "roles" => ?settings.roles);
        Ok(Self {
            entry,
            replica,
            log,
        })
    }

    /// Proposes a release note to the control group of this VM, with retries
    /// until the group has a leader. Proposing an accepted note again changes
    /// nothing.
    pub async fn apply(&self, note: &Note) -> anyhow::Result<()> {
        let replica = self
            .replica
            .as_ref()
            .context("the VM has no control role")?;
        let time = SystemTime::now().duration_since(UNIX_EPOCH)?.as_millis() as u64;
        let command = Command::note(time, note);
        let mut retries = 0;
        loop {
            match replica
                .send(Propose {
                    command: command.clone(),
                })
                .await?
            {
                Ok(_) => return Ok(()),
                Err(e) if retries == MAX_APPLY_RETRIES => return Err(e.into()),
                Err(_) => retries += 1,
            }
        }
    }

    /// Waits for SIGTERM, SIGINT or an operator's command to drain this VM.
    /// On SIGHUP checks the settings file and logs the result: all settings take
    /// effect at the start only.
    pub async fn wait(&self, mut signals: Signals, path: Option<&Path>) {
        loop {
            tokio::select! {
                request = signals.next() => match request {
                    Request::Stop => return,
                    Request::Reload => {}
                },
                () = self.entry.wait_for_drain() => return,
            }
            match path.map(Settings::load).transpose() {
                Ok(_) => event!(self.log, Event::SettingsRead, "applied" => "at the next start"),
                Err(e) => event!(self.log, Event::SettingsRead, "error" => e.to_string()),
            }
        }
    }

    /// Stops gracefully: requests in flight are completed within their time
    /// limits, and the data folder is unlocked afterwards.
    pub async fn stop(self) {
        event!(self.log, Event::StopBegun);
        let interrupted = self.entry.stop().await;
        if let Some(replica) = self.replica {
            // The send fails if the replica has already stopped, which has
            // unlocked the data folder too.
            replica.send(Shutdown).await.unwrap_or_default();
        }
        event!(self.log, Event::StopEnded, "cut" => interrupted);
    }
}

fn start_links(settings: &Settings, listeners: &Listeners, log: &Logger) -> anyhow::Result<Links> {
    let path = &settings.secrets.links;
    let key = fs::read(path).with_context(|| format!("secrets.links: {}", path.display()))?;
    let listener = listeners.links.try_clone()?;
    let vm = settings.vm.clone();
    Ok(Links::start(
        vm,
        Key::new(key.trim_ascii()),
        listener,
        log.clone(),
    )?)
}
