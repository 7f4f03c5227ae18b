//! Status and audit responses for operators.

use {
    crate::{
        control::Shared,
        evacuation_state::{Evacuation, EvacuationRecord},
        router_reports::RouterReports,
        state::State,
    },
    model::{Domain, MILLISECOND, Time},
    serde::Serialize,
    std::{collections::BTreeMap, net::SocketAddr},
    wire::TrafficClass,
};

/// The response to `GET /v1/status`.
#[derive(Serialize)]
pub(crate) struct Status {
    leader: Option<SocketAddr>,
    revision: u64,
    digest: String,
    epoch: u64,
    behind: usize,
    routers: Vec<RouterStatus>,
    services: Vec<ServiceStatus>,
    endpoints: Vec<EndpointStatus>,
    evacuations: Vec<EvacuationStatus>,
    claims: usize,
    orders_settled: usize,
    orders_due: usize,
    control_bytes_sent: u64,
    control_bytes_received: u64,
}

#[derive(Serialize)]
struct EvacuationStatus {
    domain: String,
    at_ms: u64,
    operator: String,
    revision: u64,
}

/// The response to `GET /v1/domains/DOMAIN/evacuation`: what the evacuation of the domain takes from each service.
#[derive(Serialize)]
pub(crate) struct EvacuationEffect {
    domain: String,
    evacuated: bool,
    services: Vec<ServiceLoss>,
}

#[derive(Serialize)]
struct ServiceLoss {
    name: String,
    endpoints: usize,
    in_domain: usize,
    /// How many endpoints remain that are neither in this domain nor in an evacuated one.
    remaining: usize,
}

#[derive(Serialize)]
struct RouterStatus {
    id: String,
    host: String,
    addr: SocketAddr,
    domain: String,
    state: String,
    revision: Option<u64>,
    epoch: Option<u64>,
    behind: bool,
    silent_ms: Option<u64>,
}

#[derive(Serialize)]
struct ServiceStatus {
    name: String,
    kind: String,
    endpoints: usize,
    load: u64,
    reporting: u32,
}

#[derive(Serialize)]
struct EndpointStatus {
    id: String,
    name: String,
    service: String,
    addr: SocketAddr,
    domain: String,
    state: String,
    fencing: String,
    images: Vec<String>,
}

/// The response to `GET /v1/audit`.
#[derive(Serialize)]
pub(crate) struct AuditTrail {
    records: Vec<AuditRecordStatus>,
    /// The orders of evacuations, which change no configuration and are not part of the chain.
    evacuations: Vec<EvacuationRecordStatus>,
}

#[derive(Serialize)]
struct EvacuationRecordStatus {
    revision: u64,
    at_ms: u64,
    operator: String,
    operation: Option<String>,
    event: String,
}

#[derive(Serialize)]
struct AuditRecordStatus {
    number: u64,
    at_ms: u64,
    operator: String,
    operation: String,
    event: String,
    before: String,
    after: String,
    chain: String,
}

/// Returns the status of routers, services and endpoints.
pub(crate) fn status(shared: &Shared) -> Status {
    let now = shared.clock.now();
    let reports = shared.router_reports.lock().clone();
    let progress = *shared.order_progress.lock();
    shared.log.with_state(|state| {
        let config = state.intents.config();
        let routers = routers(state, &reports, now);
        Status {
            leader: shared.log.leader_addrs().map(|it| it.admin),
            revision: config.revision.0,
            digest: config.digest.to_string(),
            epoch: state.rosters.current().epoch.0,
            behind: routers.iter().filter(|it| it.behind).count(),
            routers,
            services: services(state, &reports, now),
            endpoints: endpoints(state),
            evacuations: evacuations(state),
            claims: state.ledger.len(),
            orders_settled: progress.converged,
            orders_due: progress.pending,
            control_bytes_sent: shared.traffic.sent(TrafficClass::Control),
            control_bytes_received: shared.traffic.received(TrafficClass::Control),
        }
    })
}

/// Returns the audit trail, oldest first.
pub(crate) fn audit(shared: &Shared) -> AuditTrail {
    let record = |it: &intent::AuditRecord| AuditRecordStatus {
        number: it.number,
        at_ms: it.at_ms,
        operator: it.operator.to_string(),
        operation: it.operation.to_string(),
        event: it.event.to_string(),
        before: it.before.to_string(),
        after: it.after.to_string(),
        chain: it.chain.to_string(),
    };
    let evacuation = |it: &EvacuationRecord| EvacuationRecordStatus {
        revision: it.revision,
        at_ms: it.order.at_ms,
        operator: it.order.by.to_string(),
        operation: it.order.operation.as_ref().map(ToString::to_string),
        event: evacuation_event(it),
    };
    shared.log.with_state(|state| AuditTrail {
        records: state.intents.audit().map(record).collect(),
        evacuations: state.evacuations().records().map(evacuation).collect(),
    })
}

fn evacuation_event(record: &EvacuationRecord) -> String {
    let domain = &record.order.domain;
    match (record.order.active, record.is_change) {
        (true, true) => format!("evacuated {domain}"),
        (true, false) => format!("evacuated {domain}, which was evacuated"),
        (false, true) => format!("withdrew the evacuation of {domain}"),
        (false, false) => format!("withdrew the evacuation of {domain}, which was not evacuated"),
    }
}

fn evacuations(state: &State) -> Vec<EvacuationStatus> {
    let evacuation = |(domain, it): (&Domain, &Evacuation)| EvacuationStatus {
        domain: domain.to_string(),
        at_ms: it.at_ms,
        operator: it.by.to_string(),
        revision: it.revision,
    };
    state.evacuations().active().iter().map(evacuation).collect()
}

/// Returns what the evacuation of a domain takes from each service, by the list of endpoints.
pub(crate) fn evacuation_effect(shared: &Shared, domain: &Domain) -> EvacuationEffect {
    let catalog = shared.discovery.catalog.borrow().clone();
    let endpoints = catalog.map(|it| it.value().endpoints()).unwrap_or_default();
    let evacuated: Vec<Domain> =
        shared.log.with_state(|it| it.evacuations().active().keys().cloned().collect());
    let mut services: BTreeMap<String, ServiceLoss> = BTreeMap::new();
    for endpoint in endpoints {
        let name = endpoint.service.to_string();
        let loss = services.entry(name.clone()).or_insert(ServiceLoss {
            name,
            endpoints: 0,
            in_domain: 0,
            remaining: 0,
        });
        let is_in_domain = endpoint.domain == *domain;
        loss.endpoints += 1;
        loss.in_domain += usize::from(is_in_domain);
        loss.remaining += usize::from(!is_in_domain && !evacuated.contains(&endpoint.domain));
    }
    EvacuationEffect {
        domain: domain.to_string(),
        evacuated: evacuated.contains(domain),
        services: services.into_values().filter(|it| it.in_domain > 0).collect(),
    }
}

fn routers(state: &State, reports: &RouterReports, now: Time) -> Vec<RouterStatus> {
    let revision = state.intents.config().revision;
    let router = |it: &model::RouterEntry| {
        let report = reports.by_router().get(&it.id);
        RouterStatus {
            id: it.id.to_string(),
            host: state.routers.get(it.id).map(|it| it.host.to_string()).unwrap_or_default(),
            addr: it.addr,
            domain: it.domain.to_string(),
            state: it.state.to_string(),
            revision: report.map(|it| it.revision.0),
            epoch: report.map(|it| it.epoch.0),
            behind: report.is_none_or(|it| it.revision < revision),
            silent_ms: report.map(|it| now.since(it.received_at) / MILLISECOND),
        }
    };
    state.rosters.current().routers.iter().map(router).collect()
}

fn services(state: &State, reports: &RouterReports, now: Time) -> Vec<ServiceStatus> {
    let config = state.intents.config();
    let totals = reports.service_totals(now);
    let service = |it: &model::Service| {
        let total = totals.iter().find(|total| total.service == it.id);
        ServiceStatus {
            name: it.name.to_string(),
            kind: it.kind.to_string(),
            endpoints: config.endpoints.values().filter(|own| own.service == it.id).count(),
            load: total.map_or(0, |it| it.sum.0),
            reporting: total.map_or(0, |it| it.count),
        }
    };
    config.services.values().map(|it| service(it)).collect()
}

fn endpoints(state: &State) -> Vec<EndpointStatus> {
    let config = state.intents.config();
    let endpoint = |it: &model::Endpoint| EndpointStatus {
        id: it.id.to_string(),
        name: it.name.to_string(),
        service: config.services.get(&it.service).map(|it| it.name.to_string()).unwrap_or_default(),
        addr: it.addr,
        domain: it.domain.to_string(),
        state: it.state.to_string(),
        fencing: it.fencing.to_string(),
        images: it.images.iter().map(ToString::to_string).collect(),
    };
    config.endpoints.values().map(|it| endpoint(it)).collect()
}
