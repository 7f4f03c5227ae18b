//! What operators are shown.

use {
    crate::{control::Shared, fleet::Fleet, state::State},
    model::{MILLISECOND, Time},
    serde::Serialize,
    std::net::SocketAddr,
    wire::TrafficClass,
};

/// The answer to `GET /v1/status`.
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
    claims: usize,
    orders_settled: usize,
    orders_due: usize,
    control_bytes_sent: u64,
    control_bytes_received: u64,
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

/// The answer to `GET /v1/audit`.
#[derive(Serialize)]
pub(crate) struct Audit {
    records: Vec<RecordStatus>,
}

#[derive(Serialize)]
struct RecordStatus {
    number: u64,
    at_ms: u64,
    operator: String,
    operation: String,
    event: String,
    before: String,
    after: String,
    chain: String,
}

/// Returns the state of the fleet.
pub(crate) fn status(shared: &Shared) -> Status {
    let now = shared.clock.now();
    let fleet = shared.fleet.lock().clone();
    let orders = *shared.orders.lock();
    shared.log.with(|state| {
        let config = state.intents.config();
        let routers = routers(state, &fleet, now);
        Status {
            leader: shared.log.leader().map(|it| it.admin),
            revision: config.revision.0,
            digest: config.digest.to_string(),
            epoch: state.rosters.current().epoch.0,
            behind: routers.iter().filter(|it| it.behind).count(),
            routers,
            services: services(state, &fleet, now),
            endpoints: endpoints(state),
            claims: state.ledger.len(),
            orders_settled: orders.converged,
            orders_due: orders.pending,
            control_bytes_sent: shared.traffic.sent(TrafficClass::Control),
            control_bytes_received: shared.traffic.received(TrafficClass::Control),
        }
    })
}

/// Returns the audit trail, oldest first.
pub(crate) fn audit(shared: &Shared) -> Audit {
    let record = |it: &intent::AuditRecord| RecordStatus {
        number: it.number,
        at_ms: it.at_ms,
        operator: it.operator.to_string(),
        operation: it.operation.to_string(),
        event: it.event.to_string(),
        before: it.before.to_string(),
        after: it.after.to_string(),
        chain: it.chain.to_string(),
    };
    Audit { records: shared.log.with(|it| it.intents.audit().map(record).collect()) }
}

fn routers(state: &State, fleet: &Fleet, now: Time) -> Vec<RouterStatus> {
    let revision = state.intents.config().revision;
    let router = |it: &model::RouterEntry| {
        let report = fleet.reports().get(&it.id);
        RouterStatus {
            id: it.id.to_string(),
            host: state.routers.get(it.id).map(|it| it.host.to_string()).unwrap_or_default(),
            addr: it.addr,
            domain: it.domain.to_string(),
            state: it.state.to_string(),
            revision: report.map(|it| it.revision.0),
            epoch: report.map(|it| it.epoch.0),
            behind: report.is_none_or(|it| it.revision < revision),
            silent_ms: report.map(|it| now.since(it.heard) / MILLISECOND),
        }
    };
    state.rosters.current().routers.iter().map(router).collect()
}

fn services(state: &State, fleet: &Fleet, now: Time) -> Vec<ServiceStatus> {
    let config = state.intents.config();
    let means = fleet.means(now);
    let service = |it: &model::Service| {
        let mean = means.iter().find(|mean| mean.service == it.id);
        ServiceStatus {
            name: it.name.to_string(),
            kind: it.kind.to_string(),
            endpoints: config.endpoints.values().filter(|own| own.service == it.id).count(),
            load: mean.map_or(0, |it| it.sum.0),
            reporting: mean.map_or(0, |it| it.count),
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
