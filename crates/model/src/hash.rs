//! Hashes that every process computes identically, so that placement needs no shared table.
//!
//! They are part of the protocol between routers: changing one moves every chat to another
//! endpoint.

use {
    crate::id::{ChatKey, TeamId},
    xxhash_rust::xxh3::{Xxh3Default, xxh3_64, xxh3_64_with_seed},
};

/// Hashes bytes to 64 bits.
pub fn hash64(bytes: &[u8]) -> u64 {
    xxh3_64(bytes)
}

/// Hashes the concatenation of some parts, as [`hash64`] does.
pub fn hash64_parts<'a, I>(parts: I) -> u64
where
    I: IntoIterator<Item = &'a [u8]>,
{
    let mut hasher = Xxh3Default::new();
    parts.into_iter().for_each(|it| hasher.update(it));
    hasher.digest()
}

/// Returns the key by which a chat of a team is placed.
pub fn chat_key(team: TeamId, chat: &str) -> ChatKey {
    ChatKey(xxh3_64_with_seed(chat.as_bytes(), u64::from(team.0)))
}

/// Mixes the bits of a 64-bit word (the SplitMix64 finalizer).
pub fn mix(word: u64) -> u64 {
    let word = word.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let word = (word ^ (word >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let word = (word ^ (word >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    word ^ (word >> 31)
}

/// Mixes two words into one; the result depends on their order.
pub fn mix2(a: u64, b: u64) -> u64 {
    mix(mix(a) ^ b)
}
