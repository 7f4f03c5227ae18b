//! Where a chat should run: weighted rendezvous hashing over the endpoints of a service.
//!
//! Each endpoint scores each chat; the highest score is the home, the next ones are where the chat spills to, in
//! order. Adding or removing an endpoint moves only the chats that it wins or won.

use {
    model::{ChatKey, Config, Endpoint, EndpointId, EndpointState, Image, ServiceId, mix},
    std::f32::consts::LN_2,
};

/// No hash is farther from zero than this, at standard weight.
const FARTHEST: f32 = 26.0;

/// How many candidates one pass over the endpoints finds.
const BATCH: usize = 4;

/// How many endpoints are passed over by one branch.
const GROUP: usize = 4;

/// How many endpoints the first search is expected to find.
const EXPECTED: f32 = 9.0;

/// The weight of a standard endpoint, in thousandths.
const STANDARD: u32 = 1000;

/// The endpoints that can run a service's requests for one image, ready to be scored.
#[derive(Clone, Debug, Default)]
pub struct RendezvousHash {
    ids: Vec<EndpointId>,
    classes: Vec<Class>,
    /// The sum of the weights, in standard endpoints.
    weight: f32,
}

/// The endpoints of one weight.
#[derive(Clone, Debug)]
struct Class {
    /// The reciprocal of the weight.
    slowness: f32,
    seeds: Vec<u64>,
    /// Where their ids are in [`RendezvousHash::ids`].
    first: u32,
}

impl RendezvousHash {
    /// Takes the active endpoints of a service, those that carry `image` if there is one.
    pub fn new(config: &Config, service: ServiceId, image: Option<&Image>) -> RendezvousHash {
        let carries = |it: &Endpoint| image.is_none_or(|image| it.images.contains(image));
        let active = |it: &Endpoint| it.service == service && it.state == EndpointState::Active;
        let fitting = config.endpoints.values().filter(|it| active(it) && carries(it));
        RendezvousHash::from_weights(fitting.map(|it| (it.id, it.weight)))
    }

    /// Takes endpoints with their weights, in thousandths of a standard endpoint.
    pub fn from_weights<I>(endpoints: I) -> RendezvousHash
    where
        I: IntoIterator<Item = (EndpointId, u32)>,
    {
        let mut endpoints: Vec<_> =
            endpoints.into_iter().map(|(id, weight)| (weight, id)).collect();
        endpoints.sort_unstable();
        let mut homes = RendezvousHash::default();
        for class in endpoints.chunk_by(|a, b| a.0 == b.0) {
            homes.classes.push(Class {
                slowness: STANDARD as f32 / class[0].0.max(1) as f32,
                seeds: class.iter().map(|it| mix(u64::from(it.1.0))).collect(),
                first: homes.ids.len() as u32,
            });
            homes.ids.extend(class.iter().map(|it| it.1));
            homes.weight += class.len() as f32 * class[0].0.max(1) as f32 / STANDARD as f32;
        }
        homes
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
        let reach = EXPECTED / (LN_2 * self.weight);
        RankedEndpoints {
            homes: self,
            chat,
            reach,
            batch: [0; BATCH],
            next: BATCH,
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
    fn best(&self, chat: [u64; 2], reach: &mut f32, below: u64) -> [u64; BATCH] {
        loop {
            let mut best = [0; BATCH];
            self.classes.iter().for_each(|it| it.improve(&mut best, chat, *reach, below));
            let lowest = best[BATCH - 1];
            let whole = *reach > FARTHEST * self.slowest();
            if whole || (lowest != 0 && distance(lowest) <= *reach) {
                return best;
            }
            *reach *= 4.0;
        }
    }

    fn slowest(&self) -> f32 {
        self.classes.first().map_or(1.0, |it| it.slowness)
    }
}

impl Class {
    /// Puts those ranks of endpoints within the reach into `best` that are higher than the lowest there.
    fn improve(&self, best: &mut [u64; BATCH], chat: [u64; 2], reach: f32, below: u64) {
        let chance = self.chance(reach);
        let (groups, rest) = self.seeds.as_chunks::<GROUP>();
        for (group, seeds) in groups.iter().enumerate() {
            let near = seeds.map(|it| hash(chat, it) >= chance);
            if near[0] | near[1] | near[2] | near[3] {
                self.improve_by(best, chat, group * GROUP, chance, below);
            }
        }
        if !rest.is_empty() {
            self.improve_by(best, chat, groups.len() * GROUP, chance, below);
        }
    }

    /// Does so for the group of endpoints that begins at `first`.
    #[inline(never)]
    fn improve_by(
        &self,
        best: &mut [u64; BATCH],
        chat: [u64; 2],
        first: usize,
        chance: u64,
        below: u64,
    ) {
        for (at, seed) in self.seeds.iter().enumerate().skip(first).take(GROUP) {
            let hash = hash(chat, *seed);
            if hash < chance {
                continue;
            }
            let rank = self.rank(hash, at);
            if rank > best[BATCH - 1] && rank < below {
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
        let distance = (-exponent - log2_1p(mantissa)).max(0.0) * self.slowness;
        u64::from(!distance.to_bits()) << 32 | u64::from(self.first + at as u32 + 1)
    }

    /// A hash below this one is beyond the reach; a little less than the limit, so that rounding decides nothing.
    fn chance(&self, reach: f32) -> u64 {
        let uniform = (-reach / self.slowness).exp2() - 0.000_1;
        ((uniform.max(0.0) * 16_777_216.0) as u64) << 40
    }
}

/// The distance that a rank stands for.
fn distance(rank: u64) -> f32 {
    f32::from_bits(!((rank >> 32) as u32))
}

/// Puts a rank in place of the lowest one.
fn insert(best: &mut [u64; BATCH], rank: u64) {
    best[BATCH - 1] = rank;
    for at in (1..BATCH).rev() {
        if best[at - 1] < best[at] {
            best.swap(at - 1, at);
        }
    }
}

/// Mixes a chat's two words with an endpoint's seed by one wide multiplication.
#[inline(always)]
fn hash(chat: [u64; 2], seed: u64) -> u64 {
    let wide = u128::from(chat[0] ^ seed) * u128::from(chat[1] ^ seed);
    (wide >> 64) as u64 ^ wide as u64
}

/// Approximates log2(1 + x) for x in 0..1; exact at both ends.
fn log2_1p(x: f32) -> f32 {
    let curve = 0.442_695 + x * (-0.256_3 + x * (0.134_6 + x * -0.043_2));
    x + x * (1.0 - x) * curve
}

/// Walks the endpoints in the order of their scores for one chat, without allocating.
#[derive(Clone, Debug)]
pub struct RankedEndpoints<'a> {
    homes: &'a RendezvousHash,
    chat: [u64; 2],
    /// Endpoints beyond this distance are not looked at.
    reach: f32,
    batch: [u64; BATCH],
    next: usize,
    below: u64,
}

impl Iterator for RankedEndpoints<'_> {
    type Item = EndpointId;

    fn next(&mut self) -> Option<EndpointId> {
        if self.next == BATCH {
            if self.below == 0 {
                return None;
            }
            self.batch = self.homes.best(self.chat, &mut self.reach, self.below);
            self.below = self.batch[BATCH - 1];
            self.next = 0;
        }
        let rank = self.batch[self.next];
        let at = (rank as u32).checked_sub(1)?;
        self.next += 1;
        self.homes.ids.get(at as usize).copied()
    }
}
