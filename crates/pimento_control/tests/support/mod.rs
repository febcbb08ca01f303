//! Control VMs over loopback links, which can be stopped and started again.

#![allow(dead_code, reason = "each test file uses a part of it")]

pub mod claims;
mod failing;

use actix::prelude::*;
use failing::Failing;
use pimento_control::{
    Control, ControlClient, ControlConfig, ControlStatus, GetStatus, MembershipMode, Shutdown,
};
use pimento_core::VmId;
use pimento_link::{Key, Links};
use pimento_settings::ControlPeer;
use pimento_storage::DataFolder;
use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU8, Ordering},
    },
    time::Duration,
};

/// The longest wait for a group to settle.
const LIMIT: Duration = Duration::from_secs(20);
const PAUSE: Duration = Duration::from_millis(20);

pub struct Cluster {
    pub peers: Vec<ControlPeer>,
    /// Each VM's links run on an arbiter that dies with the VM.
    pub arbiters: Vec<Option<Arbiter>>,
    pub folders: Vec<tempfile::TempDir>,
    pub vms: Vec<Option<Addr<Control>>>,
    /// Whether the disk of a VM takes no more data.
    pub full: Vec<Arc<AtomicBool>>,
}

impl Cluster {
    pub fn new(size: usize) -> Self {
        let mut cluster = Self {
            peers: Vec::new(),
            arbiters: Vec::new(),
            folders: Vec::new(),
            vms: vec![None; size],
            full: (0..size).map(|_| Arc::default()).collect(),
        };
        for i in 0..size {
            let listener = TcpListener::bind((own_host(), 0)).unwrap();
            let vm = VmId::new(format!("c{i}")).unwrap();
            let address = listener.local_addr().unwrap();
            cluster.arbiters.push(None);
            cluster.peers.push(ControlPeer { vm, address });
            cluster.folders.push(tempfile::tempdir().unwrap());
        }
        cluster
    }

    /// Starts the links of a VM on an arbiter of their own.
    pub fn links(&mut self, i: usize) -> Links {
        let arbiter = Arbiter::new();
        let (vm, address) = (self.peers[i].vm.clone(), self.peers[i].address);
        let (sender, receiver) = std::sync::mpsc::channel();
        arbiter.spawn_fn(move || {
            let listener = bind(address);
            let key = Key::new("secret");
            let links = Links::start(vm, key, listener, pimento_log::discard());
            sender.send(links.unwrap()).unwrap();
        });
        self.arbiters[i] = Some(arbiter);
        receiver.recv().unwrap()
    }

    /// The links of a process without the control role.
    pub fn client(&self) -> ControlClient {
        ControlClient::new(spare_links(), &self.peers)
    }

    pub fn start(&mut self, i: usize) {
        self.start_as(i, self.peers.clone(), MembershipMode::Fixed);
    }

    /// Starts a VM that knows only the first three.
    pub fn start_dynamic(&mut self, i: usize, bootstrap: bool) {
        let membership = MembershipMode::Dynamic {
            bootstrap,
            min_voters: 5,
        };
        self.start_as(i, self.peers[..3].to_vec(), membership);
    }

    /// Gives a stopped VM an empty data folder.
    pub fn wipe(&mut self, i: usize) {
        self.folders[i] = tempfile::tempdir().unwrap();
    }

    fn start_as(&mut self, i: usize, peers: Vec<ControlPeer>, membership: MembershipMode) {
        let links = self.links(i);
        let config = ControlConfig {
            vm: self.peers[i].vm.clone(),
            advertise_address: (membership != MembershipMode::Fixed)
                .then_some(self.peers[i].address),
            peers,
            membership,
            data: self.folders[i].path().to_owned(),
            seed: i as u64,
        };
        let folder = DataFolder::open(&config.data).unwrap();
        let disk = Box::new(Failing {
            folder,
            full: Arc::clone(&self.full[i]),
        });
        let started = Control::start_with_disk(disk, config, links, pimento_log::discard());
        self.vms[i] = Some(started.unwrap());
    }

    pub fn start_all(&mut self) {
        for i in 0..self.vms.len() {
            self.start(i);
        }
    }

    pub async fn stop(&mut self, i: usize) {
        let addr = self.vms[i].take().unwrap();
        addr.send(Shutdown).await.unwrap();
        let arbiter = self.arbiters[i].take().unwrap();
        arbiter.stop();
        arbiter.join().unwrap();
    }

    pub fn addrs(&self) -> impl Iterator<Item = &Addr<Control>> {
        self.vms.iter().flatten()
    }

    pub async fn status(&self, i: usize) -> ControlStatus {
        let addr = self.vms[i].as_ref().unwrap();
        addr.send(GetStatus).await.unwrap()
    }

    /// Waits until a VM's status is as wanted.
    pub async fn until(&self, i: usize, wanted: impl Fn(&ControlStatus) -> bool) {
        let wait = async {
            while !wanted(&self.status(i).await) {
                actix_rt::time::sleep(PAUSE).await;
            }
        };
        actix_rt::time::timeout(LIMIT, wait).await.unwrap();
    }

    /// Waits until some VM leads with a number of voters; its place.
    pub async fn leader(&self, voters: usize) -> usize {
        let wait = async {
            loop {
                for i in (0..self.vms.len()).filter(|i| self.vms[*i].is_some()) {
                    let status = self.status(i).await;
                    if status.role == "leader" && status.members.len() == voters {
                        return i;
                    }
                }
                actix_rt::time::sleep(PAUSE).await;
            }
        };
        actix_rt::time::timeout(LIMIT, wait).await.unwrap()
    }
}

/// A loopback host that no other VM of this process has, so that nobody else
/// takes its port while it is stopped.
fn own_host() -> Ipv4Addr {
    static NEXT: AtomicU8 = AtomicU8::new(2);
    Ipv4Addr::new(127, 0, 0, NEXT.fetch_add(1, Ordering::Relaxed))
}

/// Binds an address again, which an outgoing connection of another test may
/// hold as its own for a while.
fn bind(address: SocketAddr) -> TcpListener {
    for _ in 0..500 {
        if let Ok(listener) = TcpListener::bind(address) {
            return listener;
        }
        std::thread::sleep(PAUSE);
    }
    TcpListener::bind(address).unwrap()
}

/// Links at a new address.
pub fn spare_links() -> Links {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let vm = VmId::new("entry").unwrap();
    let links = Links::start(vm, Key::new("secret"), listener, pimento_log::discard());
    links.unwrap()
}
