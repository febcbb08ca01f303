//! A cluster of control VMs over loopback links that can be stopped and restarted.

#![allow(dead_code, reason = "each test file uses only a part")]

pub mod claims;
mod failing;

use actix::prelude::*;
use failing::FaultyDisk;
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

/// The maximum time to wait for a status or a leader.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

pub struct Cluster {
    pub peers: Vec<ControlPeer>,
    /// The arbiters of the VMs' links, which are stopped with the VM.
    pub arbiters: Vec<Option<Arbiter>>,
    pub folders: Vec<tempfile::TempDir>,
    pub vms: Vec<Option<Addr<Control>>>,
    /// Whether the disk of each VM is full.
    pub disk_full: Vec<Arc<AtomicBool>>,
}

impl Cluster {
    pub fn new(size: usize) -> Self {
        let mut cluster = Self {
            peers: Vec::new(),
            arbiters: Vec::new(),
            folders: Vec::new(),
            vms: vec![None; size],
            disk_full: (0..size).map(|_| Arc::default()).collect(),
        };
        for i in 0..size {
            let listener = TcpListener::bind((next_host(), 0)).unwrap();
            let vm = VmId::new(format!("c{i}")).unwrap();
            let address = listener.local_addr().unwrap();
            cluster.arbiters.push(None);
            cluster.peers.push(ControlPeer { vm, address });
            cluster.folders.push(tempfile::tempdir().unwrap());
        }
        cluster
    }

    /// Starts the links of a VM on their own arbiter.
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

    /// Creates a client as in a process without the control role.
    pub fn client(&self) -> ControlClient {
        ControlClient::new(client_links(), &self.peers)
    }

    pub fn start(&mut self, i: usize) {
        self.start_with(i, self.peers.clone(), MembershipMode::Fixed);
    }

    /// Starts a VM in dynamic mode, with the first three VMs in its settings.
    pub fn start_dynamic(&mut self, i: usize, bootstrap: bool) {
        let membership = MembershipMode::Dynamic {
            bootstrap,
            min_voters: 5,
        };
        self.start_with(i, self.peers[..3].to_vec(), membership);
    }

    /// Replaces the data folder of a stopped VM by an empty one.
    pub fn wipe_folder(&mut self, i: usize) {
        self.folders[i] = tempfile::tempdir().unwrap();
    }

    fn start_with(&mut self, i: usize, peers: Vec<ControlPeer>, membership: MembershipMode) {
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
        let disk = Box::new(FaultyDisk {
            folder,
            full: Arc::clone(&self.disk_full[i]),
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

    /// Waits until a VM's status meets a condition.
    pub async fn wait_for_status(&self, i: usize, condition: impl Fn(&ControlStatus) -> bool) {
        let wait = async {
            while !condition(&self.status(i).await) {
                actix_rt::time::sleep(POLL_INTERVAL).await;
            }
        };
        actix_rt::time::timeout(SETTLE_TIMEOUT, wait).await.unwrap();
    }

    /// Waits until a VM leads a group with this number of voters, and returns its
    /// index.
    pub async fn wait_for_leader(&self, voters: usize) -> usize {
        let wait = async {
            loop {
                for i in (0..self.vms.len()).filter(|i| self.vms[*i].is_some()) {
                    let status = self.status(i).await;
                    if status.role == "leader" && status.members.len() == voters {
                        return i;
                    }
                }
                actix_rt::time::sleep(POLL_INTERVAL).await;
            }
        };
        actix_rt::time::timeout(SETTLE_TIMEOUT, wait).await.unwrap()
    }
}

/// Returns a loopback host that no other VM of this process uses, so that no other
/// listener takes its port while the VM is stopped.
fn next_host() -> Ipv4Addr {
    static NEXT: AtomicU8 = AtomicU8::new(2);
    Ipv4Addr::new(127, 0, 0, NEXT.fetch_add(1, Ordering::Relaxed))
}

/// Binds an address, with retries: an outgoing connection of another test may
/// use it as its local address for a while.
fn bind(address: SocketAddr) -> TcpListener {
    for _ in 0..500 {
        if let Ok(listener) = TcpListener::bind(address) {
            return listener;
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    TcpListener::bind(address).unwrap()
}

/// Starts links at an unused address.
pub fn client_links() -> Links {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let vm = VmId::new("entry").unwrap();
    let links = Links::start(vm, Key::new("secret"), listener, pimento_log::discard());
    links.unwrap()
}
