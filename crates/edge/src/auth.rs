//! Authenticates clients by bearer token.

use {
    derive_more::Debug,
    http::{HeaderMap, header},
    model::{Config, Digest, TeamId},
    smallvec::SmallVec,
    std::collections::HashMap,
    subtle::{Choice, ConditionallySelectable, ConstantTimeEq},
};

/// The maximum length of a token, in bytes. Longer tokens are unknown without being hashed.
const MAX_TOKEN_BYTES: usize = 512;

/// The length of the digest prefix by which tokens are looked up, in bytes.
const PREFIX_BYTES: usize = 8;

/// Maps tokens to teams by their digests.
///
/// Only digests are stored, and a presented token is hashed before the lookup, so a client cannot
/// choose the bytes that are compared. All digests with the same prefix are compared, each in
/// constant time, even after a match.
#[derive(Clone, Default, Debug)]
pub struct Authenticator {
    teams_by_prefix: HashMap<[u8; PREFIX_BYTES], SmallVec<[(Digest, TeamId); 1]>>,
}

impl Authenticator {
    /// Creates an authenticator for the tokens of a configuration.
    pub fn new(config: &Config) -> Authenticator {
        let mut authenticator = Authenticator::default();
        for team in config.teams.values() {
            for digest in &team.tokens {
                authenticator
                    .teams_by_prefix
                    .entry(prefix(digest))
                    .or_default()
                    .push((*digest, team.id));
            }
        }
        authenticator
    }

    /// Returns the team that a token belongs to.
    pub fn team(&self, token: &[u8]) -> Option<TeamId> {
        if token.is_empty() || token.len() > MAX_TOKEN_BYTES {
            return None;
        }
        let digest = Digest::of(token);
        let mut team_id = 0;
        let mut matched = Choice::from(0);
        for (candidate, team) in self.teams_by_prefix.get(&prefix(&digest)).into_iter().flatten() {
            let equal = digest.0.ct_eq(&candidate.0);
            team_id = u32::conditional_select(&team_id, &team.0, equal);
            matched |= equal;
        }
        bool::from(matched).then_some(TeamId(team_id))
    }

    /// Returns the team that the bearer token in the headers of a request belongs to. Returns
    /// `None` if the headers contain more than one `Authorization` header.
    pub fn authenticate(&self, headers: &HeaderMap) -> Option<TeamId> {
        let mut values = headers.get_all(header::AUTHORIZATION).iter();
        let (value, second_value) = (values.next()?, values.next());
        if second_value.is_some() {
            return None;
        }
        let (scheme, token) = value.as_bytes().split_at_checked(7)?;
        scheme.eq_ignore_ascii_case(b"bearer ").then(|| self.team(token.trim_ascii()))?
    }
}

fn prefix(digest: &Digest) -> [u8; PREFIX_BYTES] {
    let mut prefix = [0; PREFIX_BYTES];
    prefix.copy_from_slice(&digest.0[..PREFIX_BYTES]);
    prefix
}
