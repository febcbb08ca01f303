//! Catch-up by snapshot, in parts.

use crate::{
    Body, Effect, InstallSnapshot, InstallSnapshotReply, Raft, Snapshot,
    progress::{Mode, Progress},
};
use bytes::{Bytes, BytesMut};
use pimento_core::{Time, VmId};

/// A snapshot that is being received.
#[derive(Debug)]
pub(crate) struct Partial {
    index: u64,
    term: u64,
    data: BytesMut,
}

impl Raft {
    /// The next part of the snapshot for a replica that lags too far.
    pub(crate) fn part(&self, peer: &Progress) -> Option<(Mode, InstallSnapshot)> {
        let snapshot = self.log.snapshot.as_ref()?;
        let offset = match peer.mode {
            Mode::Snapshot { index, offset } if index == snapshot.index => offset,
            _ => 0,
        };
        let total_bytes = snapshot.data.len() as u64;
        let begin = usize::try_from(offset.min(total_bytes)).ok()?;
        let end = (begin + self.config.batch_bytes).min(snapshot.data.len());
        let install = InstallSnapshot {
            last_index: snapshot.index,
            last_term: snapshot.term,
            members: snapshot.members.clone(),
            offset: begin as u64,
            total_bytes,
            data: snapshot.data.slice(begin..end),
        };
        let index = snapshot.index;
        Some((Mode::Snapshot { index, offset }, install))
    }

    pub(crate) fn install(&mut self, now: Time, from: &VmId, install: InstallSnapshot) {
        if !self.hear_leader(now, from) {
            return;
        }
        if install.last_index <= self.commit {
            self.partial = None;
            self.verified = self.verified.max(self.commit);
            self.acknowledge();
            return;
        }
        let Some(data) = self.gather(from, &install) else {
            return;
        };
        self.restore(Snapshot {
            index: install.last_index,
            term: install.last_term,
            members: install.members,
            data,
        });
        self.acknowledge();
    }

    /// Adds a part; the whole once it is complete.
    fn gather(&mut self, from: &VmId, install: &InstallSnapshot) -> Option<Bytes> {
        let key = (install.last_index, install.last_term);
        let known = self.partial.take();
        let mut partial = known
            .filter(|p| (p.index, p.term) == key)
            .unwrap_or_else(|| Partial {
                index: install.last_index,
                term: install.last_term,
                data: BytesMut::new(),
            });
        if partial.data.len() as u64 == install.offset {
            partial.data.extend_from_slice(&install.data);
        }
        let offset = partial.data.len() as u64;
        if offset == install.total_bytes {
            return Some(partial.data.freeze());
        }
        self.partial = Some(partial);
        let last_index = install.last_index;
        let reply = InstallSnapshotReply { last_index, offset };
        self.send_held(from, Body::InstallSnapshotReply(reply));
        None
    }

    fn restore(&mut self, snapshot: Snapshot) {
        let (index, data) = (snapshot.index, snapshot.data.clone());
        self.forget_after(self.commit);
        self.log.reset(snapshot);
        self.unsaved.clear();
        self.replaced = true;
        self.commit = index;
        self.verified = self.verified.max(index);
        self.emit(Effect::Restore { index, data });
    }

    pub(crate) fn install_reply(
        &mut self,
        now: Time,
        from: &VmId,
        folder_id: u64,
        reply: &InstallSnapshotReply,
    ) {
        let Some(at) = self.known_peer(now, from, folder_id) else {
            return;
        };
        let peer = &mut self.peers[at];
        let Mode::Snapshot { index, offset } = peer.mode else {
            return;
        };
        if index == reply.last_index && offset != reply.offset {
            let offset = reply.offset;
            peer.mode = Mode::Snapshot { index, offset };
            self.send_part(at);
        }
    }
}
