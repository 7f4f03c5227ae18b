//! Ranks endpoints for a prompt by rendezvous hashing.
//!
//! The ranking is the same in every router, and the first endpoint is the prompt's home. An
//! endpoint that joins or leaves changes the home only of prompts that rank it first.

use {crate::endpoint::Endpoint, model::mix2};

/// Returns the indexes of the endpoints, ranked for the prompt with this key.
pub(crate) fn ranked<'a, I>(key: u64, endpoints: I) -> Vec<usize>
where
    I: Iterator<Item = (usize, &'a Endpoint)>,
{
    let mut scored: Vec<_> = endpoints.map(|(at, it)| (mix2(key, it.hash), at)).collect();
    scored.sort_unstable_by(|a, b| b.cmp(a));
    scored.into_iter().map(|it| it.1).collect()
}
