//! Requests that wait for room on an endpoint of this router.

use {
    crate::owned::{NotStarted, Owned, Turn},
    admission::{Capacity, FairQueue, QueueConfig, QueuedRequest},
    model::{EndpointId, Refusal, RequestId, SECOND, Time},
    placement::{RendezvousHash, StartRequest},
    smallvec::SmallVec,
    std::sync::Arc,
    tokio::sync::oneshot,
};

/// A queue that has not moved for so long although nothing runs is given up, in microseconds.
const STALL_US: u64 = SECOND / 4;

/// A request that waits for room.
pub(super) struct Queued {
    start: StartRequest,
    homes: Arc<RendezvousHash>,
    struck: bool,
    turn: oneshot::Sender<Turn>,
}

impl Owned {
    /// Queues a request until there is room; its turn comes over the returned channel.
    pub(crate) fn wait(
        &mut self,
        now: Time,
        waiting: QueuedRequest,
        start: StartRequest,
        homes: Arc<RendezvousHash>,
        struck: bool,
    ) -> Result<oneshot::Receiver<Turn>, Refusal> {
        let fresh = || FairQueue::new(now, QueueConfig::default());
        self.queues.entry(start.endpoint).or_insert_with(fresh).enqueue(now, waiting)?;
        let (turn, receiver) = oneshot::channel();
        self.waiting.insert((start.endpoint, start.request), Queued { start, homes, struck, turn });
        self.serve_queue(now, start.endpoint);
        Ok(receiver)
    }

    /// Takes a request out of the queue whose caller went away.
    pub(crate) fn cancel(&mut self, endpoint: EndpointId, request: RequestId) {
        if self.waiting.remove(&(endpoint, request)).is_some()
            && let Some(queue) = self.queues.get_mut(&endpoint)
        {
            queue.cancel(request);
        }
    }

    /// Takes out what waited too long, and starts what has room; to be called several times a second.
    pub(crate) fn tick(&mut self, now: Time) {
        let busy: SmallVec<[EndpointId; 16]> =
            self.queues.iter().filter(|it| !it.1.is_empty()).map(|it| *it.0).collect();
        for endpoint in busy {
            self.expire(now, endpoint);
            self.serve_queue(now, endpoint);
        }
        self.suspects.expire(now);
    }

    fn expire(&mut self, now: Time, endpoint: EndpointId) {
        let Some(queue) = self.queues.get_mut(&endpoint) else { return };
        for (request, refusal) in queue.expire(now) {
            self.tell(endpoint, request, Err(NotStarted::Refused(refusal)));
        }
    }

    pub(super) fn serve_queue(&mut self, now: Time, endpoint: EndpointId) {
        let Some(queue) = self.queues.get_mut(&endpoint).filter(|it| !it.is_empty()) else {
            return;
        };
        let room = self.table.headroom(now, &self.member, endpoint);
        if room == placement::Headroom::NONE && self.table.running_count(endpoint) == 0 {
            return self.stall(now, endpoint);
        }
        self.stalled.remove(&endpoint);
        let starts = queue.dispatch(now, Capacity { work: room.work, idle: room.single_request });
        for (request, _) in starts {
            let Some(queued) = self.waiting.get(&(endpoint, request)) else { continue };
            let (start, homes, struck) = (queued.start, queued.homes.clone(), queued.struck);
            let turn = self.start(now, &homes, &start, struck);
            self.tell(endpoint, request, turn);
        }
    }

    /// Sends what waits elsewhere once the queue has not moved for a while although this router runs nothing there:
    /// the endpoint is leaving, its owner changes, or its room belongs to missing routers.
    fn stall(&mut self, now: Time, endpoint: EndpointId) {
        let since = *self.stalled.entry(endpoint).or_insert(now);
        if now.since(since) < STALL_US {
            return;
        }
        self.stalled.remove(&endpoint);
        let waiting = self.waiting.keys().filter(|it| it.0 == endpoint);
        let waiting: SmallVec<[RequestId; 8]> = waiting.map(|it| it.1).collect();
        for request in waiting {
            if let Some(queue) = self.queues.get_mut(&endpoint) {
                queue.cancel(request);
            }
            self.tell(endpoint, request, Err(NotStarted::Elsewhere(SmallVec::new())));
        }
    }

    /// Tells a waiting request its turn. Its receiver is there: it leaves the queue before it goes (see `owner`).
    fn tell(&mut self, endpoint: EndpointId, request: RequestId, turn: Turn) {
        if let Some(queued) = self.waiting.remove(&(endpoint, request)) {
            let _ = queued.turn.send(turn);
        }
    }
}
