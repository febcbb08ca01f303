//! Backup of the state and restore into a fresh group.

use crate::record::{self, Identity, Kind};
use anyhow::{Context, ensure};
use bytes::Bytes;
use pimento_consensus::{HardState, Member, Members, Snapshot};
use pimento_core::VmId;
use pimento_settings::ControlPeer;
use pimento_state::State;
use pimento_storage::{DataFolder, Store};
use prost::Message as _;
use std::{path::Path, time::SystemTime};

/// What a backup file holds.
#[derive(Clone, PartialEq, prost::Message)]
struct File {
    /// The encoded [`Snapshot`].
    #[prost(bytes = "bytes", tag = "1")]
    snapshot: Bytes,
    /// The CRC-32 of the encoded snapshot.
    #[prost(fixed32, tag = "2")]
    sum: u32,
}

/// What was restored.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Restored {
    /// The last entry of the log that the backup contains.
    pub index: u64,
    /// The version of the rules in the backup.
    pub rules: u64,
}

/// Encodes a backup.
pub(crate) fn encode(snapshot: &Snapshot) -> Bytes {
    let snapshot = Bytes::from(snapshot.encode_to_vec());
    let sum = crc32fast::hash(&snapshot);
    File { snapshot, sum }.encode_to_vec().into()
}

/// Writes a backup into a fresh data folder, so that the VM founds a new group
/// from it and takes the other control VMs in.
///
/// The others must begin with empty folders, and no VM of the old group may
/// come back. What the old group had accepted after the backup is lost; so the
/// new one grants no claim whose key is older than the restore. See
/// `docs/ops/control.md`.
///
/// # Errors
///
/// Returns an error, and leaves the folder as it was, if the backup is damaged
/// or the folder holds anything.
pub fn restore_backup(
    backup: &[u8],
    data: impl AsRef<Path>,
    vm: &VmId,
    peers: &[ControlPeer],
) -> anyhow::Result<Restored> {
    let file = File::decode(backup).context("the backup does not decode")?;
    let intact = crc32fast::hash(&file.snapshot) == file.sum;
    ensure!(intact, "the backup is damaged: its checksum differs");
    let decoded = Snapshot::decode(file.snapshot);
    let mut snapshot = decoded.context("the backup does not decode")?;
    let state = State::restore(&snapshot.data).context("the backup does not decode")?;
    let folder = DataFolder::open(data)?;
    let (mut store, opened) = Store::open(folder)?;
    ensure!(
        opened.records.is_empty(),
        "the data folder is in use; a backup goes into an empty one"
    );
    let identity = Identity::new(vm);
    snapshot.members = founders(vm, peers, identity.instance)?;
    snapshot.members.restored_at = unix_millis()?;
    let restored = Restored {
        index: snapshot.index,
        rules: state.rules().version,
    };
    let hard = HardState {
        term: snapshot.term + 1,
        vote: String::new(),
    };
    let records = [
        identity.record(),
        record::encode(Kind::Snapshot(snapshot)),
        record::encode(Kind::Hard(hard)),
    ];
    store.replace(&records)?;
    Ok(restored)
}

/// The wall-clock time, in milliseconds since the Unix epoch.
fn unix_millis() -> anyhow::Result<u64> {
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let now = now.context("the clock is before 1970")?;
    Ok(now.as_millis() as u64)
}

/// The members of a new group: this VM votes, the others catch up first.
fn founders(vm: &VmId, peers: &[ControlPeer], instance: u64) -> anyhow::Result<Members> {
    let mut members = Members::new(learners(peers));
    let own = members.list.iter_mut().find(|m| m.vm == vm.as_str());
    let own = own.with_context(|| format!("the control VMs do not list {vm}"))?;
    own.voter = true;
    own.folder_id = instance;
    Ok(members)
}

/// The control VMs of the settings as learners.
pub(crate) fn learners(peers: &[ControlPeer]) -> Vec<Member> {
    let learner = |peer: &ControlPeer| Member::learner(&peer.vm, peer.address.to_string());
    peers.iter().map(learner).collect()
}
