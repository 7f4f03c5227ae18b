//! Where a chat should run: weighted rendezvous hashing over the endpoints of a service.
//!
//! Each endpoint scores each chat; the highest score is the home, the next ones are where the chat spills to, in
//! order. Adding or removing an endpoint moves only the chats that it wins or won.

use {
    model::{ChatKey, Config, Endpoint, EndpointId, EndpointState, Image, ServiceId, mix},
    std::f32::consts::LN_2,
};

/// No hash is farther from zero than this, at standard weight.
const MAX_DISTANCE: f32 = 26.0;

/// How many candidates one pass over the endpoints finds.
const BATCH_SIZE: usize = 4;

/// How many endpoints are passed over by one branch.
const GROUP_SIZE: usize = 4;

/// How many endpoints the first search is expected to find.
const EXPECTED_CANDIDATES: f32 = 9.0;

/// The weight of a standard endpoint, in thousandths.
const STANDARD_WEIGHT: u32 = 1000;

/// The endpoints that can run a service's requests for one image, ready to be scored.
#[derive(Clone, Debug, Default)]
pub struct RendezvousHash {
    ids: Vec<EndpointId>,
    classes: Vec<WeightClass>,
    /// The sum of the weights, in standard endpoints.
    total_weight: f32,
}

/// The endpoints of one weight.
#[derive(Clone, Debug)]
struct WeightClass {
    /// The reciprocal of the weight.
    inverse_weight: f32,
    seeds: Vec<u64>,
    /// Where their ids are in [`RendezvousHash::ids`].
    first: u32,
}

impl RendezvousHash {
    /// Takes the active endpoints of a service, those that carry `image` if there is one.
    pub fn new(config: &Config, service: ServiceId, image: Option<&Image>) -> RendezvousHash {
        let has_image = |it: &Endpoint| image.is_none_or(|image| it.images.contains(image));
        let active = |it: &Endpoint| it.service == service && it.state == EndpointState::Active;
        let eligible = config.endpoints.values().filter(|it| active(it) && has_image(it));
        RendezvousHash::from_weights(eligible.map(|it| (it.id, it.weight)))
    }

    /// Takes endpoints with their weights, in thousandths of a standard endpoint.
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

    /// How many endpoints there are.
    pub fn len(&self) -> usize {
        self.ids.len()
    }

    /// Whether there are no endpoints.
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

    /// Returns the home of a chat.
    pub fn home(&self, chat: ChatKey) -> Option<EndpointId> {
        self.ranked(chat).next()
    }

    /// Finds the highest ranks below `below`, the highest first; missing ones are zero.
    ///
    /// Nearly all endpoints are beyond the reach and are passed over by one comparison. If too few are within it, the
    /// reach is widened and the search done again.
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
    /// Puts those ranks of endpoints within the reach into `best` that are higher than the lowest there.
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

    /// Does so for the group of endpoints that begins at `first`.
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

    /// The rank of an endpoint: above its index plus one, how near `-log2(uniform) x slowness` is to zero.
    ///
    /// So each endpoint wins chats in proportion to its weight. The logarithm is a polynomial in the mantissa, with
    /// only additions and multiplications, which every processor rounds alike.
    fn rank(&self, hash: u64, at: usize) -> u64 {
        let uniform = ((hash >> 40) as f32 + 0.5) * (1.0 / 16_777_216.0);
        let bits = uniform.to_bits();
        let exponent = ((bits >> 23) as i32 - 127) as f32;
        let mantissa = f32::from_bits(bits & 0x007f_ffff | 0x3f80_0000) - 1.0;
        let distance = (-exponent - log2_1p(mantissa)).max(0.0) * self.inverse_weight;
        u64::from(!distance.to_bits()) << 32 | u64::from(self.first + at as u32 + 1)
    }

    /// A hash below this one is beyond the reach; a little less than the limit, so that rounding decides nothing.
    fn min_hash(&self, cutoff: f32) -> u64 {
        let uniform = (-cutoff / self.inverse_weight).exp2() - 0.000_1;
        ((uniform.max(0.0) * 16_777_216.0) as u64) << 40
    }
}

/// The distance that a rank stands for.
fn distance(rank: u64) -> f32 {
    f32::from_bits(!((rank >> 32) as u32))
}

/// Puts a rank in place of the lowest one.
fn insert(best: &mut [u64; BATCH_SIZE], rank: u64) {
    best[BATCH_SIZE - 1] = rank;
    for at in (1..BATCH_SIZE).rev() {
        if best[at - 1] < best[at] {
            best.swap(at - 1, at);
        }
    }
}

/// Mixes a chat's two words with an endpoint's seed by one wide multiplication.
#[inline(always)]
fn hash(chat: [u64; 2], seed: u64) -> u64 {
    let product = u128::from(chat[0] ^ seed) * u128::from(chat[1] ^ seed);
    (product >> 64) as u64 ^ product as u64
}

/// Approximates log2(1 + x) for x in 0..1; exact at both ends.
fn log2_1p(x: f32) -> f32 {
    let correction = 0.442_695 + x * (-0.256_3 + x * (0.134_6 + x * -0.043_2));
    x + x * (1.0 - x) * correction
}

/// Walks the endpoints in the order of their scores for one chat, without allocating.
#[derive(Clone, Debug)]
pub struct RankedEndpoints<'a> {
    hash: &'a RendezvousHash,
    chat: [u64; 2],
    /// Endpoints beyond this distance are not looked at.
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
