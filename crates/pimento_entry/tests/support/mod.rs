//! One entry VM on loopback with stand-in targets.

use awc::Client;
use pimento_control::{Control, ControlConfig, MembershipMode};
use pimento_core::{DomainId, RegionId, ServiceId, TargetId, VmId};
use pimento_entry::{EntryRole, Listeners};
use pimento_link::{Key, Links};
use pimento_settings::{ControlPeer, Limits, Listen, Role, Secrets, Settings, Targets};
use pimento_standin::{Standin, StandinConfig};
use std::{net::SocketAddr, time::Duration};
use tempfile::TempDir;

/// The operators' bearer token.
const TOKEN: &str = "operator";

/// The time between two looks at something that is to happen.
const POLL: Duration = Duration::from_millis(50);

/// Looks at something that is to happen, at most.
const POLLS: u32 = 200;

/// A running entry VM.
#[derive(Debug)]
pub struct Vm {
    _entry: EntryRole,
    settings: Settings,
    _folder: TempDir,
}

impl Vm {
    /// Starts a VM with both roles and the rules of `note`.
    pub async fn start(note: &str) -> Self {
        let folder = tempfile::tempdir().expect("a temporary folder");
        let mut settings = settings(&folder);
        let sockets = Listeners::bind(&settings.listen).expect("loopback ports");
        let local = |l: &Option<std::net::TcpListener>| {
            l.as_ref()
                .map(|l| l.local_addr().expect("a bound listener"))
        };
        settings.listen = Listen {
            callers: local(&sockets.callers),
            targets: local(&sockets.targets),
            operators: sockets.operators.local_addr().expect("a bound listener"),
            links: sockets.links.local_addr().expect("a bound listener"),
            forwards: local(&sockets.forwards),
        };
        settings.control = vec![ControlPeer {
            vm: settings.vm.clone(),
            address: settings.listen.links,
        }];
        let log = pimento_log::discard();
        let listener = sockets.links.try_clone().expect("a second handle");
        let links = Links::start(settings.vm.clone(), Key::new("key"), listener, log.clone());
        let links = links.expect("the listener works");
        let config = ControlConfig {
            vm: settings.vm.clone(),
            peers: settings.control.clone(),
            membership: MembershipMode::Fixed,
            advertise_address: None,
            data: settings.data.clone().expect("a data folder"),
            seed: 1,
        };
        let replica = Control::start(config, links.clone(), log.clone()).expect("a fresh folder");
        let entry = EntryRole::start(&settings, sockets, links, Some(replica), &log);
        let entry = entry.expect("the entry role starts");
        let vm = Self {
            _entry: entry,
            settings,
            _folder: folder,
        };
        vm.apply(note).await;
        vm
    }

    /// Puts a release note in force.
    async fn apply(&self, note: &str) {
        let operators = self.settings.listen.operators;
        let post = || {
            let url = format!("http://{operators}/v1/notes");
            Client::new()
                .post(url)
                .bearer_auth(TOKEN)
                .send_body(note.to_owned())
        };
        until("the note is accepted", || async {
            post()
                .await
                .is_ok_and(|answer| answer.status().is_success())
        })
        .await;
        let ready = format!("http://{operators}/readyz");
        until("the rules are in force", || async {
            let answer = Client::new().get(&ready).send().await;
            answer.is_ok_and(|answer| answer.status().is_success())
        })
        .await;
    }

    /// Where callers go.
    pub fn callers(&self) -> SocketAddr {
        self.settings
            .listen
            .callers
            .expect("the entry role has callers")
    }

    /// Starts a stand-in target and waits until this VM may send to it.
    pub async fn target(&self, service: &str, adjust: impl FnOnce(&mut StandinConfig)) -> Standin {
        self.named(&format!("{service}-1"), service, adjust).await
    }

    /// Starts a further stand-in target.
    pub async fn named(
        &self,
        name: &str,
        service: &str,
        adjust: impl FnOnce(&mut StandinConfig),
    ) -> Standin {
        let name = TargetId::new(name).expect("a good name");
        let mut config = StandinConfig::new(name, ServiceId::new(service).expect("a good name"));
        config.entries = self.settings.listen.targets.into_iter().collect();
        adjust(&mut config);
        let standin = Standin::start(config).expect("a loopback port");
        self.ready(service, &standin).await;
        standin
    }

    /// Waits until the new target runs requests.
    async fn ready(&self, service: &str, standin: &Standin) {
        let url = format!("http://{}/s/{service}/shift/ready", self.callers());
        until("the target is taken", || async {
            let request = Client::new()
                .get(&url)
                .insert_header(("idempotency-key", key()));
            drop(request.send().await);
            standin.counters().finished > 0
        })
        .await;
    }
}

/// Looks again and again until something has happened.
async fn until<F: Future<Output = bool>>(what: &str, mut look: impl FnMut() -> F) {
    for _ in 0..POLLS {
        if look().await {
            return;
        }
        tokio::time::sleep(POLL).await;
    }
    panic!("in vain: {what}");
}

/// A new key for a request.
pub fn key() -> String {
    uuid::Uuid::now_v7().to_string()
}

fn settings(folder: &TempDir) -> Settings {
    let any = Some(SocketAddr::from(([127, 0, 0, 1], 0)));
    let path = |name: &str| folder.path().join(name);
    std::fs::write(path("operators"), TOKEN).expect("a writable folder");
    std::fs::write(path("links"), "key").expect("a writable folder");
    Settings {
        vm: VmId::new("vm-a").expect("a good name"),
        region: RegionId::new("north").expect("a good name"),
        domain: DomainId::new("north-a").expect("a good name"),
        roles: vec![Role::Entry, Role::Control],
        listen: Listen {
            callers: any,
            targets: any,
            operators: SocketAddr::from(([127, 0, 0, 1], 0)),
            links: SocketAddr::from(([127, 0, 0, 1], 0)),
            forwards: any,
        },
        control: Vec::new(),
        seeds: Vec::new(),
        data: Some(path("data")),
        targets: Targets {
            ranges: vec!["127.0.0.0/8".parse().expect("a range")],
            port: 1_024,
        },
        secrets: Secrets {
            operators: path("operators"),
            links: path("links"),
        },
        limits: Limits {
            body: 300,
            ..Limits::default()
        },
    }
}

/// The verdict of a failure.
pub fn verdict<S>(answer: &awc::ClientResponse<S>) -> Option<&str> {
    answer.headers().get("pimento-verdict")?.to_str().ok()
}
