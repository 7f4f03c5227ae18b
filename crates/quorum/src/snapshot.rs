//! Transfer of a snapshot in chunks to a replica that needs entries which the log no longer holds.

use {
    crate::{
        entry::Snapshot,
        event::Actions,
        message::Message,
        raft::{Raft, Role},
    },
    bytes::BytesMut,
    derive_more::Debug,
    model::{ReplicaId, Time},
};

/// A snapshot that is being sent to a replica.
#[derive(Debug)]
pub(crate) struct OutgoingSnapshot {
    pub(crate) snapshot: Snapshot,
    offset: u64,
}

/// A snapshot that is being received.
#[derive(Debug)]
pub(crate) struct IncomingSnapshot {
    header: Snapshot,
    #[debug("{} bytes", data.len())]
    data: BytesMut,
}

impl Raft {
    /// Sends the next chunk of the snapshot to a replica. If a transfer is under way, does so only with `resend`.
    pub(crate) fn send_snapshot_chunk(
        &mut self,
        now: Time,
        to: ReplicaId,
        resend: bool,
        actions: &mut Actions,
    ) {
        let chunk_bytes = self.config.snapshot_chunk_bytes;
        let Role::Leader(leader) = &mut self.role else { return };
        let Some(peer) = leader.peers.get_mut(&to) else { return };
        if peer.outgoing_snapshot.is_some() && !resend {
            return;
        }
        let snapshot = &self.snapshot;
        let transfer = peer
            .outgoing_snapshot
            .get_or_insert_with(|| OutgoingSnapshot { snapshot: snapshot.clone(), offset: 0 });
        let Snapshot { index, term, members, data } = transfer.snapshot.clone();
        let from = (transfer.offset as usize).min(data.len());
        let chunk = data.slice(from..data.len().min(from + chunk_bytes));
        let message = Message::SnapshotChunk {
            index,
            term,
            members,
            offset: from as u64,
            total: data.len() as u64,
            data: chunk,
            sent_at: now,
        };
        self.send_now(to, message, actions);
    }

    /// Handles a chunk, and installs the snapshot once it is complete. The `data` of `header` holds only the chunk.
    pub(crate) fn on_snapshot_chunk(
        &mut self,
        from: ReplicaId,
        header: Snapshot,
        offset: u64,
        total: u64,
        sent_at: Time,
        actions: &mut Actions,
    ) {
        let index = header.index;
        if index <= self.commit_index || self.log.term(index) == Some(header.term) {
            self.incoming_snapshot = None;
            self.commit_to(index, actions);
            self.send_after_sync(
                from,
                Message::AppendAccepted { match_index: index, sent_at },
                actions,
            );
            return;
        }
        let chunk = header.data.clone();
        let same =
            |it: &IncomingSnapshot| (it.header.index, it.header.term) == (index, header.term);
        if !self.incoming_snapshot.as_ref().is_some_and(same) {
            self.incoming_snapshot = Some(IncomingSnapshot { header, data: BytesMut::new() });
        }
        let Some(incoming_snapshot) = &mut self.incoming_snapshot else { return };
        if incoming_snapshot.data.len() as u64 == offset {
            incoming_snapshot.data.extend_from_slice(&chunk);
        }
        let arrived = incoming_snapshot.data.len() as u64;
        if arrived < total {
            self.send_after_sync(
                from,
                Message::SnapshotChunkReceived { index, offset: arrived, sent_at },
                actions,
            );
            return;
        }
        let Some(incoming_snapshot) = self.incoming_snapshot.take() else { return };
        let snapshot =
            Snapshot { data: incoming_snapshot.data.freeze(), ..incoming_snapshot.header };
        self.install_snapshot(snapshot, actions);
        self.send_after_sync(
            from,
            Message::AppendAccepted { match_index: index, sent_at },
            actions,
        );
    }

    pub(crate) fn on_snapshot_chunk_received(
        &mut self,
        now: Time,
        from: ReplicaId,
        index: u64,
        offset: u64,
        sent_at: Time,
        actions: &mut Actions,
    ) {
        let Some(peer) = self.peer(from) else { return };
        peer.acked_sent_at = peer.acked_sent_at.max(sent_at);
        if let Some(transfer) = &mut peer.outgoing_snapshot
            && transfer.snapshot.index == index
            && transfer.offset != offset
        {
            transfer.offset = offset;
            self.send_snapshot_chunk(now, from, true, actions);
        }
        self.complete_reads(now, actions);
    }
}
