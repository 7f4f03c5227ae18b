//! Where a chat should run: weighted rendezvous hashing over the endpoints of a service.
//!
//! Each endpoint scores each chat; the highest score is the home, the next ones are where the chat spills to, in
//! order. Adding or removing an endpoint moves only the chats that it wins or won.

use model::{ChatKey, Config, Endpoint, EndpointId, EndpointState, Image, ServiceId, mix};

/// How many candidates one pass over the endpoints finds.
const BATCH: usize = 8;

/// The weight of a standard endpoint, in thousandths.
const STANDARD: u32 = 1000;

/// The endpoints that can run a service's requests for one image, ready to be scored.
#[derive(Clone, Debug, Default)]
pub struct Homes {
    ids: Vec<EndpointId>,
    seeds: Vec<u64>,
    /// The reciprocals of the weights; empty if all weights are equal.
    slowness: Vec<f32>,
}

impl Homes {
    /// Takes the active endpoints of a service, those that carry `image` if there is one.
    pub fn new(config: &Config, service: ServiceId, image: Option<&Image>) -> Homes {
        let carries = |it: &Endpoint| image.is_none_or(|image| it.images.contains(image));
        let fits = |it: &Endpoint| {
            it.service == service && it.state == EndpointState::Active && carries(it)
        };
        let fitting = || config.endpoints.values().filter(|it| fits(it));
        Homes::of(fitting().map(|it| (it.id, it.weight)))
    }

    /// Takes endpoints with their weights, in thousandths of a standard endpoint; the ids must ascend.
    pub fn of<I>(endpoints: I) -> Homes
    where
        I: IntoIterator<Item = (EndpointId, u32)>,
    {
        let (ids, weights): (Vec<_>, Vec<_>) = endpoints.into_iter().unzip();
        let seeds = ids.iter().map(|it| mix(u64::from(it.0))).collect();
        let equal = weights.windows(2).all(|it| it[0] == it[1]);
        let slowness = |it: &u32| STANDARD as f32 / (*it).max(1) as f32;
        let slowness = if equal { Vec::new() } else { weights.iter().map(slowness).collect() };
        Homes { ids, seeds, slowness }
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
    pub fn order(&self, chat: ChatKey) -> Order<'_> {
        Order { homes: self, chat: mix(chat.0), batch: [0; BATCH], next: BATCH, below: u64::MAX }
    }

    /// Returns the home of a chat.
    pub fn home(&self, chat: ChatKey) -> Option<EndpointId> {
        self.order(chat).next()
    }

    /// Finds the highest ranks below `below`, the highest first; missing ones are zero.
    fn best(&self, chat: u64, below: u64) -> [u64; BATCH] {
        let mut best = Best { ranks: [0; BATCH] };
        if self.slowness.is_empty() {
            let hashes = self.seeds.iter().map(|it| hash(chat, *it) >> 32);
            best.take(hashes, below);
        } else {
            let scores = self.seeds.iter().zip(&self.slowness);
            best.take(scores.map(|(seed, slowness)| score(hash(chat, *seed), *slowness)), below);
        }
        best.ranks
    }
}

/// The highest ranks so far, the highest first.
struct Best {
    ranks: [u64; BATCH],
}

impl Best {
    /// Takes the 32-bit scores of all endpoints; a rank is a score above the endpoint's index plus one.
    fn take<I>(&mut self, scores: I, below: u64)
    where
        I: Iterator<Item = u64>,
    {
        let mut least = 0;
        for (at, score) in scores.enumerate() {
            let rank = score << 32 | (at as u64 + 1);
            if rank > least && rank < below {
                least = self.insert(rank);
            }
        }
    }

    /// Inserts a rank in place of the least one; returns the new least one.
    #[cold]
    fn insert(&mut self, rank: u64) -> u64 {
        let at = self.ranks.partition_point(|it| *it > rank);
        self.ranks.copy_within(at..BATCH - 1, at + 1);
        self.ranks[at] = rank;
        self.ranks[BATCH - 1]
    }
}

/// Mixes a chat with an endpoint's seed; the upper 32 bits are well mixed.
#[inline(always)]
fn hash(chat: u64, seed: u64) -> u64 {
    let word = (chat ^ seed).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    (word ^ (word >> 32)).wrapping_mul(0x94d0_49bb_1331_11eb)
}

/// The 32-bit score of a hash: the larger, the nearer `-log2(uniform) x slowness` is to zero.
///
/// So each endpoint wins chats in proportion to its weight. The logarithm is a polynomial in the mantissa, with only
/// additions and multiplications, which every processor rounds alike.
#[inline(always)]
fn score(hash: u64, slowness: f32) -> u64 {
    let uniform = ((hash >> 40) as f32 + 0.5) * (1.0 / 16_777_216.0);
    let bits = uniform.to_bits();
    let exponent = (bits >> 23) as f32 - 127.0;
    let mantissa = f32::from_bits(bits & 0x007f_ffff | 0x3f80_0000) - 1.0;
    let log = exponent + log2_1p(mantissa);
    let distance = (-log).max(0.0) * slowness;
    u64::from(!distance.to_bits())
}

/// Approximates log2(1 + x) for x in 0..1; exact at both ends.
#[inline(always)]
fn log2_1p(x: f32) -> f32 {
    let curve = 0.442_695 + x * (-0.256_3 + x * (0.134_6 + x * -0.043_2));
    x + x * (1.0 - x) * curve
}

/// Walks the endpoints in the order of their scores for one chat, without allocating.
#[derive(Clone, Debug)]
pub struct Order<'a> {
    homes: &'a Homes,
    chat: u64,
    batch: [u64; BATCH],
    next: usize,
    below: u64,
}

impl Iterator for Order<'_> {
    type Item = EndpointId;

    fn next(&mut self) -> Option<EndpointId> {
        if self.next == BATCH {
            if self.below == 0 {
                return None;
            }
            self.batch = self.homes.best(self.chat, self.below);
            self.below = self.batch[BATCH - 1];
            self.next = 0;
        }
        let rank = self.batch[self.next];
        let at = (rank as u32).checked_sub(1)?;
        self.next += 1;
        self.homes.ids.get(at as usize).copied()
    }
}
