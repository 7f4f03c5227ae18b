//! The whole replicated state.

use {
    crate::{
        command::{Command, Output},
        quarantine::Quarantine,
        routers::{RouterInfo, Routers},
    },
    bincode::{
        config::standard,
        error::{DecodeError, EncodeError},
        serde::{decode_from_slice, encode_to_vec},
    },
    derive_more::Debug,
    intent::Intents,
    ledger::{Call, Ledger, Reply},
    model::{Roster, RouterId, RouterState},
    serde::{Deserialize, Serialize},
};

/// All that survives: a pure function of the commands applied, in order.
#[derive(Clone, PartialEq, Eq, Default, Serialize, Deserialize, Debug)]
pub struct State {
    pub(crate) intents: Intents,
    pub(crate) routers: Routers,
    pub(crate) roster: Roster,
    pub(crate) ledger: Ledger,
    pub(crate) quarantine: Quarantine,
}

impl State {
    /// Applies a committed command.
    pub fn apply(&mut self, command: Command) -> Output {
        match command {
            Command::Operation(it) => Output::Answer(self.intents.apply(&it)),
            Command::Register { host, process, addr, domain } => {
                Output::Router(self.routers.register(RouterInfo { host, process, addr, domain }))
            }
            Command::Roster(it) => Output::Roster(self.replace_roster(it)),
            Command::Ledger { at_ms, call } => Output::Ledger(self.call_ledger(at_ms, &call)),
            Command::Quarantine { at_ms, fingerprint } => {
                self.quarantine.add(fingerprint, at_ms);
                Output::Quarantined
            }
        }
    }

    /// Encodes the whole state.
    ///
    /// # Errors
    ///
    /// The state cannot be encoded.
    pub fn snapshot(&self) -> Result<Vec<u8>, EncodeError> {
        encode_to_vec(self, standard())
    }

    /// Reads a state that [`State::snapshot`] wrote.
    ///
    /// # Errors
    ///
    /// The bytes are no such state.
    pub fn restore(bytes: &[u8]) -> Result<State, DecodeError> {
        decode_from_slice(bytes, standard()).map(|(state, _)| state)
    }

    /// Takes the roster that follows the one in force; claims of routers that it lost become unknown.
    fn replace_roster(&mut self, next: Roster) -> bool {
        if next.epoch != self.roster.epoch.next() {
            return false;
        }
        let lost = |it: &&model::RouterEntry| !is_present(&next, it.id);
        let lost: Vec<_> = self.roster.routers.iter().filter(lost).map(|it| it.id).collect();
        lost.into_iter().for_each(|it| self.ledger.lose(it));
        self.roster = next;
        true
    }

    fn call_ledger(&mut self, at_ms: u64, call: &Call) -> Reply {
        let (key, router) = (call.key(), call.router());
        let service = self.intents.config().services.get(&key.service);
        let Some(service) = service else { return Reply::NoService };
        self.ledger.apply(at_ms, service.claim_ms, is_present(&self.roster, router), call)
    }
}

fn is_present(roster: &Roster, router: RouterId) -> bool {
    roster.get(router).is_some_and(|it| it.state != RouterState::Missing)
}
