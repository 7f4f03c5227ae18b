//! Endpoints that get fewer requests than they have room for, or none: cold ones, and those of evacuated
//! domains and of regions that a request must not reach.

use {
    super::Dispatcher,
    crate::{
        cold::{ColdChange, ColdRate, ColdReport, ColdSource},
        endpoint::Endpoint,
        health::AttemptOutcome,
        request::{Assignment, EndpointHandle},
    },
    model::{Domain, MILLISECOND, Name, Time},
    std::collections::HashMap,
};

impl Dispatcher {
    /// Sets how many requests the cold endpoints of a service take, or `None` if its endpoints are
    /// never cold.
    pub fn set_cold_rate(&mut self, now: Time, service: &Name, rate: Option<ColdRate>) {
        let service = self.services.entry(service.clone()).or_default();
        if std::mem::replace(&mut service.cold_rate, rate) == rate {
            return;
        }
        for endpoint in &mut service.endpoints {
            endpoint.set_cold_share(now, rate, &self.fleet);
            if let Some(until) =
                self.listed_cold.get(&endpoint.listed.id).filter(|_| rate.is_some())
            {
                let phase = self.fleet.phase(endpoint.hash);
                endpoint.notice.cold.begin(now, ColdSource::Listed, *until, phase);
            }
        }
    }

    /// Replaces the listed cold endpoints, each with the time that it stays cold, in milliseconds.
    /// Zero says that the endpoint is not cold. Must be called after
    /// [`Dispatcher::update_endpoints`] if both changed.
    pub fn set_cold(&mut self, now: Time, endpoints: &[(Name, u32)]) {
        self.apply_new_endpoints(now);
        let listed: HashMap<_, _> = endpoints.iter().map(|it| (&it.0, it.1)).collect();
        let until = |ms: u32| now + u64::from(ms) * MILLISECOND;
        self.listed_cold =
            endpoints.iter().filter(|it| it.1 > 0).map(|it| (it.0.clone(), until(it.1))).collect();
        self.update_cold(|endpoint, _, phase| {
            let remaining_ms = listed.get(&endpoint.listed.id).copied();
            endpoint.notice.cold.record_listed(now, remaining_ms, phase);
        });
    }

    /// Updates the endpoints that may be cold. The arguments are the endpoint, the rate of its
    /// service, and the phase of this router.
    pub(super) fn update_cold<F>(&mut self, mut update: F)
    where
        F: FnMut(&mut Endpoint, ColdRate, f64),
    {
        for service in self.services.values_mut() {
            let Some(rate) = service.cold_rate else { continue };
            for endpoint in &mut service.endpoints {
                let phase = self.fleet.phase(endpoint.hash);
                update(endpoint, rate, phase);
            }
        }
    }

    /// Believes endpoints that are new in the list to be cold.
    pub(super) fn apply_new_endpoints(&mut self, now: Time) {
        if self.new_endpoints.is_empty() {
            return;
        }
        let new: HashMap<_, _> = std::mem::take(&mut self.new_endpoints).into_iter().collect();
        let listed = std::mem::take(&mut self.listed_cold);
        self.update_cold(|endpoint, rate, phase| {
            let Some(source) = new.get(&endpoint.handle) else { return };
            let until = now + rate.start_ms * MILLISECOND;
            endpoint.notice.cold.begin(now, *source, until, phase);
            if let Some(until) = listed.get(&endpoint.listed.id) {
                endpoint.notice.cold.begin(now, ColdSource::Listed, *until, phase);
            }
        });
        self.listed_cold = listed;
    }

    /// Records how much longer the endpoint of a request is cold, as it stated itself.
    pub fn record_cold(&mut self, now: Time, sent: &Assignment, remaining_ms: u32) {
        let Assignment { handle, incarnation, .. } = *sent;
        self.update_cold(|endpoint, _, phase| {
            if endpoint.handle == handle || endpoint.incarnation() == incarnation {
                endpoint.notice.cold.record_reported(now, remaining_ms, phase);
            }
        });
    }

    /// Returns what other routers should know about cold endpoints.
    pub fn cold_reports(&self, now: Time) -> Vec<ColdReport> {
        let endpoints = self.services.values().flat_map(|it| &it.endpoints);
        endpoints.filter_map(|it| it.notice.cold.report(now, it.incarnation())).collect()
    }

    /// Applies what other routers know about cold endpoints.
    pub fn apply_cold_reports(&mut self, now: Time, reports: &[ColdReport]) {
        self.apply_new_endpoints(now);
        let reports: HashMap<_, _> = reports.iter().map(|it| (it.incarnation, it)).collect();
        self.update_cold(|endpoint, _, phase| {
            if let Some(report) = reports.get(&endpoint.incarnation()) {
                endpoint.notice.cold.merge(now, report, phase);
            }
        });
    }

    /// Returns which endpoints have been believed to be cold, and which no longer are, since the last
    /// call.
    pub fn take_cold_changes(&mut self, now: Time) -> Vec<ColdChange> {
        self.apply_new_endpoints(now);
        let endpoints = self.services.values_mut().flat_map(|it| &mut it.endpoints);
        let changes = endpoints.filter_map(|it| it.notice.cold.take_change(now, &it.listed.id));
        changes.collect()
    }

    /// Replaces the evacuated domains. Their endpoints get no further requests.
    pub fn set_evacuated(&mut self, now: Time, domains: &[Domain]) {
        let returned = self.domain_rules.set_evacuated(domains);
        self.apply_domain_rules();
        self.update_cold(|endpoint, rate, phase| {
            if returned.contains(&endpoint.listed.domain) {
                let until = now + rate.start_ms * MILLISECOND;
                endpoint.notice.cold.begin(now, ColdSource::Evacuated, until, phase);
            }
        });
        self.expire_evacuated(now);
    }

    pub(super) fn apply_domain_rules(&mut self) {
        for endpoint in self.services.values_mut().flat_map(|it| &mut it.endpoints) {
            self.domain_rules.apply(endpoint);
        }
    }

    /// Makes waiting requests expire that could run on evacuated endpoints only.
    pub(super) fn expire_evacuated(&mut self, now: Time) {
        if !self.domain_rules.has_evacuated() {
            return;
        }
        for service in self.services.values_mut() {
            let mut queue = std::mem::take(&mut service.queue);
            queue.expire_early(now, |it| !service.is_evacuated(it.eligibility()));
            service.queue = queue;
        }
    }

    /// Replaces the regions of the failure domains.
    pub fn set_regions(&mut self, regions: HashMap<Domain, Name>) {
        self.domain_rules.set_regions(regions);
        self.apply_domain_rules();
    }

    /// Records whether an endpoint could be reached. One that could not be may be cold when it can be
    /// again.
    pub(super) fn record_contact(
        &mut self,
        now: Time,
        handle: EndpointHandle,
        outcome: AttemptOutcome,
    ) {
        let service = self.service_names.get(&handle).and_then(|it| self.services.get_mut(it));
        let Some((service, rate)) = service.and_then(|it| it.cold_rate.map(|rate| (it, rate)))
        else {
            return;
        };
        let Some(endpoint) = service.get_mut(handle) else { return };
        let phase = self.fleet.phase(endpoint.hash);
        let cold = &mut endpoint.notice.cold;
        match outcome {
            AttemptOutcome::Unreachable => cold.record_unreachable(now, rate.start_ms, phase),
            AttemptOutcome::Served
            | AttemptOutcome::Failed
            | AttemptOutcome::Full
            | AttemptOutcome::Misdirected => cold.record_reachable(now, rate.start_ms, phase),
            AttemptOutcome::Broken | AttemptOutcome::Abandoned => {}
        }
    }
}
