//! Sending a snapshot in pieces to a replica that needs entries which are no longer held.

use {
    crate::{
        core::{Core, Role},
        entry::Snapshot,
        event::Actions,
        message::Message,
    },
    bytes::BytesMut,
    derive_more::Debug,
    model::{ReplicaId, Time},
};

/// A snapshot on its way to a replica.
#[derive(Debug)]
pub(crate) struct Transfer {
    pub(crate) snapshot: Snapshot,
    offset: u64,
}

/// A snapshot that is arriving.
#[derive(Debug)]
pub(crate) struct Partial {
    head: Snapshot,
    #[debug("{} bytes", data.len())]
    data: BytesMut,
}

impl Core {
    /// Sends the piece that a replica wants next, if it was not sent before or `again` is set.
    pub(crate) fn transfer(
        &mut self,
        now: Time,
        to: ReplicaId,
        again: bool,
        actions: &mut Actions,
    ) {
        let chunk = self.config.chunk;
        let Role::Leader(lead) = &mut self.role else { return };
        let Some(peer) = lead.peers.get_mut(&to) else { return };
        if peer.transfer.is_some() && !again {
            return;
        }
        let snapshot = &self.snapshot;
        let transfer =
            peer.transfer.get_or_insert_with(|| Transfer { snapshot: snapshot.clone(), offset: 0 });
        let Snapshot { index, term, members, data } = transfer.snapshot.clone();
        let from = (transfer.offset as usize).min(data.len());
        let piece = data.slice(from..data.len().min(from + chunk));
        let message = Message::Chunk {
            index,
            term,
            members,
            offset: from as u64,
            total: data.len() as u64,
            data: piece,
            sent: now,
        };
        self.send_now(to, message, actions);
    }

    /// Adds a piece; `head` holds the piece in place of the whole state.
    pub(crate) fn on_chunk(
        &mut self,
        from: ReplicaId,
        head: Snapshot,
        offset: u64,
        total: u64,
        sent: Time,
        actions: &mut Actions,
    ) {
        let index = head.index;
        if index <= self.commit || self.log.term(index) == Some(head.term) {
            self.partial = None;
            self.commit_to(index, actions);
            self.send(from, Message::Appended { matched: index, sent }, actions);
            return;
        }
        let piece = head.data.clone();
        let same = |it: &Partial| (it.head.index, it.head.term) == (index, head.term);
        if !self.partial.as_ref().is_some_and(same) {
            self.partial = Some(Partial { head, data: BytesMut::new() });
        }
        let Some(partial) = &mut self.partial else { return };
        if partial.data.len() as u64 == offset {
            partial.data.extend_from_slice(&piece);
        }
        let arrived = partial.data.len() as u64;
        if arrived < total {
            self.send(from, Message::Chunked { index, offset: arrived, sent }, actions);
            return;
        }
        let Some(partial) = self.partial.take() else { return };
        let snapshot = Snapshot { data: partial.data.freeze(), ..partial.head };
        self.install(snapshot, actions);
        self.send(from, Message::Appended { matched: index, sent }, actions);
    }

    pub(crate) fn on_chunked(
        &mut self,
        now: Time,
        from: ReplicaId,
        index: u64,
        offset: u64,
        sent: Time,
        actions: &mut Actions,
    ) {
        let Some(peer) = self.peer(from) else { return };
        peer.acked = peer.acked.max(sent);
        if let Some(transfer) = &mut peer.transfer
            && transfer.snapshot.index == index
            && transfer.offset != offset
        {
            transfer.offset = offset;
            self.transfer(now, from, true, actions);
        }
        self.settle_reads(now, actions);
    }
}
