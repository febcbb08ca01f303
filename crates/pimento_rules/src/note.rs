//! Release notes as operators write them.

use crate::{
    Block, Digest, Domain, Link, NoteError, Region, Service,
    wire::{WireItems, WireNote, WireWithdrawn},
};
use ipnet::IpNet;
use pimento_core::{DomainId, RegionId, ServiceId};
use prost::Message as _;
use serde::{Deserialize, Serialize};

/// The largest note, in bytes, both as YAML and encoded.
///
/// About 20,000 blocks fit, so that 2 million blocks take some 100 notes.
pub const MAX_NOTE_BYTES: usize = 1 << 20;

/// A release note.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Note {
    /// The number of the note: the number of the last accepted note plus one.
    pub number: u64,
    /// What did not exist before.
    #[serde(default)]
    pub added: Items,
    /// What exists and gets the given content.
    #[serde(default)]
    pub changed: Items,
    /// What no longer exists.
    #[serde(default)]
    pub withdrawn: Withdrawn,
}

/// Things with their content.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Items {
    /// Regions.
    pub regions: Vec<Region>,
    /// Failure domains.
    pub domains: Vec<Domain>,
    /// Links between regions.
    pub links: Vec<Link>,
    /// Services.
    pub services: Vec<Service>,
    /// Address blocks.
    pub blocks: Vec<Block>,
}

/// Names of things that are withdrawn.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Withdrawn {
    /// Regions.
    pub regions: Vec<RegionId>,
    /// Failure domains.
    pub domains: Vec<DomainId>,
    /// Links, each by its two regions.
    pub links: Vec<(RegionId, RegionId)>,
    /// Services.
    pub services: Vec<ServiceId>,
    /// Address blocks.
    pub blocks: Vec<IpNet>,
}

impl Note {
    /// Encodes the canonical content: every list sorted, every default spelt
    /// out.
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

    /// Decodes what [`Self::encode`] made.
    ///
    /// # Errors
    ///
    /// Returns [`NoteError::TooLarge`] or [`NoteError::Damaged`].
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

    /// The digest of the canonical content.
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
    /// The number of things.
    pub fn len(&self) -> usize {
        let named = self.regions.len() + self.domains.len() + self.links.len();
        named + self.services.len() + self.blocks.len()
    }

    /// Whether nothing is listed.
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
    /// The number of names.
    pub fn len(&self) -> usize {
        let named = self.regions.len() + self.domains.len() + self.links.len();
        named + self.services.len() + self.blocks.len()
    }

    /// Whether nothing is listed.
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
