//! Weighted rendezvous hashing of chats over the endpoints of a service.
//!
//! Each endpoint gets a rank for each chat. The endpoint with the highest rank is the chat's home,
//! and the chat spills to the others in rank order. Adding or removing an endpoint moves only the
//! chats that it ranks highest for.

use {
    model::{ChatKey, Config, Endpoint, EndpointId, EndpointState, Image, ServiceId, mix},
    std::f32::consts::LN_2,
};

/// Upper bound on the distance of any hash at standard weight.
const MAX_DISTANCE: f32 = 26.0;

/// How many endpoints one pass finds.
const BATCH_SIZE: usize = 4;

/// How many endpoints one branch skips.
const GROUP_SIZE: usize = 4;

/// The expected number of endpoints within the initial cutoff.
const EXPECTED_CANDIDATES: f32 = 9.0;

/// The weight of a standard endpoint, in thousandths.
const STANDARD_WEIGHT: u32 = 1000;

/// The endpoints that can serve one image of a service, prepared for ranking.
#[derive(Clone, Debug, Default)]
pub struct RendezvousHash {
    ids: Vec<EndpointId>,
    classes: Vec<WeightClass>,
    /// The sum of the weights, in units of a standard endpoint.
    total_weight: f32,
}

/// The endpoints that have the same weight.
#[derive(Clone, Debug)]
struct WeightClass {
    /// The reciprocal of the weight, in units of a standard endpoint.
    inverse_weight: f32,
    seeds: Vec<u64>,
    /// The index of the first of their ids in [`RendezvousHash::ids`].
    first: u32,
}

impl RendezvousHash {
    /// Builds the hash from a service's active endpoints. If `image` is given, only endpoints that
    /// carry it are included.
    pub fn new(config: &Config, service: ServiceId, image: Option<&Image>) -> RendezvousHash {
        let has_image = |it: &Endpoint| image.is_none_or(|image| it.images.contains(image));
        let active = |it: &Endpoint| it.service == service && it.state == EndpointState::Active;
        let eligible = config.endpoints.values().filter(|it| active(it) && has_image(it));
        RendezvousHash::from_weights(eligible.map(|it| (it.id, it.weight)))
    }

    /// Builds the hash from endpoints and their weights, in thousandths of a standard endpoint.
    pub fn from_weights<I>(endpoints: I) -> RendezvousHash
    where
        I: IntoIterator<Item = (EndpointId, u32)>,
    {
        let mut endpoints: Vec<_> =
            endpoints.into_iter().map(|(id, weight)| (weight, id)).collect();
        endpoints.sort_unstable();
        let mut hash = RendezvousHash::default();
        for class in endpoints.chunk_by(|a, b| a.0 == b.0) {
            hash.classes.push(WeightClass {
                inverse_weight: STANDARD_WEIGHT as f32 / class[0].0.max(1) as f32,
                seeds: class.iter().map(|it| mix(u64::from(it.1.0))).collect(),
                first: hash.ids.len() as u32,
            });
            hash.ids.extend(class.iter().map(|it| it.1));
            hash.total_weight +=
                class.len() as f32 * class[0].0.max(1) as f32 / STANDARD_WEIGHT as f32;
        }
        hash
    }

    /// Returns the number of endpoints.
    pub fn len(&self) -> usize {
        self.ids.len()
    }

    /// Returns whether there are no endpoints.
    pub fn is_empty(&self) -> bool {
        self.ids.is_empty()
    }

    /// Returns the endpoints in the order in which the chat should try them, its home first.
    pub fn ranked(&self, chat: ChatKey) -> RankedEndpoints<'_> {
        let first = mix(chat.0);
        let chat = [first, mix(first)];
        let cutoff = EXPECTED_CANDIDATES / (LN_2 * self.total_weight);
        RankedEndpoints {
            hash: self,
            chat,
            cutoff,
            batch: [0; BATCH_SIZE],
            next: BATCH_SIZE,
            below: u64::MAX,
        }
    }

    /// Returns the chat's home, or `None` if there are no endpoints.
    pub fn home(&self, chat: ChatKey) -> Option<EndpointId> {
        self.ranked(chat).next()
    }

    /// Finds the highest ranks below `below`, in descending order. Missing ranks are zero.
    ///
    /// One comparison skips nearly all endpoints, because they are beyond the cutoff. If too few
    /// are within it, the cutoff is widened and the search repeated.
    fn top_ranks(&self, chat: [u64; 2], cutoff: &mut f32, below: u64) -> [u64; BATCH_SIZE] {
        loop {
            let mut best = [0; BATCH_SIZE];
            self.classes.iter().for_each(|it| it.update_best(&mut best, chat, *cutoff, below));
            let lowest = best[BATCH_SIZE - 1];
            let all_covered = *cutoff > MAX_DISTANCE * self.max_inverse_weight();
            if all_covered || (lowest != 0 && distance(lowest) <= *cutoff) {
                return best;
            }
            *cutoff *= 4.0;
        }
    }

    fn max_inverse_weight(&self) -> f32 {
        self.classes.first().map_or(1.0, |it| it.inverse_weight)
    }
}

impl WeightClass {
    /// Inserts the ranks of endpoints within the cutoff that are higher than the lowest rank in
    /// `best`.
    fn update_best(&self, best: &mut [u64; BATCH_SIZE], chat: [u64; 2], cutoff: f32, below: u64) {
        let min_hash = self.min_hash(cutoff);
        let (groups, rest) = self.seeds.as_chunks::<GROUP_SIZE>();
        for (group, seeds) in groups.iter().enumerate() {
            let within = seeds.map(|it| hash(chat, it) >= min_hash);
            if within[0] | within[1] | within[2] | within[3] {
                self.update_best_in_group(best, chat, group * GROUP_SIZE, min_hash, below);
            }
        }
        if !rest.is_empty() {
            self.update_best_in_group(best, chat, groups.len() * GROUP_SIZE, min_hash, below);
        }
    }

    /// Inserts the ranks of the group of endpoints that begins at `first`.
    #[inline(never)]
    fn update_best_in_group(
        &self,
        best: &mut [u64; BATCH_SIZE],
        chat: [u64; 2],
        first: usize,
        min_hash: u64,
        below: u64,
    ) {
        for (at, seed) in self.seeds.iter().enumerate().skip(first).take(GROUP_SIZE) {
            let hash = hash(chat, *seed);
            if hash < min_hash {
                continue;
            }
            let rank = self.rank(hash, at);
            if rank > best[BATCH_SIZE - 1] && rank < below {
                insert(best, rank);
            }
        }
    }

    /// Returns the rank of an endpoint. The upper half says how close `-log2(uniform) x
    /// inverse_weight` is to zero, and the lower half is the endpoint's index plus one.
    ///
    /// This way each endpoint wins chats in proportion to its weight. The logarithm is a polynomial
    /// in the mantissa that uses only additions and multiplications, which every processor rounds
    /// identically.
    fn rank(&self, hash: u64, at: usize) -> u64 {
        let uniform = ((hash >> 40) as f32 + 0.5) * (1.0 / 16_777_216.0);
        let bits = uniform.to_bits();
        let exponent = ((bits >> 23) as i32 - 127) as f32;
        let mantissa = f32::from_bits(bits & 0x007f_ffff | 0x3f80_0000) - 1.0;
        let distance = (-exponent - log2_1p(mantissa)).max(0.0) * self.inverse_weight;
        u64::from(!distance.to_bits()) << 32 | u64::from(self.first + at as u32 + 1)
    }

    /// Returns the smallest hash that may be within the cutoff. It is slightly below the exact
    /// limit, so that rounding never excludes an endpoint.
    fn min_hash(&self, cutoff: f32) -> u64 {
        let uniform = (-cutoff / self.inverse_weight).exp2() - 0.000_1;
        ((uniform.max(0.0) * 16_777_216.0) as u64) << 40
    }
}

/// Returns the distance that a rank encodes.
fn distance(rank: u64) -> f32 {
    f32::from_bits(!((rank >> 32) as u32))
}

/// Replaces the lowest rank and restores the descending order.
fn insert(best: &mut [u64; BATCH_SIZE], rank: u64) {
    best[BATCH_SIZE - 1] = rank;
    for at in (1..BATCH_SIZE).rev() {
        if best[at - 1] < best[at] {
            best.swap(at - 1, at);
        }
    }
}

/// Mixes a chat's two words with an endpoint's seed through one widening multiplication.
#[inline(always)]
fn hash(chat: [u64; 2], seed: u64) -> u64 {
    let product = u128::from(chat[0] ^ seed) * u128::from(chat[1] ^ seed);
    (product >> 64) as u64 ^ product as u64
}

/// Approximates log2(1 + x) for x in 0..1. It is exact at both ends.
fn log2_1p(x: f32) -> f32 {
    let correction = 0.442_695 + x * (-0.256_3 + x * (0.134_6 + x * -0.043_2));
    x + x * (1.0 - x) * correction
}

/// Iterates over the endpoints in rank order for one chat, without allocating.
#[derive(Clone, Debug)]
pub struct RankedEndpoints<'a> {
    hash: &'a RendezvousHash,
    chat: [u64; 2],
    /// Endpoints beyond this distance are skipped.
    cutoff: f32,
    batch: [u64; BATCH_SIZE],
    next: usize,
    below: u64,
}

impl Iterator for RankedEndpoints<'_> {
    type Item = EndpointId;

    fn next(&mut self) -> Option<EndpointId> {
        if self.next == BATCH_SIZE {
            if self.below == 0 {
                return None;
            }
            self.batch = self.hash.top_ranks(self.chat, &mut self.cutoff, self.below);
            self.below = self.batch[BATCH_SIZE - 1];
            self.next = 0;
        }
        let rank = self.batch[self.next];
        let at = (rank as u32).checked_sub(1)?;
        self.next += 1;
        self.hash.ids.get(at as usize).copied()
    }
}
