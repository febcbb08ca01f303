//! The records in the data folder.

use anyhow::{Context, ensure};
use bytes::Bytes;
use pimento_consensus::{Entry, HardState, PersistentState, Snapshot, Write};
use pimento_core::VmId;
use prost::Message as _;

/// One record in the data folder.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Record {
    #[prost(oneof = "RecordKind", tags = "1, 2, 3, 4")]
    pub kind: Option<RecordKind>,
}

/// The content of a [`Record`].
#[derive(Clone, PartialEq, prost::Oneof)]
pub(crate) enum RecordKind {
    /// The owner of the folder; always the first record.
    #[prost(message, tag = "1")]
    Identity(Identity),
    /// A snapshot, which replaces the entries up to its index.
    #[prost(message, tag = "2")]
    Snapshot(Snapshot),
    /// The term and vote.
    #[prost(message, tag = "3")]
    HardState(HardState),
    /// An entry, which replaces the one with its index and all later ones.
    #[prost(message, tag = "4")]
    Entry(Entry),
}

/// The owner of a data folder.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub(crate) struct Identity {
    #[prost(string, tag = "1")]
    pub vm: String,
    /// A random ID, chosen when the folder was created.
    #[prost(uint64, tag = "2")]
    pub folder_id: u64,
}

impl Identity {
    /// Creates an identity for an empty folder.
    pub(crate) fn new(vm: &VmId) -> Self {
        Self {
            vm: vm.as_str().to_owned(),
            folder_id: rand::random_range(1..=u64::MAX),
        }
    }

    pub(crate) fn encode_record(&self) -> Bytes {
        encode_record(RecordKind::Identity(self.clone()))
    }
}

pub(crate) fn encode_record(kind: RecordKind) -> Bytes {
    let kind = Some(kind);
    Record { kind }.encode_to_vec().into()
}

/// Encodes the records of a write. One that replaces everything starts a new file
/// and therefore includes the identity.
pub(crate) fn encode_write(write: Write, identity: &Identity) -> Vec<Bytes> {
    let identity = write.replaces.then(|| identity.encode_record());
    let snapshot = write.snapshot.map(RecordKind::Snapshot);
    let hard_state = std::iter::once(RecordKind::HardState(write.hard_state));
    let entries = write.entries.into_iter().map(RecordKind::Entry);
    let rest = snapshot.into_iter().chain(hard_state).chain(entries);
    identity
        .into_iter()
        .chain(rest.map(encode_record))
        .collect()
}

/// Decodes the records of a folder; returns `None` for an empty folder.
pub(crate) fn decode(records: Vec<Bytes>) -> anyhow::Result<Option<(Identity, PersistentState)>> {
    let mut identity = None;
    let mut persisted = PersistentState::default();
    for (i, bytes) in records.into_iter().enumerate() {
        let record = Record::decode(bytes).with_context(|| format!("record {i}"))?;
        match record.kind {
            Some(RecordKind::Identity(found)) => identity = Some(found),
            Some(RecordKind::Snapshot(snapshot)) => persisted.snapshot = Some(snapshot),
            Some(RecordKind::HardState(hard_state)) => persisted.hard_state = hard_state,
            Some(RecordKind::Entry(entry)) => {
                insert_entry(&mut persisted, entry).with_context(|| format!("record {i}"))?;
            }
            None => anyhow::bail!("record {i}: unknown kind, written by a newer version"),
        }
    }
    let Some(identity) = identity else {
        ensure!(
            persisted.is_empty(),
            "the first record does not name the VM"
        );
        return Ok(None);
    };
    Ok(Some((identity, persisted)))
}

/// Inserts an entry, and removes the one with its index and all later ones.
fn insert_entry(persisted: &mut PersistentState, entry: Entry) -> anyhow::Result<()> {
    let base = persisted.snapshot.as_ref().map_or(0, |s| s.index);
    let last = base + persisted.entries.len() as u64;
    let index = entry.index;
    ensure!(
        index > base && index <= last + 1,
        "entry {index} does not follow entry {last}"
    );
    let kept = usize::try_from(index - base - 1)?;
    persisted.entries.truncate(kept);
    persisted.entries.push(entry);
    Ok(())
}
