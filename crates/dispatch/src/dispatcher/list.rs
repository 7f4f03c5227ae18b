//! The list of endpoints and what changes in it.

use {
    super::Dispatcher,
    crate::{
        change::EndpointChange,
        cold::ColdSource,
        endpoint::Endpoint,
        request::{Assignment, Eligibility, EndpointHandle},
    },
    directory::{BuildId, ListedEndpoint},
    model::{Name, Time},
    std::collections::HashSet,
};

/// The maximum number of runs of endpoints that are remembered.
const MAX_KNOWN_RUNS: usize = 16_384;

impl Dispatcher {
    /// Returns whether a service has an endpoint that accepts new requests, now or later.
    /// With `build`, it must have that software version.
    pub fn has_endpoints(&self, service: &Name, build: Option<BuildId>) -> bool {
        self.has_endpoints_in(service, build, None)
    }

    /// Like [`Dispatcher::has_endpoints`], for an endpoint in one of `regions`. `None` allows all.
    pub fn has_endpoints_in(
        &self,
        service: &Name,
        build: Option<BuildId>,
        regions: Option<&[Name]>,
    ) -> bool {
        let eligibility = Eligibility { build, regions };
        self.services.get(service).is_some_and(|it| it.has_endpoints(eligibility))
    }

    /// Returns the list of endpoints.
    pub fn endpoints(&self) -> Vec<ListedEndpoint> {
        let endpoints = self.services.values().flat_map(|it| &it.endpoints);
        endpoints.map(|it| it.listed.clone()).collect()
    }

    /// Returns the service and the incarnation of each endpoint.
    pub fn incarnations(&self) -> Vec<(Name, u64)> {
        let services = self.services.iter();
        let endpoints =
            services.flat_map(|(name, it)| it.endpoints.iter().map(move |it| (name, it)));
        endpoints.map(|(name, it)| (name.clone(), it.incarnation())).collect()
    }

    /// Returns the service of an endpoint and how to send a request there, also if its domain is
    /// evacuated. [`Dispatcher::accepts`] says whether it may be sent one.
    pub fn find(&self, now: Time, incarnation: u64) -> Option<(Name, Assignment)> {
        self.services.iter().find_map(|(name, service)| {
            let found = service.endpoints.iter().find(|it| it.incarnation() == incarnation)?;
            Some((name.clone(), found.assignment(now, 0)))
        })
    }

    /// Replaces the list of endpoints. Returns what changed.
    pub fn update_endpoints(&mut self, listed_endpoints: &[ListedEndpoint]) -> Vec<EndpointChange> {
        let mut changes = Vec::new();
        let listed: HashSet<_> = listed_endpoints.iter().map(|it| &it.id).collect();
        for service in self.services.values_mut() {
            service.endpoints.retain(|it| {
                let kept = listed.contains(&it.listed.id);
                if !kept {
                    changes.push(EndpointChange::Removed(it.listed.id.clone()));
                    self.service_names.remove(&it.handle);
                    self.unlisted_notices.record(it.incarnation(), it.notice);
                }
                kept
            });
        }
        listed_endpoints.iter().for_each(|it| changes.extend(self.update_endpoint(it)));
        self.record_runs();
        changes
    }

    /// Remembers which runs of endpoints have been listed.
    fn record_runs(&mut self) {
        let runs: HashSet<_> = self.incarnations().into_iter().map(|it| it.1).collect();
        let known = self.known_runs.get_or_insert_default();
        if known.len() + runs.len() > MAX_KNOWN_RUNS {
            known.clear();
        }
        known.extend(runs);
    }

    /// Returns why an endpoint that was added may be cold. The first list says nothing about it, and
    /// an endpoint whose start time is known was not restarted while it was not listed.
    fn new_source(&self, endpoint: &Endpoint, is_restart: bool) -> Option<ColdSource> {
        let known = self.known_runs.as_ref()?;
        if is_restart {
            return Some(ColdSource::Restarted);
        }
        let has_start = endpoint.listed.started_at_ms.is_some();
        let is_known = has_start && known.contains(&endpoint.incarnation());
        (!is_known).then_some(ColdSource::Added)
    }

    fn update_endpoint(&mut self, listed: &ListedEndpoint) -> Option<EndpointChange> {
        let found = self.find_by_id(&listed.id);
        let Some((service, handle)) = found else {
            self.add_endpoint(listed.clone(), false);
            return Some(EndpointChange::Added(listed.clone()));
        };
        let endpoint = self.services.get_mut(&service)?.get_mut(handle)?;
        let restarted = endpoint
            .listed
            .started_at_ms
            .zip(listed.started_at_ms)
            .is_some_and(|(old, new)| old != new);
        let updated = endpoint
            .listed
            .build
            .as_ref()
            .zip(listed.build.as_ref())
            .is_some_and(|it| it.0 != it.1);
        let replaced = restarted || updated;
        if endpoint.listed.addr != listed.addr || service != listed.service || replaced {
            self.remove(&service, handle);
            self.add_endpoint(listed.clone(), true);
            return Some(EndpointChange::Restarted(listed.id.clone()));
        }
        let starts_draining = listed.draining && !endpoint.listed.draining;
        endpoint.listed = listed.clone();
        self.domain_rules.apply(endpoint);
        starts_draining.then(|| EndpointChange::Draining(listed.id.clone()))
    }

    fn add_endpoint(&mut self, listed: ListedEndpoint, is_restart: bool) {
        self.last_handle += 1;
        let handle = EndpointHandle(self.last_handle);
        let name = listed.service.clone();
        self.service_names.insert(handle, name.clone());
        let mut endpoint = Endpoint::new(handle, listed);
        endpoint.notice = self.unlisted_notices.take(endpoint.incarnation());
        self.domain_rules.apply(&mut endpoint);
        let source = self.new_source(&endpoint, is_restart);
        self.new_endpoints.extend(source.map(|it| (handle, it)));
        let service = self.services.entry(name).or_default();
        endpoint.set_cold_share(Time(0), service.cold_rate, &self.fleet);
        service.endpoints.push(endpoint);
    }

    fn remove(&mut self, service: &Name, handle: EndpointHandle) {
        self.service_names.remove(&handle);
        if let Some(service) = self.services.get_mut(service) {
            let removed = service.endpoints.extract_if(.., |it| it.handle == handle);
            removed.for_each(|it| self.unlisted_notices.record(it.incarnation(), it.notice));
        }
    }

    fn find_by_id(&self, id: &Name) -> Option<(Name, EndpointHandle)> {
        self.services.iter().find_map(|(name, service)| {
            let found = service.endpoints.iter().find(|it| it.listed.id == *id)?;
            Some((name.clone(), found.handle))
        })
    }
}
