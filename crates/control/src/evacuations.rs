//! Evacuations of failure domains: orders of operators, and the set that gateways are sent.

use {
    crate::{
        command::{Command, Output},
        control::Shared,
        discovery,
        evacuation_state::{Evacuation, EvacuationOrder, EvacuationOutcome},
        leader_calls::{self, LeaderCall, LeaderReply},
        replicated_log::CommitError,
    },
    derive_more::{Debug, Display, Error},
    model::{Domain, Name, OperationId},
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::time::sleep,
    wire::{Encoded, PROTOCOL, msg::WatchUpdate},
};

/// The protocol that introduced evacuations.
pub(crate) const MIN_PROTOCOL: u32 = 1;

/// Interval at which the leader checks which protocol all members of the group speak.
const PROTOCOL_INTERVAL: Duration = Duration::from_millis(200);

/// The leader's answer to an order.
#[derive(Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub enum EvacuationResult {
    /// The order is committed, and a majority knows it.
    Committed(EvacuationOutcome),
    /// No endpoint is known in the domain.
    UnknownDomain,
    /// A member of the group cannot apply the order, or is not known to.
    OldMember,
}

/// Why an order was not acknowledged.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Display, Error)]
pub enum EvacuationError {
    /// No endpoint was listed in the domain, and the settings do not name it.
    #[display("unknown failure domain")]
    UnknownDomain,
    /// An earlier order of another content has the same id.
    #[display("the operation id was used for another order")]
    ReusedOperation,
    /// A member of the group runs a build without evacuations, or it is not known which one it runs.
    #[display("not all control replicas are known to support evacuations; retry")]
    OldMember,
    /// Another replica is the leader, and cannot be reached.
    #[display("this replica is not the leader")]
    NotLeader {
        /// The address on which the leader serves replicas and routers, if known.
        leader: Option<SocketAddr>,
    },
    /// The order may or may not come into force.
    #[display("no quorum answered in time")]
    Unknown,
}

/// The evacuated domains, as sent to gateways.
#[derive(Debug)]
pub(crate) struct EvacuationSet {
    pub(crate) revision: u64,
    pub(crate) domains: Vec<Domain>,
    pub(crate) message: Option<Encoded>,
}

/// An order of an operator.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct OrderRequest {
    /// The failure domain.
    pub domain: Domain,
    /// Who gives the order.
    pub by: Name,
    /// The id of the order, if it has one. An order with the id of an earlier one has no effect.
    pub operation: Option<OperationId>,
}

/// A handle for evacuating failure domains. Clones refer to the same replica.
#[derive(Clone)]
pub struct EvacuationStore {
    shared: Arc<Shared>,
}

impl EvacuationStore {
    pub(crate) fn new(shared: Arc<Shared>) -> EvacuationStore {
        EvacuationStore { shared }
    }

    /// Evacuates a domain. When this returns `Ok`, a majority of the replicas knows that the order is committed.
    ///
    /// # Errors
    ///
    /// [`EvacuationError`].
    pub async fn order(&self, request: OrderRequest) -> Result<(), EvacuationError> {
        self.submit(request, true).await
    }

    /// Withdraws the evacuation of a domain, if it is evacuated.
    ///
    /// # Errors
    ///
    /// [`EvacuationError`].
    pub async fn withdraw(&self, request: OrderRequest) -> Result<(), EvacuationError> {
        self.submit(request, false).await
    }

    /// Returns the evacuated domains that this replica knows of.
    pub fn list(&self) -> Vec<(Domain, Evacuation)> {
        let list = |(domain, it): (&Domain, &Evacuation)| (domain.clone(), it.clone());
        self.shared.log.with_state(|it| it.evacuations().active().iter().map(list).collect())
    }

    async fn submit(&self, request: OrderRequest, active: bool) -> Result<(), EvacuationError> {
        let OrderRequest { domain, by, operation } = request;
        let order = EvacuationOrder { domain, at_ms: 0, by, active, operation };
        let is_known = is_known(&self.shared, &order.domain);
        let mut result = commit(&self.shared, order.clone(), is_known).await;
        if result == Err(CommitError::NotLeader) {
            let call = LeaderCall::Evacuate { order: order.clone(), is_known };
            let reply = leader_calls::call_with_command(&self.shared, &call).await;
            result = reply.and_then(|it| match it {
                LeaderReply::Evacuation(result) => Ok(result),
                _ => Err(CommitError::Unknown),
            });
        }
        tracing::info!(
            event = "evacuation-ordered",
            domain = %order.domain,
            active,
            by = %order.by,
            operation = order.operation.as_ref().map(|it| it.0.as_ref()),
            is_known,
            ?result,
            "control: order of an evacuation"
        );
        match result {
            Ok(EvacuationResult::Committed(EvacuationOutcome::Done)) => Ok(()),
            Ok(EvacuationResult::Committed(EvacuationOutcome::ReusedOperation)) => {
                Err(EvacuationError::ReusedOperation)
            }
            Ok(EvacuationResult::UnknownDomain) => Err(EvacuationError::UnknownDomain),
            Ok(EvacuationResult::OldMember) => Err(EvacuationError::OldMember),
            Err(CommitError::NotLeader) => {
                Err(EvacuationError::NotLeader { leader: self.shared.log.leader_internal_addr() })
            }
            Err(CommitError::Unknown) => Err(EvacuationError::Unknown),
        }
    }
}

/// Commits an order, if this replica is the leader. When this returns `Ok`, a majority of the replicas knows that the
/// order is committed, and can tell gateways without a new leader.
pub(crate) async fn commit(
    shared: &Shared,
    order: EvacuationOrder,
    is_known: bool,
) -> Result<EvacuationResult, CommitError> {
    if !shared.log.is_leader() {
        return Err(CommitError::NotLeader);
    }
    if order.active && !is_known && !self::is_known(shared, &order.domain) {
        // Before the first list, nothing can be said about a domain.
        return match shared.discovery.catalog.borrow().is_some() {
            true => Ok(EvacuationResult::UnknownDomain),
            false => Err(CommitError::Unknown),
        };
    }
    let recorded = shared.log.with_state(|it| it.section.protocol);
    if !all_speak(MIN_PROTOCOL, recorded, &shared.log.member_protocols()) {
        return Ok(EvacuationResult::OldMember);
    }
    let order = EvacuationOrder { at_ms: shared.unix_time_ms(), ..order };
    let Output::Evacuated(outcome) = shared.log.propose(&Command::Evacuate(order)).await? else {
        return Err(CommitError::Unknown);
    };
    shared.log.propose(&Command::Barrier).await?;
    Ok(EvacuationResult::Committed(outcome))
}

/// Returns whether all other members of the group speak the protocol `number`. `recorded` is the one that all members
/// had earlier, and holds for those whose protocol this process has not been told.
pub fn all_speak(number: u32, recorded: u32, members: &[Option<u32>]) -> bool {
    members.iter().all(|it| it.unwrap_or(recorded) >= number)
}

fn is_known(shared: &Shared, domain: &Domain) -> bool {
    let is_ordered = |state: &crate::State| {
        let evacuations = state.evacuations();
        evacuations.active().contains_key(domain)
            || evacuations.records().any(|it| it.order.active && it.order.domain == *domain)
    };
    *domain == shared.settings.domain
        || shared.discovery.known_domains.lock().contains(domain)
        || shared.log.with_state(is_ordered)
}

/// Publishes the committed set to the watch streams. Runs until the process exits.
pub(crate) async fn run(shared: Arc<Shared>) {
    let mut changes = shared.log.subscribe();
    loop {
        let status = *changes.borrow_and_update();
        // A replica without a leader may have an empty disk. Its empty set says nothing.
        let is_informed = status.applied_index > 0 && status.leader.is_some();
        update_set(&shared, is_informed);
        if changes.changed().await.is_err() {
            return;
        }
    }
}

fn update_set(shared: &Shared, is_informed: bool) {
    let before = shared.evacuations.borrow().as_ref().map(|it| it.revision);
    let changed = shared.log.with_state(|it| {
        let state = it.evacuations();
        let is_new = before != Some(state.revision()) && (state.revision() > 0 || is_informed);
        is_new.then(|| (state.revision(), state.active().keys().cloned().collect::<Vec<_>>()))
    });
    let Some((revision, domains)) = changed else { return };
    tracing::info!(
        event = "evacuations-committed",
        revision,
        before,
        domains = ?domains.iter().map(|it| it.0.as_ref()).collect::<Vec<_>>(),
        "control: set of evacuated domains"
    );
    let update = WatchUpdate::Evacuations { revision, domains: domains.clone() };
    let set = EvacuationSet { revision, domains, message: Encoded::new(&update) };
    shared.evacuations.send_replace(Some(Arc::new(set)));
    discovery::update_legacy_catalog(shared);
}

/// Records the protocol of the group while this replica is the leader. A later leader can then commit orders although a
/// member is down that it never heard of. Runs until the process exits.
pub(crate) async fn record_protocol(shared: Arc<Shared>) {
    loop {
        sleep(PROTOCOL_INTERVAL).await;
        let recorded = shared.log.with_state(|it| it.section.protocol);
        let members = shared.log.member_protocols();
        let common = (recorded + 1..=PROTOCOL).rev().find(|it| all_speak(*it, 0, &members));
        let Some(number) = common.filter(|_| shared.log.is_leader()) else { continue };
        let command = Command::RecordProtocol { number };
        match shared.log.propose(&command).await {
            Ok(_) => tracing::info!(
                event = "protocol-recorded",
                number,
                "control: all members of the group speak this protocol"
            ),
            Err(err) => tracing::debug!("control: cannot record the protocol: {err}"),
        }
    }
}
