//! Backs up the state and restores it into a new group.

use crate::record::{self, Identity, RecordKind};
use anyhow::{Context, ensure};
use bytes::Bytes;
use pimento_consensus::{HardState, Member, Members, Snapshot};
use pimento_core::VmId;
use pimento_settings::ControlPeer;
use pimento_state::State;
use pimento_storage::{DataFolder, Store};
use prost::Message as _;
use std::{path::Path, time::SystemTime};

/// The content of a backup file.
#[derive(Clone, PartialEq, prost::Message)]
struct BackupFile {
    /// The encoded [`Snapshot`].
    #[prost(bytes = "bytes", tag = "1")]
    snapshot: Bytes,
    /// The CRC-32 of the encoded snapshot.
    #[prost(fixed32, tag = "2")]
    crc32: u32,
}

/// Summary of a restored backup.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RestoredBackup {
    /// The last entry of the log that the backup contains.
    pub index: u64,
    /// The version of the rules in the backup.
    pub rules: u64,
}

/// Encodes a backup file.
pub(crate) fn encode(snapshot: &Snapshot) -> Bytes {
    let snapshot = Bytes::from(snapshot.encode_to_vec());
    let crc32 = crc32fast::hash(&snapshot);
    BackupFile { snapshot, crc32 }.encode_to_vec().into()
}

/// Restores a backup into an empty data folder, so that the VM bootstraps a new
/// group from it and adds the other control VMs.
///
/// The other VMs must start with empty folders, and no VM of the old group may
/// return. Commands that the old group accepted after the backup are lost;
/// therefore the new group grants no claim whose key is older than the restore.
/// See `docs/ops/control.md`.
///
/// # Errors
///
/// Returns an error, and leaves the folder as it was, if the backup is damaged
/// or the folder is not empty.
pub fn restore_backup(
    backup: &[u8],
    data: impl AsRef<Path>,
    vm: &VmId,
    peers: &[ControlPeer],
) -> anyhow::Result<RestoredBackup> {
    let file = BackupFile::decode(backup).context("the backup does not decode")?;
    let is_intact = crc32fast::hash(&file.snapshot) == file.crc32;
    ensure!(is_intact, "the backup is damaged: its checksum differs");
    let decoded = Snapshot::decode(file.snapshot);
    let mut snapshot = decoded.context("the backup does not decode")?;
    let state = State::restore(&snapshot.data).context("the backup does not decode")?;
    let folder = DataFolder::open(data)?;
    let (mut store, recovery) = Store::open(folder)?;
    ensure!(
        recovery.records.is_empty(),
        "the data folder is not empty; a backup can only be restored into an empty one"
    );
    let identity = Identity::new(vm);
    snapshot.members = initial_members(vm, peers, identity.folder_id)?;
    snapshot.members.restored_at = unix_millis()?;
    let restored = RestoredBackup {
        index: snapshot.index,
        rules: state.rules().version,
    };
    let hard_state = HardState {
        term: snapshot.term + 1,
        vote: String::new(),
    };
    let records = [
        identity.encode_record(),
        record::encode_record(RecordKind::Snapshot(snapshot)),
        record::encode_record(RecordKind::HardState(hard_state)),
    ];
    store.replace(&records)?;
    Ok(restored)
}

/// The wall-clock time, in milliseconds since the Unix epoch.
fn unix_millis() -> anyhow::Result<u64> {
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let now = now.context("the system clock is set before 1970")?;
    Ok(now.as_millis() as u64)
}

/// The members of the restored group: this VM is the voter, and the others are
/// learners until they have caught up.
fn initial_members(vm: &VmId, peers: &[ControlPeer], folder_id: u64) -> anyhow::Result<Members> {
    let mut members = Members::new(learners(peers));
    let own_member = members.list.iter_mut().find(|m| m.vm == vm.as_str());
    let own_member =
        own_member.with_context(|| format!("the list of control VMs does not contain {vm}"))?;
    own_member.voter = true;
    own_member.folder_id = folder_id;
    Ok(members)
}

/// Converts the control VMs of the settings to learners.
pub(crate) fn learners(peers: &[ControlPeer]) -> Vec<Member> {
    let learner = |peer: &ControlPeer| Member::learner(&peer.vm, peer.address.to_string());
    peers.iter().map(learner).collect()
}
