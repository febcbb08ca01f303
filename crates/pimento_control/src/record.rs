//! The records of the data folder.

use anyhow::{Context, ensure};
use bytes::Bytes;
use pimento_consensus::{Entry, HardState, PersistentState, Snapshot, Write};
use pimento_core::VmId;
use prost::Message as _;

/// A record of the data folder.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Record {
    #[prost(oneof = "Kind", tags = "1, 2, 3, 4")]
    pub kind: Option<Kind>,
}

/// The content of a [`Record`].
#[derive(Clone, PartialEq, prost::Oneof)]
pub(crate) enum Kind {
    /// Whose folder it is; always the first record.
    #[prost(message, tag = "1")]
    Identity(Identity),
    /// The state in place of earlier entries.
    #[prost(message, tag = "2")]
    Snapshot(Snapshot),
    /// The term and vote.
    #[prost(message, tag = "3")]
    Hard(HardState),
    /// An entry, in place of the one with its index and all later ones.
    #[prost(message, tag = "4")]
    Entry(Entry),
}

/// Whose folder it is.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub(crate) struct Identity {
    #[prost(string, tag = "1")]
    pub vm: String,
    /// Drawn at random when the folder was created.
    #[prost(uint64, tag = "2")]
    pub instance: u64,
}

impl Identity {
    /// A new identity for an empty folder.
    pub(crate) fn new(vm: &VmId) -> Self {
        Self {
            vm: vm.as_str().to_owned(),
            instance: rand::random_range(1..=u64::MAX),
        }
    }

    pub(crate) fn record(&self) -> Bytes {
        encode(Kind::Identity(self.clone()))
    }
}

/// Encodes one record.
pub(crate) fn encode(kind: Kind) -> Bytes {
    let kind = Some(kind);
    Record { kind }.encode_to_vec().into()
}

/// Encodes a write; if it holds a snapshot, all that a new file needs.
pub(crate) fn records(write: Write, identity: &Identity) -> Vec<Bytes> {
    let snapshot = write.snapshot.map(Kind::Snapshot);
    let first = snapshot.is_some().then(|| identity.record());
    let hard = std::iter::once(Kind::Hard(write.hard_state));
    let entries = write.entries.into_iter().map(Kind::Entry);
    let rest = snapshot.into_iter().chain(hard).chain(entries);
    first.into_iter().chain(rest.map(encode)).collect()
}

/// Decodes the records of a folder; none means a new folder.
pub(crate) fn decode(records: Vec<Bytes>) -> anyhow::Result<Option<(Identity, PersistentState)>> {
    let mut identity = None;
    let mut saved = PersistentState::default();
    for (i, bytes) in records.into_iter().enumerate() {
        let record = Record::decode(bytes).with_context(|| format!("record {i}"))?;
        match record.kind {
            Some(Kind::Identity(found)) => identity = Some(found),
            Some(Kind::Snapshot(snapshot)) => saved.snapshot = Some(snapshot),
            Some(Kind::Hard(hard)) => saved.hard_state = hard,
            Some(Kind::Entry(entry)) => {
                put(&mut saved, entry).with_context(|| format!("record {i}"))?;
            }
            None => anyhow::bail!("record {i}: unknown kind, written by a newer version"),
        }
    }
    let Some(identity) = identity else {
        ensure!(saved.is_empty(), "the first record does not name the VM");
        return Ok(None);
    };
    Ok(Some((identity, saved)))
}

/// Adds an entry in place of the one with its index and all later ones.
fn put(saved: &mut PersistentState, entry: Entry) -> anyhow::Result<()> {
    let base = saved.snapshot.as_ref().map_or(0, |s| s.index);
    let last = base + saved.entries.len() as u64;
    let index = entry.index;
    ensure!(
        index > base && index <= last + 1,
        "entry {index} does not follow entry {last}"
    );
    let keep = usize::try_from(index - base - 1)?;
    saved.entries.truncate(keep);
    saved.entries.push(entry);
    Ok(())
}
