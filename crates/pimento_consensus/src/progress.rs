//! What a leader knows of another replica.

use crate::Member;
use pimento_core::{Time, VmId};

/// How a leader sends to a replica.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Mode {
    /// One append at a time, until the logs are known to meet.
    Probe,
    /// Several appends under way.
    Pipeline,
    /// Parts of the snapshot with an index, from an offset on.
    Snapshot { index: u64, offset: u64 },
}

/// What a leader knows of another replica.
#[derive(Clone, Debug)]
pub(crate) struct Progress {
    pub vm: VmId,
    /// The data folder that it showed, or 0.
    pub folder_id: u64,
    /// The last entry known to be durable there.
    pub matched: u64,
    /// The next entry to send.
    pub next: u64,
    pub mode: Mode,
    /// The last index of each append under way.
    pub flight: Vec<u64>,
    /// The newest message from it.
    pub heard: Time,
    /// The newest round that it echoed.
    pub round: u64,
}

impl Progress {
    pub(crate) fn new(vm: VmId, next: u64, now: Time) -> Self {
        Self {
            vm,
            folder_id: 0,
            matched: 0,
            next,
            mode: Mode::Probe,
            flight: Vec::new(),
            heard: now,
            round: 0,
        }
    }

    /// Whether a message with this data folder is from the replica that the
    /// members name; a learner that lost its disk starts again.
    pub(crate) fn admits(&mut self, member: &Member, folder_id: u64) -> bool {
        if member.folder_id != 0 {
            self.folder_id = member.folder_id;
            return folder_id == member.folder_id;
        }
        if self.folder_id != folder_id {
            self.folder_id = folder_id;
            self.matched = 0;
            self.mode = Mode::Probe;
            self.flight.clear();
        }
        true
    }

    /// Notes that all entries up to an index are durable there.
    pub(crate) fn accept(&mut self, index: u64) {
        self.matched = self.matched.max(index);
        self.next = self.next.max(self.matched + 1);
        self.flight.retain(|last| *last > index);
        match self.mode {
            Mode::Snapshot { index: at, .. } if self.matched < at => {}
            _ => self.mode = Mode::Pipeline,
        }
    }

    /// Goes back to where the logs may meet.
    pub(crate) fn refuse(&mut self, hint: u64) {
        if matches!(self.mode, Mode::Snapshot { .. }) {
            return;
        }
        self.next = (hint + 1).clamp(self.matched + 1, self.next.max(self.matched + 1));
        self.mode = Mode::Probe;
        self.flight.clear();
    }

    /// Whether another append may be sent before an answer comes.
    pub(crate) fn free(&self, window: usize) -> bool {
        match self.mode {
            Mode::Probe => self.flight.is_empty(),
            Mode::Pipeline => self.flight.len() < window,
            Mode::Snapshot { .. } => false,
        }
    }
}
