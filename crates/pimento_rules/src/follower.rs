//! Replication of the rules from the control group to a VM.

use crate::{NoteError, NoteLog, OfferOutcome, Page, Rules, RulesPull, RulesPush, push::MAX_PAGES};
use std::sync::Arc;

/// The effect of a push on a follower.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PushOutcome {
    /// The push contained nothing new that could be applied.
    Unchanged,
    /// The push was for a full copy that is still incomplete; the next page is
    /// needed.
    Partial,
    /// The rules advanced to this version.
    Applied(u64),
}

/// The replica of the rules on an entry VM. Its version only increases.
///
/// Pushes may be lost, duplicated and reordered: content that does not directly
/// follow the current version is ignored, and [`Self::pull_if_behind`] requests
/// what is missing. The follower keeps a note log of its own, so that it can
/// answer the pulls of its peers. See `docs/design/notes.md`.
#[derive(Debug, Default)]
pub struct Follower {
    log: NoteLog,
    newest_seen: u64,
    partial: Option<PartialCopy>,
}

/// A full copy of which only the first pages have been received.
#[derive(Debug)]
struct PartialCopy {
    version: u64,
    pages: Vec<Page>,
}

impl Follower {
    /// Returns the rules in force.
    pub fn rules(&self) -> Arc<Rules> {
        Arc::clone(self.log.rules())
    }

    /// Returns the version in force.
    pub fn version(&self) -> u64 {
        self.log.version()
    }

    /// Returns the newest version that this VM knows to exist.
    pub fn newest_version(&self) -> u64 {
        self.newest_seen.max(self.version())
    }

    /// Records that a version exists, such as one reported in a heartbeat.
    pub fn observe_version(&mut self, version: u64) {
        self.newest_seen = self.newest_seen.max(version);
    }

    /// Builds the next pull for a peer or a control VM. Returns `None` if the
    /// newest known version is in force.
    pub fn pull_if_behind(&self) -> Option<RulesPull> {
        (self.newest_seen > self.version()).then(|| self.next_pull())
    }

    /// Builds the next pull, even if no newer version is known to exist.
    pub fn next_pull(&self) -> RulesPull {
        let partial = self.partial.as_ref();
        RulesPull {
            version: self.version(),
            copy_version: partial.map_or(0, |partial| partial.version),
            next_page: partial.map_or(0, |partial| partial.pages.len() as u32),
        }
    }

    /// Answers the pull of a peer.
    pub fn answer_pull(&self, pull: &RulesPull) -> RulesPush {
        self.log.answer_pull(pull)
    }

    /// Applies the content of a push that directly follows the current version.
    ///
    /// # Errors
    ///
    /// Returns a [`NoteError`] if a page or a note in the push is invalid. Whatever
    /// precedes it in the push stays applied.
    pub fn receive(&mut self, push: &RulesPush) -> Result<PushOutcome, NoteError> {
        self.observe_version(push.version);
        let before = self.version();
        let outcome = match &push.page {
            Some(page) => self.receive_page(page)?,
            None => PushOutcome::Unchanged,
        };
        for bytes in &push.notes {
            self.receive_note(bytes)?;
        }
        let after = self.version();
        Ok(if after > before {
            PushOutcome::Applied(after)
        } else {
            outcome
        })
    }

    /// Applies a note if it has the next number; the log ignores any other.
    fn receive_note(&mut self, bytes: &[u8]) -> Result<(), NoteError> {
        match self.log.offer(0, bytes) {
            OfferOutcome::Refused(e) => Err(e),
            _ => Ok(()),
        }
    }

    fn receive_page(&mut self, page: &Page) -> Result<PushOutcome, NoteError> {
        let usable = page.version > self.version() && (1..=MAX_PAGES).contains(&page.count);
        if !usable {
            return Ok(PushOutcome::Unchanged);
        }
        let is_same_copy = |partial: &PartialCopy| partial.version == page.version;
        let mut partial = match self.partial.take_if(|partial| is_same_copy(partial)) {
            Some(partial) => partial,
            None if page.index == 0 => PartialCopy::new(page.version),
            None => return Ok(PushOutcome::Unchanged),
        };
        if page.index as usize == partial.pages.len() {
            partial.pages.push(page.clone());
        }
        if partial.pages.len() < page.count as usize {
            self.partial = Some(partial);
            return Ok(PushOutcome::Partial);
        }
        let rules = Rules::from_pages(partial.version, &partial.pages)?;
        self.log = NoteLog::from_base(rules);
        Ok(PushOutcome::Applied(self.version()))
    }
}

impl PartialCopy {
    const fn new(version: u64) -> Self {
        let pages = Vec::new();
        Self { version, pages }
    }
}
