//! Transfer of a snapshot to a lagging replica, in chunks.

use crate::{
    Body, Effect, InstallSnapshot, InstallSnapshotReply, Raft, Snapshot,
    progress::{Progress, ReplicationMode},
};
use bytes::{Bytes, BytesMut};
use pimento_core::{Time, VmId};

/// A snapshot of which some chunks have arrived.
#[derive(Debug)]
pub(crate) struct PartialSnapshot {
    index: u64,
    term: u64,
    data: BytesMut,
}

impl Raft {
    /// The next chunk of the snapshot for a peer whose next entry is compacted.
    pub(crate) fn snapshot_chunk(
        &self,
        peer: &Progress,
    ) -> Option<(ReplicationMode, InstallSnapshot)> {
        let snapshot = self.log.snapshot.as_ref()?;
        let offset = match peer.mode {
            ReplicationMode::Snapshot { index, offset } if index == snapshot.index => offset,
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
        Some((ReplicationMode::Snapshot { index, offset }, install))
    }

    pub(crate) fn handle_install(&mut self, now: Time, from: &VmId, install: InstallSnapshot) {
        if !self.record_leader_contact(now, from) {
            return;
        }
        if install.last_index <= self.commit_index {
            self.partial_snapshot = None;
            self.verified_index = self.verified_index.max(self.commit_index);
            self.send_ack();
            return;
        }
        let Some(data) = self.receive_chunk(from, &install) else {
            return;
        };
        self.restore_snapshot(Snapshot {
            index: install.last_index,
            term: install.last_term,
            members: install.members,
            data,
        });
        self.send_ack();
    }

    /// Adds a chunk; returns the snapshot once it is complete.
    fn receive_chunk(&mut self, from: &VmId, install: &InstallSnapshot) -> Option<Bytes> {
        let key = (install.last_index, install.last_term);
        let previous = self.partial_snapshot.take();
        let mut partial = previous
            .filter(|p| (p.index, p.term) == key)
            .unwrap_or_else(|| PartialSnapshot {
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
        self.partial_snapshot = Some(partial);
        let last_index = install.last_index;
        let reply = InstallSnapshotReply { last_index, offset };
        self.send_after_sync(from, Body::InstallSnapshotReply(reply));
        None
    }

    fn restore_snapshot(&mut self, snapshot: Snapshot) {
        let (index, data) = (snapshot.index, snapshot.data.clone());
        self.unmark_durable_after(self.commit_index);
        self.log.reset(snapshot);
        self.unsaved_entries.clear();
        self.rewrites_all = true;
        self.commit_index = index;
        self.verified_index = self.verified_index.max(index);
        self.emit(Effect::Restore { index, data });
    }

    pub(crate) fn handle_install_reply(
        &mut self,
        now: Time,
        from: &VmId,
        folder_id: u64,
        reply: &InstallSnapshotReply,
    ) {
        let Some(at) = self.record_peer_contact(now, from, folder_id) else {
            return;
        };
        let peer = &mut self.peers[at];
        let ReplicationMode::Snapshot { index, offset } = peer.mode else {
            return;
        };
        if index == reply.last_index && offset != reply.offset {
            let offset = reply.offset;
            peer.mode = ReplicationMode::Snapshot { index, offset };
            self.send_snapshot_chunk(at);
        }
    }
}
