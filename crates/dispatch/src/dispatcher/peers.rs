//! What this router tells other routers, and what they tell it.

use {
    super::Dispatcher,
    crate::{
        limit::{Fleet, LimitChange, LimitReport},
        load::{Load, LoadChunk, LoadReport, Reporter},
        outage::{Outage, OutageReport},
        request::EndpointHandle,
    },
    model::{Name, Time},
    std::{collections::HashMap, net::SocketAddr},
};

impl Dispatcher {
    /// Replaces the list of routers that send requests to the same endpoints.
    pub fn set_routers<I>(&mut self, now: Time, own: SocketAddr, routers: I)
    where
        I: IntoIterator<Item = SocketAddr>,
    {
        self.fleet = Fleet::new(own, routers);
        for service in self.services.values_mut() {
            for endpoint in &mut service.endpoints {
                endpoint.notice.limit.set_share(now, &self.fleet, endpoint.hash);
                endpoint.set_cold_share(now, service.cold_rate, &self.fleet);
            }
        }
    }

    /// Records how many requests an endpoint takes per second from all routers together, or that it
    /// takes any number. Returns the change, if there is one.
    pub fn record_limit(
        &mut self,
        now: Time,
        handle: EndpointHandle,
        rate: Option<f64>,
    ) -> Option<LimitChange> {
        let name = self.service_names.get(&handle)?;
        let endpoint = self.services.get_mut(name)?.get_mut(handle)?;
        endpoint.notice.limit.record(now, rate).then(|| endpoint.set_share(now, &self.fleet))
    }

    /// Returns what other routers should know about limits.
    pub fn limit_reports(&self, now: Time) -> Vec<LimitReport> {
        let endpoints = self.services.values().flat_map(|it| &it.endpoints);
        endpoints.filter_map(|it| it.notice.limit.report(now, it.incarnation())).collect()
    }

    /// Applies what other routers know about limits. Returns the changes.
    pub fn apply_limit_reports(&mut self, now: Time, reports: &[LimitReport]) -> Vec<LimitChange> {
        let endpoints = self.services.values_mut().flat_map(|it| &mut it.endpoints);
        let mut endpoints: HashMap<_, _> = endpoints.map(|it| (it.incarnation(), it)).collect();
        let mut changes = Vec::new();
        for report in reports {
            let Some(endpoint) = endpoints.get_mut(&report.incarnation) else { continue };
            if endpoint.notice.limit.merge(now, report) {
                changes.push(endpoint.set_share(now, &self.fleet));
            }
        }
        changes
    }

    /// Applies a report of what other routers run. They run nothing on covered endpoints that are
    /// not listed.
    pub fn apply_peer_report(&mut self, now: Time, reporter: Reporter, chunk: &LoadChunk) {
        let reports: HashMap<_, _> = chunk.loads.iter().copied().collect();
        let endpoints = self.services.values_mut().flat_map(|it| &mut it.endpoints);
        for endpoint in endpoints.filter(|it| (chunk.from..=chunk.to).contains(&it.hash)) {
            let report = reports.get(&endpoint.hash).copied().unwrap_or_default();
            endpoint.load.apply_peer_report(now, reporter, report);
        }
    }

    /// Returns up to `max` last shared parts of prompts that endpoints began to process for this
    /// router since the last call, each with the hash of the endpoint's id.
    pub fn take_new_parts(&mut self, max: usize) -> Vec<(u64, u64)> {
        let from = self.new_parts.len().saturating_sub(max);
        self.new_parts.split_off(from)
    }

    /// Records prompt parts that endpoints processed for another router.
    pub fn record_peer_parts(&mut self, now: Time, parts: &[(u64, u64)]) {
        let endpoints = self.services.values_mut().flat_map(|it| &mut it.endpoints);
        let mut endpoints: HashMap<_, _> = endpoints.map(|it| (it.hash, it)).collect();
        for (hash, part) in parts {
            if let Some(endpoint) = endpoints.get_mut(hash) {
                endpoint.record_part(now, *part);
            }
        }
    }

    /// Returns whether [`Dispatcher::take_outages`] has something to return.
    pub fn has_outages(&self) -> bool {
        !self.new_outages.is_empty()
    }

    /// Returns the outages of endpoints that this router found since the last call and that it had
    /// not heard of.
    pub fn take_outages(&mut self) -> Vec<OutageReport> {
        std::mem::take(&mut self.new_outages)
    }

    /// Applies the reports of a router in the failure domain with this hash. Returns the ids of the
    /// endpoints that are avoided because of them, each with the reason.
    pub fn apply_outages(
        &mut self,
        now: Time,
        domain: u64,
        reports: &[OutageReport],
    ) -> Vec<(Name, Outage)> {
        let endpoints = self.services.values_mut().flat_map(|it| &mut it.endpoints);
        let mut endpoints: HashMap<_, _> = endpoints.map(|it| (it.incarnation(), it)).collect();
        let mut avoided = Vec::new();
        for report in reports {
            let Some(endpoint) = endpoints.get_mut(&report.incarnation) else { continue };
            if endpoint.apply_outage(now, domain, report.outage) {
                avoided.push((endpoint.listed.id.clone(), report.outage));
            }
        }
        avoided
    }

    /// Returns what this router runs, keyed by the hash of the endpoint's id. Idle endpoints are
    /// omitted.
    pub fn local_loads(&self) -> Vec<(u64, LoadReport)> {
        self.busy_endpoints(|it| it.own)
    }

    /// Returns what the routers of this router's domain run, keyed by the hash of the endpoint's
    /// id. Idle endpoints are omitted.
    pub fn domain_loads(&self, now: Time) -> Vec<(u64, LoadReport)> {
        self.busy_endpoints(|it| it.domain_load(now))
    }

    /// Returns what the routers of other domains run, as far as they report sums, keyed by the
    /// hash of the endpoint's id. Idle endpoints are omitted.
    pub fn other_domains_loads(&self, now: Time) -> Vec<(u64, LoadReport)> {
        self.busy_endpoints(|it| it.other_domains_load(now))
    }

    fn busy_endpoints<F>(&self, load: F) -> Vec<(u64, LoadReport)>
    where
        F: Fn(&Load) -> LoadReport,
    {
        let endpoints = self.services.values().flat_map(|it| &it.endpoints);
        let loads = endpoints.map(|it| (it.hash, load(&it.load)));
        loads.filter(|it| it.1 != LoadReport::default()).collect()
    }
}
