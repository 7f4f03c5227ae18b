//! Which team a caller belongs to.

use {
    derive_more::Debug,
    http::{HeaderMap, header},
    model::{Config, Digest, TeamId},
    smallvec::SmallVec,
    std::collections::HashMap,
    subtle::{Choice, ConditionallySelectable, ConstantTimeEq},
};

/// The longest token that is looked at, in bytes.
const TOKEN_BYTES: usize = 512;

/// Bytes of a digest by which tokens are grouped.
const PREFIX: usize = 8;

/// The teams by the digests of their tokens.
///
/// Only digests are held, and a presented token is hashed before it is looked up, so a caller cannot choose what is
/// compared. Within a group every digest is compared in constant time and to the end.
#[derive(Clone, Default, Debug)]
pub struct Authenticator {
    groups: HashMap<[u8; PREFIX], SmallVec<[(Digest, TeamId); 1]>>,
}

impl Authenticator {
    /// Returns the tokens of a configuration.
    pub fn new(config: &Config) -> Authenticator {
        let mut tokens = Authenticator::default();
        for team in config.teams.values() {
            for digest in &team.tokens {
                tokens.groups.entry(prefix(digest)).or_default().push((*digest, team.id));
            }
        }
        tokens
    }

    /// Returns the team of a token.
    pub fn team(&self, token: &[u8]) -> Option<TeamId> {
        if token.is_empty() || token.len() > TOKEN_BYTES {
            return None;
        }
        let digest = Digest::of(token);
        let mut found = 0;
        let mut known = Choice::from(0);
        for (other, team) in self.groups.get(&prefix(&digest)).into_iter().flatten() {
            let same = digest.0.ct_eq(&other.0);
            found = u32::conditional_select(&found, &team.0, same);
            known |= same;
        }
        bool::from(known).then_some(TeamId(found))
    }

    /// Returns the team of the bearer token in a request's headers.
    pub fn authenticate(&self, headers: &HeaderMap) -> Option<TeamId> {
        let mut values = headers.get_all(header::AUTHORIZATION).iter();
        let (value, more) = (values.next()?, values.next());
        if more.is_some() {
            return None;
        }
        let (scheme, token) = value.as_bytes().split_at_checked(7)?;
        scheme.eq_ignore_ascii_case(b"bearer ").then(|| self.team(token.trim_ascii()))?
    }
}

fn prefix(digest: &Digest) -> [u8; PREFIX] {
    let mut prefix = [0; PREFIX];
    prefix.copy_from_slice(&digest.0[..PREFIX]);
    prefix
}
