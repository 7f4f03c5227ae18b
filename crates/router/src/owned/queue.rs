//! Attempts that are queued for capacity on an endpoint of this router.

use {
    crate::owned::{OwnedEndpoints, QueueOutcome, StartError},
    admission::{Capacity, FairQueue, QueueConfig, QueuedRequest},
    model::{EndpointId, Refusal, RequestId, SECOND, Time},
    placement::{RendezvousHash, StartRequest},
    smallvec::SmallVec,
    std::sync::Arc,
    tokio::sync::oneshot,
};

/// Time without progress, while nothing runs on the endpoint, after which a queue is emptied, in microseconds.
const STALL_TIMEOUT_US: u64 = SECOND / 4;

/// An attempt that waits for capacity.
pub(super) struct QueuedAttempt {
    start: StartRequest,
    rendezvous: Arc<RendezvousHash>,
    suspected: bool,
    outcome: oneshot::Sender<QueueOutcome>,
}

impl OwnedEndpoints {
    /// Queues an attempt until there is capacity; the result is sent to the returned channel.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the queue does not accept the request.
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

    /// Removes the attempt of a caller that disconnected from its queue.
    pub(crate) fn cancel_queued(&mut self, endpoint: EndpointId, request: RequestId) {
        if self.queued.remove(&(endpoint, request)).is_some()
            && let Some(queue) = self.queues.get_mut(&endpoint)
        {
            queue.cancel(request);
        }
    }

    /// Removes expired attempts from the queues and starts those that have capacity. Must be called several times a second.
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

    /// Redirects all queued attempts to other endpoints once a queue has made no progress for [`STALL_TIMEOUT_US`] although
    /// this router runs nothing on the endpoint. This happens if the endpoint is draining, its owner changes, or its
    /// capacity is reserved for missing routers.
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

    /// Sends the result to a queued attempt. Its receiver still exists, because the attempt is removed from the queue
    /// before the receiver is dropped (see `QueueSlot` in `owner`).
    fn notify(&mut self, endpoint: EndpointId, request: RequestId, outcome: QueueOutcome) {
        if let Some(queued) = self.queued.remove(&(endpoint, request)) {
            let _ = queued.outcome.send(outcome);
        }
    }
}
