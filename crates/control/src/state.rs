//! The replicated state.

use {
    crate::{
        command::{Command, Output},
        evacuation_state::EvacuationState,
        quarantine::Quarantine,
        roster_history::RosterHistory,
        router_registry::{RouterInfo, RouterRegistry},
        section::{Section, limited},
    },
    bincode::{
        config::standard,
        error::DecodeError,
        serde::{decode_from_slice, encode_to_vec},
    },
    derive_more::Debug,
    intent::IntentState,
    ledger::{Ledger, LedgerCall, LedgerReply},
    model::{Roster, RouterId, RouterState},
    replica::{RestoreError, StateMachine},
    route::PublishedConfig,
    serde::{Deserialize, Serialize},
};

/// The replicated state. It is a pure function of the applied commands in their order.
///
/// The encoding of the fields is that of 0d4d3b9. What was added since then is in the section after it.
#[derive(Clone, PartialEq, Eq, Default, Serialize, Deserialize, Debug)]
pub struct State {
    pub(crate) intents: IntentState,
    pub(crate) routers: RouterRegistry,
    pub(crate) rosters: RosterHistory,
    pub(crate) ledger: Ledger,
    pub(crate) quarantine: Quarantine,
    pub(crate) published: PublishedConfig,
    #[serde(skip)]
    pub(crate) section: Section,
}

impl State {
    /// Applies a committed command, whose log entry has the index `index`.
    pub fn execute(&mut self, index: u64, command: Command) -> Output {
        match command {
            Command::Operation(it) => Output::Answer(self.intents.apply(&it)),
            Command::Register { host, process, addr, domain } => {
                Output::Router(self.routers.register(RouterInfo { host, process, addr, domain }))
            }
            Command::Roster(it) => Output::Roster(self.advance_roster(it)),
            Command::Ledger { at_ms, call } => Output::Ledger(self.apply_ledger_call(at_ms, &call)),
            Command::Quarantine { at_ms, fingerprint } => {
                self.quarantine.add(fingerprint, at_ms);
                Output::Quarantined
            }
            Command::Publish { version, document } => {
                Output::Published(self.published.publish(version, document))
            }
            Command::Barrier => Output::Nothing,
            Command::Evacuate(it) => Output::Evacuated(self.section.evacuations.apply(index, it)),
            Command::RecordProtocol { number } => {
                self.section.protocol = self.section.protocol.max(number);
                Output::Nothing
            }
        }
    }

    /// Returns the evacuated failure domains.
    pub fn evacuations(&self) -> &EvacuationState {
        &self.section.evacuations
    }

    /// Replaces the roster with the next one and marks the claims of routers that are no longer present as unknown.
    fn advance_roster(&mut self, next: Roster) -> bool {
        let is_lost = |it: &&model::RouterEntry| !is_present(&next, it.id);
        let before = self.rosters.current().routers.clone();
        let lost: Vec<_> = before.iter().filter(is_lost).map(|it| it.id).collect();
        if !self.rosters.advance(next) {
            return false;
        }
        lost.into_iter().for_each(|it| self.ledger.mark_router_lost(it));
        true
    }

    fn apply_ledger_call(&mut self, at_ms: u64, call: &LedgerCall) -> LedgerReply {
        let (key, router) = (call.key(), call.router());
        let service = self.intents.config().services.get(&key.service);
        let Some(service) = service else { return LedgerReply::NoService };
        self.ledger.apply(at_ms, service.claim_ms, is_present(self.rosters.current(), router), call)
    }
}

impl StateMachine for State {
    fn apply(&mut self, index: u64, command: &[u8]) -> Vec<u8> {
        let decoded = decode_from_slice(command, limited());
        let output = match decoded {
            Ok((command, _)) => self.execute(index, command),
            Err(_) => Output::Malformed,
        };
        encode_to_vec(output, standard()).unwrap_or_default()
    }

    fn snapshot(&self) -> Vec<u8> {
        let mut bytes = encode_to_vec(self, standard()).unwrap_or_default();
        bytes.extend(self.section.encode().unwrap_or_default());
        bytes
    }

    fn restore(&mut self, snapshot: &[u8]) -> Result<(), RestoreError> {
        let restore_error = |it: DecodeError| RestoreError { reason: it.to_string() };
        let (state, consumed) = decode_from_slice(snapshot, limited()).map_err(restore_error)?;
        *self = state;
        self.section = Section::decode(&snapshot[consumed..]).map_err(restore_error)?;
        Ok(())
    }
}

fn is_present(roster: &Roster, router: RouterId) -> bool {
    roster.get(router).is_some_and(|it| it.state != RouterState::Missing)
}
