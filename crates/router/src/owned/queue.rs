//! Requests that wait for room on an endpoint of this router.

use {
    crate::owned::{OwnedEndpoints, QueueOutcome, StartError},
    admission::{Capacity, FairQueue, QueueConfig, QueuedRequest},
    model::{EndpointId, Refusal, RequestId, SECOND, Time},
    placement::{RendezvousHash, StartRequest},
    smallvec::SmallVec,
    std::sync::Arc,
    tokio::sync::oneshot,
};

/// A queue that has not moved for so long although nothing runs is given up, in microseconds.
const STALL_TIMEOUT_US: u64 = SECOND / 4;

/// A request that waits for room.
pub(super) struct QueuedAttempt {
    start: StartRequest,
    rendezvous: Arc<RendezvousHash>,
    suspected: bool,
    outcome: oneshot::Sender<QueueOutcome>,
}

impl OwnedEndpoints {
    /// Queues a request until there is room; its turn comes over the returned channel.
    pub(crate) fn enqueue(
        &mut self,
        now: Time,
        request: QueuedRequest,
        start: StartRequest,
        rendezvous: Arc<RendezvousHash>,
        suspected: bool,
    ) -> Result<oneshot::Receiver<QueueOutcome>, Refusal> {
        let new_queue = || FairQueue::new(now, QueueConfig::default());
        self.queues.entry(start.endpoint).or_insert_with(new_queue).enqueue(now, request)?;
        let (outcome, receiver) = oneshot::channel();
        self.queued.insert(
            (start.endpoint, start.request),
            QueuedAttempt { start, rendezvous, suspected, outcome },
        );
        self.serve_queue(now, start.endpoint);
        Ok(receiver)
    }

    /// Takes a request out of the queue whose caller went away.
    pub(crate) fn cancel_queued(&mut self, endpoint: EndpointId, request: RequestId) {
        if self.queued.remove(&(endpoint, request)).is_some()
            && let Some(queue) = self.queues.get_mut(&endpoint)
        {
            queue.cancel(request);
        }
    }

    /// Takes out what waited too long, and starts what has room; to be called several times a second.
    pub(crate) fn tick(&mut self, now: Time) {
        let nonempty: SmallVec<[EndpointId; 16]> =
            self.queues.iter().filter(|it| !it.1.is_empty()).map(|it| *it.0).collect();
        for endpoint in nonempty {
            self.expire_queued(now, endpoint);
            self.serve_queue(now, endpoint);
        }
        self.suspects.expire(now);
    }

    fn expire_queued(&mut self, now: Time, endpoint: EndpointId) {
        let Some(queue) = self.queues.get_mut(&endpoint) else { return };
        for (request, refusal) in queue.expire(now) {
            self.notify(endpoint, request, Err(StartError::Refused(refusal)));
        }
    }

    pub(super) fn serve_queue(&mut self, now: Time, endpoint: EndpointId) {
        let Some(queue) = self.queues.get_mut(&endpoint).filter(|it| !it.is_empty()) else {
            return;
        };
        let headroom = self.table.headroom(now, &self.membership, endpoint);
        if headroom == placement::Headroom::NONE && self.table.running_count(endpoint) == 0 {
            return self.handle_stall(now, endpoint);
        }
        self.stalled_since.remove(&endpoint);
        let starts =
            queue.dispatch(now, Capacity { work: headroom.work, idle: headroom.single_request });
        for (request, _) in starts {
            let Some(queued) = self.queued.get(&(endpoint, request)) else { continue };
            let (start, rendezvous, suspected) =
                (queued.start, queued.rendezvous.clone(), queued.suspected);
            let outcome = self.try_start(now, &rendezvous, &start, suspected);
            self.notify(endpoint, request, outcome);
        }
    }

    /// Sends what waits elsewhere once the queue has not moved for a while although this router runs nothing there:
    /// the endpoint is leaving, its owner changes, or its room belongs to missing routers.
    fn handle_stall(&mut self, now: Time, endpoint: EndpointId) {
        let since = *self.stalled_since.entry(endpoint).or_insert(now);
        if now.since(since) < STALL_TIMEOUT_US {
            return;
        }
        self.stalled_since.remove(&endpoint);
        let waiting = self.queued.keys().filter(|it| it.0 == endpoint);
        let waiting: SmallVec<[RequestId; 8]> = waiting.map(|it| it.1).collect();
        for request in waiting {
            if let Some(queue) = self.queues.get_mut(&endpoint) {
                queue.cancel(request);
            }
            self.notify(endpoint, request, Err(StartError::NoCapacity(SmallVec::new())));
        }
    }

    /// Tells a waiting request its turn. Its receiver is there: it leaves the queue before it goes (see `owner`).
    fn notify(&mut self, endpoint: EndpointId, request: RequestId, outcome: QueueOutcome) {
        if let Some(queued) = self.queued.remove(&(endpoint, request)) {
            let _ = queued.outcome.send(outcome);
        }
    }
}
