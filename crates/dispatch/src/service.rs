//! The endpoints of one service, its waiting requests, and the times that its requests take.

use {
    crate::{
        admission::WaitQueue,
        demand::Demands,
        endpoint::Endpoint,
        limit::Limit,
        placement::Placement,
        request::{DispatchRequest, EndpointHandle},
        work::WorkEstimate,
    },
    derive_more::Debug,
    directory::BuildId,
    model::{Domain, MILLISECOND, Time},
};

/// The weight of one request in the moving average of the time that requests run.
const RUN_MS_WEIGHT: f64 = 0.05;

/// The assumed time that an endpoint runs a request before any has ended, in milliseconds.
const INITIAL_RUN_MS: f64 = 200.0;

/// How long the capacity of a service is used before it is summed up again, in microseconds.
const CAPACITY_TTL: u64 = 10 * MILLISECOND;

/// The slots of a service's open endpoints, and the requests that run there.
#[derive(Clone, Copy, PartialEq, Default, Debug)]
pub(crate) struct Capacity {
    pub(crate) slots: u32,
    /// The running requests of all routers.
    pub(crate) running: u32,
    /// Those of this router.
    pub(crate) own: u32,
    /// Whether an endpoint takes requests now and at any rate.
    is_open: bool,
    /// Whether no endpoint will open by itself.
    is_settled: bool,
}

/// The fewest tokens and the latest start of a request for which there was no room.
pub(crate) type NoRoom = Option<(u32, Time)>;

/// A service's endpoints and waiting requests.
#[derive(Default, Debug)]
pub(crate) struct Service {
    pub(crate) endpoints: Vec<Endpoint>,
    /// The number of tokens that fit into each endpoint's memory, if the service runs a model.
    pub(crate) kv_capacity: Option<u64>,
    pub(crate) queue: WaitQueue,
    /// The mean time that an endpoint runs a request, without the time that it queues it, in
    /// milliseconds. `None` before any has ended.
    run_ms: Option<f64>,
    pub(crate) work: WorkEstimate,
    pub(crate) demands: Demands,
    capacity: Option<(Capacity, Time)>,
    /// What had no room, and when. Nothing has ended since.
    no_room: Option<(NoRoom, Time)>,
}

impl Service {
    pub(crate) fn get_mut(&mut self, handle: EndpointHandle) -> Option<&mut Endpoint> {
        self.endpoints.iter_mut().find(|it| it.handle == handle)
    }

    /// Returns the endpoints that take new requests, now or later. With `build`, they are those of
    /// that software version.
    fn staying(&self, build: Option<BuildId>) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.iter().filter(move |it| it.is_staying() && it.has_build(build))
    }

    /// Returns whether an endpoint takes new requests, now or later.
    pub(crate) fn has_endpoints(&self, build: Option<BuildId>) -> bool {
        self.staying(build).next().is_some()
    }

    /// Returns when the first endpoint takes new requests.
    pub(crate) fn opens_at(&self, build: Option<BuildId>) -> Time {
        let staying = self.staying(build);
        staying.map(Endpoint::opens_at).min().unwrap_or(Time::NEVER)
    }

    /// Returns how long requests wait at least behind `ahead` others because of the limits of
    /// endpoints, in milliseconds.
    pub(crate) fn limit_wait_ms(&self, build: Option<BuildId>, ahead: usize) -> u64 {
        let limits = || self.staying(build).map(|it| &it.notice.limit);
        if limits().any(|it| it.rate().is_none()) {
            return 0;
        }
        let rate: f64 = limits().map(Limit::share).sum();
        if rate > 0.0 { (ahead as f64 / rate * 1_000.0) as u64 } else { 0 }
    }

    /// Returns when the first endpoint takes new requests, or an earlier time if one does now.
    pub(crate) fn next_opening(&mut self, now: Time, build: Option<BuildId>) -> Time {
        if self.capacity(now, build).is_open { Time(0) } else { self.opens_at(build) }
    }

    /// Returns the capacity of the open endpoints. That of all is summed up now and then only.
    pub(crate) fn capacity(&mut self, now: Time, build: Option<BuildId>) -> Capacity {
        let fresh = self.capacity.filter(|it| build.is_none() && now.since(it.1) < CAPACITY_TTL);
        if let Some((capacity, _)) = fresh {
            return capacity;
        }
        let ready = self.endpoints.iter().filter(|it| it.is_open(now) && it.has_build(build));
        let capacity = ready.fold(Capacity::default(), |sum, it| Capacity {
            slots: sum.slots.saturating_add(it.listed.slots),
            running: sum.running.saturating_add(it.load.requests(now)),
            own: sum.own + it.load.own.requests,
            is_open: sum.is_open || it.notice.limit.rate().is_none(),
            is_settled: false,
        });
        let is_settled = self.endpoints.iter().all(|it| it.is_open(now) || !it.is_staying());
        let capacity = Capacity { is_settled, ..capacity };
        if build.is_none() {
            self.capacity = Some((capacity, now));
        }
        capacity
    }

    /// Returns what had no room a moment ago.
    pub(crate) fn no_room(&self, now: Time) -> NoRoom {
        let is_settled = self.capacity.is_some_and(|it| it.0.is_settled);
        let fresh = self.no_room.filter(|it| is_settled && now.since(it.1) < CAPACITY_TTL);
        fresh.and_then(|it| it.0)
    }

    /// Records what has no room.
    pub(crate) fn set_no_room(&mut self, now: Time, no_room: NoRoom) {
        if no_room != self.no_room(now) {
            self.no_room = Some((no_room, now));
        }
    }

    /// Forgets what had no room, as some may have become free.
    pub(crate) fn forget_no_room(&mut self) {
        self.no_room = None;
    }

    /// Forgets sums of the endpoints, which have changed.
    pub(crate) fn invalidate(&mut self) {
        (self.capacity, self.no_room) = (None, None);
    }

    /// Adds a request of this router to the capacity in use, or removes one.
    pub(crate) fn change_capacity(&mut self, change: i32) {
        if change < 0 {
            self.no_room = None;
        }
        if let Some((capacity, _)) = &mut self.capacity {
            capacity.running = capacity.running.saturating_add_signed(change);
            capacity.own = capacity.own.saturating_add_signed(change);
        }
    }

    /// Returns the expected run of a request, in milliseconds.
    pub(crate) fn expected_run_ms(&self, request: &DispatchRequest) -> f64 {
        self.work.run_ms(request, self.run_ms.unwrap_or(INITIAL_RUN_MS))
    }

    /// Returns the estimated time until a request starts behind `ahead` requests that run for
    /// `ahead_ms` milliseconds together, for one of `routers`, in milliseconds.
    pub(crate) fn wait_ms(
        &mut self,
        now: Time,
        build: Option<BuildId>,
        (ahead, ahead_ms): (usize, f64),
        routers: usize,
    ) -> u64 {
        let opens_at = self.next_opening(now, build);
        if opens_at > now {
            let opens_ms = opens_at.since(now).div_ceil(MILLISECOND);
            return opens_ms.saturating_add(self.limit_wait_ms(build, ahead));
        }
        let Capacity { slots, running, own, .. } = self.capacity(now, build);
        let first_ms = self.run_ms.unwrap_or(INITIAL_RUN_MS);
        // What ends is started anew by the router that sent it.
        let share = (f64::from(own) / f64::from(running.max(1))).max(1.0 / routers as f64);
        let freed = f64::from(running.min(slots).max(1)) * share;
        ((ahead_ms + first_ms) / freed).ceil() as u64
    }

    /// Records that an endpoint answered a request `service_ms` milliseconds after it was sent.
    pub(crate) fn record_service_time(
        &mut self,
        now: Time,
        handle: EndpointHandle,
        service_ms: f64,
    ) {
        let Some(endpoint) = self.get_mut(handle) else { return };
        // The requests on the endpoint shared its slots with this one.
        let slots = f64::from(endpoint.listed.slots.max(1));
        let crowding = (f64::from(endpoint.load.requests(now) + 1) / slots).max(1.0);
        let run_ms = service_ms / crowding;
        let mean_ms = self.run_ms.unwrap_or(run_ms);
        self.run_ms = Some(mean_ms + (run_ms - mean_ms) * RUN_MS_WEIGHT);
    }

    /// Returns the choice of an endpoint for a router in `local_domain`, which is one of `routers`.
    pub(crate) fn placement<'a>(
        &'a self,
        now: Time,
        local_domain: &'a Domain,
        routers: usize,
    ) -> Placement<'a> {
        let Service { endpoints, kv_capacity, run_ms, .. } = self;
        Placement {
            now,
            local_domain,
            routers,
            endpoints,
            kv_capacity: *kv_capacity,
            run_ms: *run_ms,
        }
    }
}
