//! The rules for an intent.

use {
    derive_more::{Debug, Display, Error},
    model::Name,
    serde::{Deserialize, Serialize},
};

/// The part of the intent to which a rule applies.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug, Display)]
pub enum Aggregate {
    /// The document as a whole.
    #[display("document")]
    Document,
    /// A team.
    #[display("team {_0}")]
    Team(Name),
    /// A service.
    #[display("service {_0}")]
    Service(Name),
    /// An endpoint.
    #[display("endpoint {_0}")]
    Endpoint(Name),
}

/// A violated rule.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug, Display)]
pub enum Rule {
    /// The text is not TOML of the documented structure.
    #[display("syntax: {message}")]
    Syntax {
        /// The message of the parser.
        message: Name,
    },
    /// A name must consist of 1 to 64 of the characters `a-z`, `A-Z`, `0-9`, `.`, `_` and `-`.
    #[display("name: expected 1 to 64 letters, digits, dots, underscores or hyphens")]
    Name,
    /// Two aggregates of the same kind have the same name.
    #[display("duplicate-name: the name is used twice")]
    DuplicateName,
    /// The number of aggregates of one kind exceeds its limit.
    #[display("count: {found} {kind} exceed the limit of {limit}")]
    Count {
        /// The kind of the aggregates.
        kind: Name,
        /// The number of aggregates.
        found: usize,
        /// The maximum number.
        limit: usize,
    },
    /// A value is out of range.
    #[display("range: {field} is {found}, expected {low} to {high}")]
    Range {
        /// The key in the document.
        field: Name,
        /// The value.
        found: u64,
        /// The smallest allowed value.
        low: u64,
        /// The largest allowed value.
        high: u64,
    },
    /// A token is not a `sha256:` digest.
    #[display("token: expected sha256: followed by 64 hexadecimal digits")]
    Token,
    /// A team has no tokens, so nobody could call on its behalf.
    #[display("no-token: expected at least one token")]
    NoToken,
    /// Two teams share a token, so the team of a caller would be ambiguous.
    #[display("shared-token: team {other} has the same token")]
    SharedToken {
        /// The other team.
        other: Name,
    },
    /// The service does not exist.
    #[display("unknown-service: service {service} does not exist")]
    UnknownService {
        /// The name of the service.
        service: Name,
    },
    /// The endpoint does not exist.
    #[display("unknown-endpoint: the endpoint does not exist")]
    UnknownEndpoint,
    /// The kind of a service cannot change.
    #[display("kind: the kind of a service cannot change")]
    Kind,
    /// An endpoint of a model service must have at least one image.
    #[display("no-image: an endpoint of a model service needs at least one image")]
    NoImage,
    /// An endpoint of a plain service cannot have images.
    #[display("image: an endpoint of a plain service cannot have images")]
    Image,
    /// The same image is listed twice.
    #[display("duplicate-image: the image is listed twice")]
    DuplicateImage,
    /// Two endpoints have the same address.
    #[display("shared-address: endpoint {other} has the same address")]
    SharedAddress {
        /// The other endpoint.
        other: Name,
    },
    /// Fewer endpoints would be active than the minimum of the service.
    #[display("minimum: {active} endpoints would be active, the minimum is {minimum}")]
    Minimum {
        /// The number of active endpoints.
        active: u32,
        /// The required number of active endpoints.
        minimum: u32,
    },
}

/// A violated rule and the aggregate to which it applies.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug, Display, Error)]
#[display("{aggregate}: {rule}")]
pub struct Violation {
    /// The aggregate.
    pub aggregate: Aggregate,
    /// The violated rule.
    pub rule: Rule,
}

impl Rule {
    /// Returns the short name of the rule, with which its message starts.
    pub fn name(&self) -> String {
        let text = self.to_string();
        text.split(':').next().unwrap_or_default().to_owned()
    }

    /// Creates the violation of this rule by an aggregate.
    pub(crate) fn violated_by(self, aggregate: Aggregate) -> Violation {
        Violation { aggregate, rule: self }
    }
}

/// Checks that a value is in its range.
pub(crate) fn check_range(field: &str, found: u64, low: u64, high: u64) -> Result<(), Rule> {
    if (low..=high).contains(&found) {
        Ok(())
    } else {
        Err(Rule::Range { field: field.into(), found, low, high })
    }
}

/// Checks that a name is valid.
pub(crate) fn check_name(name: &str) -> Result<(), Rule> {
    let is_allowed = |it: char| it.is_ascii_alphanumeric() || matches!(it, '.' | '_' | '-');
    if (1..=64).contains(&name.len()) && name.chars().all(is_allowed) {
        Ok(())
    } else {
        Err(Rule::Name)
    }
}
