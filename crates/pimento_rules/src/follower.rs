//! Keeping a VM's rules in step with the control group.

use crate::{NoteError, NoteLog, OfferOutcome, Page, Rules, RulesPull, RulesPush, push::MAX_PAGES};
use std::sync::Arc;

/// What a push did.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PushOutcome {
    /// Nothing new was in it.
    Unchanged,
    /// A page of a full copy was taken; the next one is needed.
    Partial,
    /// The rules went forward to this version.
    Applied(u64),
}

/// The rules of an entry VM, which only ever go forward.
///
/// Pushes may be lost, repeated and reordered: whatever does not follow on
/// directly is ignored, and [`Self::pull`] asks for what is missing. The book
/// inside lets the VM answer its peers. See `docs/design/notes.md`.
#[derive(Debug, Default)]
pub struct Follower {
    book: NoteLog,
    newest: u64,
    partial: Option<Partial>,
}

/// A full copy that is being received.
#[derive(Debug)]
struct Partial {
    version: u64,
    pages: Vec<Page>,
}

impl Follower {
    /// The rules in force.
    pub fn rules(&self) -> Arc<Rules> {
        Arc::clone(self.book.rules())
    }

    /// The version in force.
    pub fn version(&self) -> u64 {
        self.book.version()
    }

    /// The newest version that this VM has heard of.
    pub fn newest_version(&self) -> u64 {
        self.newest.max(self.version())
    }

    /// Notes the version that a heartbeat carries.
    pub fn observe_version(&mut self, version: u64) {
        self.newest = self.newest.max(version);
    }

    /// What to ask a peer or a control VM for; none if nothing is missing.
    pub fn pull_if_behind(&self) -> Option<RulesPull> {
        (self.newest > self.version()).then(|| self.next_pull())
    }

    /// The request for whatever is newer, also if nothing newer was heard of.
    pub fn next_pull(&self) -> RulesPull {
        let partial = self.partial.as_ref();
        RulesPull {
            version: self.version(),
            copy_version: partial.map_or(0, |partial| partial.version),
            next_page: partial.map_or(0, |partial| partial.pages.len() as u32),
        }
    }

    /// Answers a peer that asks for what it lacks.
    pub fn answer_pull(&self, pull: &RulesPull) -> RulesPush {
        self.book.answer_pull(pull)
    }

    /// Takes what a push brings, if it leads forward.
    ///
    /// # Errors
    ///
    /// Returns a [`NoteError`] if the push is damaged; the rules stay.
    pub fn receive(&mut self, push: &RulesPush) -> Result<PushOutcome, NoteError> {
        self.observe_version(push.version);
        let before = self.version();
        let step = match &push.page {
            Some(page) => self.take_page(page)?,
            None => PushOutcome::Unchanged,
        };
        for bytes in &push.notes {
            self.take_note(bytes)?;
        }
        let now = self.version();
        Ok(if now > before {
            PushOutcome::Applied(now)
        } else {
            step
        })
    }

    /// Takes a note if it is the next one; the book ignores any other.
    fn take_note(&mut self, bytes: &[u8]) -> Result<(), NoteError> {
        match self.book.offer(0, bytes) {
            OfferOutcome::Refused(e) => Err(e),
            _ => Ok(()),
        }
    }

    fn take_page(&mut self, page: &Page) -> Result<PushOutcome, NoteError> {
        let usable = page.version > self.version() && (1..=MAX_PAGES).contains(&page.count);
        if !usable {
            return Ok(PushOutcome::Unchanged);
        }
        let same = |partial: &Partial| partial.version == page.version;
        let mut partial = match self.partial.take_if(|partial| same(partial)) {
            Some(partial) => partial,
            None if page.index == 0 => Partial::new(page.version),
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
        self.book = NoteLog::from_base(rules);
        Ok(PushOutcome::Applied(self.version()))
    }
}

impl Partial {
    const fn new(version: u64) -> Self {
        let pages = Vec::new();
        Self { version, pages }
    }
}
