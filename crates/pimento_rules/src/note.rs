//! The contents of a release note, and its canonical encoding.

use crate::{
    Block, Digest, Domain, Link, NoteError, Region, Service,
    wire::{WireItems, WireNote, WireWithdrawn},
};
use ipnet::IpNet;
use pimento_core::{DomainId, RegionId, ServiceId};
use prost::Message as _;
use serde::{Deserialize, Serialize};

/// Maximum size of a note in bytes, both as YAML and encoded.
///
/// This is enough for about 20,000 blocks, so 2 million blocks take about 100
/// notes.
pub const MAX_NOTE_BYTES: usize = 1 << 20;

/// A release note: a numbered set of changes to the rules.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Note {
    /// Sequence number: that of the last accepted note plus one.
    pub number: u64,
    /// New items; they must not exist yet.
    #[serde(default)]
    pub added: Items,
    /// Existing items and their new content.
    #[serde(default)]
    pub changed: Items,
    /// Names of existing items to remove.
    #[serde(default)]
    pub withdrawn: Withdrawn,
}

/// Items with their content, one list per kind.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Items {
    /// Regions with their reserves.
    pub regions: Vec<Region>,
    /// Failure domains with their regions.
    pub domains: Vec<Domain>,
    /// Links between regions.
    pub links: Vec<Link>,
    /// Services with their policies.
    pub services: Vec<Service>,
    /// Address blocks with their failure domains.
    pub blocks: Vec<Block>,
}

/// Names of the items that a note withdraws, one list per kind.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Withdrawn {
    /// Names of regions.
    pub regions: Vec<RegionId>,
    /// Names of failure domains.
    pub domains: Vec<DomainId>,
    /// Links, each identified by its two regions.
    pub links: Vec<(RegionId, RegionId)>,
    /// Names of services.
    pub services: Vec<ServiceId>,
    /// Networks of address blocks.
    pub blocks: Vec<IpNet>,
}

impl Note {
    /// Encodes the note in canonical form: every list is sorted and every
    /// default value is written out.
    pub fn encode(&self) -> Vec<u8> {
        let note = self.canonical();
        let wire = WireNote {
            number: note.number,
            added: Some(WireItems::pack(&note.added)),
            changed: Some(WireItems::pack(&note.changed)),
            withdrawn: Some(WireWithdrawn::pack(&note.withdrawn)),
        };
        wire.encode_to_vec()
    }

    /// Decodes a note from the output of [`Self::encode`].
    ///
    /// # Errors
    ///
    /// Returns [`NoteError::TooLarge`] if there are too many bytes, or
    /// [`NoteError::Damaged`] if they are not a valid encoding.
    pub fn decode(bytes: &[u8]) -> Result<Self, NoteError> {
        if bytes.len() > MAX_NOTE_BYTES {
            return Err(NoteError::TooLarge(bytes.len()));
        }
        let damaged = NoteError::Damaged("note");
        let Ok(wire) = WireNote::decode(bytes) else {
            return Err(damaged);
        };
        let added = wire.added.unwrap_or_default().unpack();
        let changed = wire.changed.unwrap_or_default().unpack();
        let withdrawn = wire.withdrawn.unwrap_or_default().unpack();
        match (added, changed, withdrawn) {
            (Ok(added), Ok(changed), Ok(withdrawn)) => Ok(Self {
                number: wire.number,
                added,
                changed,
                withdrawn,
            }),
            _ => Err(damaged),
        }
    }

    /// Computes the digest of the canonical encoding.
    pub fn digest(&self) -> Digest {
        Digest::of(&self.encode())
    }

    fn canonical(&self) -> Self {
        let mut note = self.clone();
        note.added.sort();
        note.changed.sort();
        note.withdrawn.sort();
        note
    }
}

impl Items {
    /// Returns the number of items of all kinds.
    pub fn len(&self) -> usize {
        let subtotal = self.regions.len() + self.domains.len() + self.links.len();
        subtotal + self.services.len() + self.blocks.len()
    }

    /// Returns whether all lists are empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn sort(&mut self) {
        self.regions.sort_by(|x, y| x.name.cmp(&y.name));
        self.domains.sort_by(|x, y| x.name.cmp(&y.name));
        self.links.sort_by(|x, y| x.ends().cmp(&y.ends()));
        self.services.sort_by(|x, y| x.name.cmp(&y.name));
        self.blocks.sort_by_key(|block| block.net);
        for service in &mut self.services {
            service.tenants.sort();
        }
    }
}

impl Withdrawn {
    /// Returns the number of names of all kinds.
    pub fn len(&self) -> usize {
        let subtotal = self.regions.len() + self.domains.len() + self.links.len();
        subtotal + self.services.len() + self.blocks.len()
    }

    /// Returns whether all lists are empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn sort(&mut self) {
        self.regions.sort();
        self.domains.sort();
        self.links.sort();
        self.services.sort();
        self.blocks.sort();
    }
}
