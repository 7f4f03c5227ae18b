//! The order in which endpoints come into question for a prompt.
//!
//! It is a rendezvous hash, the same in every router: the first endpoint is the prompt's home. An endpoint that joins
//! or leaves changes the home of those prompts alone that it is or was first for.

use {crate::endpoint::Endpoint, model::mix2};

/// Returns indexes of endpoints in a prompt's order.
pub(crate) fn ranked<'a, I>(key: u64, endpoints: I) -> Vec<usize>
where
    I: Iterator<Item = (usize, &'a Endpoint)>,
{
    let mut scored: Vec<_> = endpoints.map(|(at, it)| (mix2(key, it.hash), at)).collect();
    scored.sort_unstable_by(|a, b| b.cmp(a));
    scored.into_iter().map(|it| it.1).collect()
}
