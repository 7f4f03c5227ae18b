//! The effects of a plan on live requests and endpoints.

use {
    derive_more::{Debug, Display},
    model::{Change, Config, Endpoint, EndpointState, Image, Name, ServiceId, Work},
    serde::{Deserialize, Serialize},
};

/// The load of a service at the time when a plan was made.
#[derive(Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub struct ServiceLoad {
    /// The service.
    pub service: ServiceId,
    /// The sum of the loads of its endpoints.
    pub sum: Work,
    /// The number of endpoints in the sum.
    pub count: u32,
}

/// The capacity of the weight store.
#[derive(Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize, Debug)]
pub struct WeightStore {
    /// The size of an image, in bytes.
    pub image_bytes: u64,
    /// The rate at which the store serves the whole fleet, in bytes per second.
    pub rate_bytes: u64,
}

/// An effect of a plan.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug, Display)]
pub enum Effect {
    /// An endpoint accepts no new requests; the running ones finish.
    #[display(
        "endpoint {endpoint} drains: about {load} units of work finish there, new requests go elsewhere"
    )]
    Drains {
        /// The endpoint.
        endpoint: Name,
        /// Its load, estimated as the mean load of its service.
        load: Work,
    },
    /// An active endpoint is removed.
    #[display(
        "endpoint {endpoint} is removed: about {load} units of work finish there, new requests go elsewhere"
    )]
    Leaves {
        /// The endpoint.
        endpoint: Name,
        /// Its load, estimated as the mean load of its service.
        load: Work,
    },
    /// An endpoint starts to accept requests.
    #[display("endpoint {endpoint} accepts requests: some chats move there")]
    Joins {
        /// The endpoint.
        endpoint: Name,
    },
    /// An endpoint loads an image.
    #[display("endpoint {endpoint} loads {image}")]
    Loads {
        /// The endpoint.
        endpoint: Name,
        /// The image.
        image: Image,
    },
    /// An endpoint unloads an image.
    #[display("endpoint {endpoint} unloads {image}: requests for it finish first")]
    Unloads {
        /// The endpoint.
        endpoint: Name,
        /// The image.
        image: Image,
    },
    /// The duration of all weight loads at the rate limit of the weight store.
    #[display("{count} weight loads take about {ms} ms at the rate limit of the weight store")]
    LoadTime {
        /// The number of images to load.
        count: u32,
        /// The duration, in milliseconds.
        ms: u64,
    },
    /// A team is removed and its callers are refused.
    #[display("team {team} is removed: running requests finish, new ones are refused")]
    Refuses {
        /// The team.
        team: Name,
    },
    /// A service is removed.
    #[display("service {service} is removed: running requests finish, new ones are refused")]
    Ends {
        /// The service.
        service: Name,
    },
}

/// Returns the effects of changes to a configuration.
pub(crate) fn of_changes(
    config: &Config,
    changes: &[Change],
    live: &[ServiceLoad],
    weights: WeightStore,
) -> Vec<Effect> {
    let mut effects: Vec<_> = changes.iter().flat_map(|it| of_change(config, it, live)).collect();
    let count = effects.iter().filter(|it| matches!(it, Effect::Loads { .. })).count() as u32;
    if count > 0 {
        effects.push(Effect::LoadTime { count, ms: weights.load_ms(count) });
    }
    effects
}

fn of_change(config: &Config, change: &Change, live: &[ServiceLoad]) -> Vec<Effect> {
    match change {
        Change::SetEndpoint(after) => {
            let before = config.endpoints.get(&after.id);
            of_endpoint_change(before.map(|it| &**it), after, live)
        }
        Change::DropEndpoint(id) => {
            let removed = config.endpoints.get(id).filter(|it| it.state == EndpointState::Active);
            let removal = |it| Effect::Leaves {
                endpoint: Endpoint::clone(it).name,
                load: mean_load(live, it),
            };
            removed.map(|it| removal(it)).into_iter().collect()
        }
        Change::DropTeam(id) => {
            let team = config.teams.get(id).map(|it| it.name.clone());
            team.map(|team| Effect::Refuses { team }).into_iter().collect()
        }
        Change::DropService(id) => {
            let service = config.services.get(id).map(|it| it.name.clone());
            service.map(|service| Effect::Ends { service }).into_iter().collect()
        }
        Change::SetTeam(_) | Change::SetService(_) => Vec::new(),
    }
}

fn of_endpoint_change(
    before: Option<&Endpoint>,
    after: &Endpoint,
    live: &[ServiceLoad],
) -> Vec<Effect> {
    let mut effects = Vec::new();
    let name = || after.name.clone();
    let old_state = before.map(|it| it.state);
    match (old_state, after.state) {
        (Some(EndpointState::Active), EndpointState::Draining) => {
            effects.push(Effect::Drains { endpoint: name(), load: mean_load(live, after) });
        }
        (None | Some(EndpointState::Draining), EndpointState::Active) => {
            effects.push(Effect::Joins { endpoint: name() });
        }
        _ => {}
    }
    let old_images = before.map_or(&[][..], |it| &it.images);
    let added = after.images.iter().filter(|it| !old_images.contains(it));
    effects.extend(added.map(|it| Effect::Loads { endpoint: name(), image: it.clone() }));
    let removed = old_images.iter().filter(|it| !after.images.contains(it));
    effects.extend(removed.map(|it| Effect::Unloads { endpoint: name(), image: it.clone() }));
    effects
}

fn mean_load(live: &[ServiceLoad], endpoint: &Endpoint) -> Work {
    let load = live.iter().find(|it| it.service == endpoint.service);
    load.map_or(Work::ZERO, |it| Work(it.sum.0 / u64::from(it.count.max(1))))
}

impl WeightStore {
    /// Returns how long `count` loads take, in milliseconds; zero if the rate is unlimited.
    pub fn load_ms(&self, count: u32) -> u64 {
        let bytes = u128::from(self.image_bytes) * u128::from(count) * 1_000;
        let ms = bytes.checked_div(u128::from(self.rate_bytes)).unwrap_or(0);
        ms.min(u128::from(u64::MAX)) as u64
    }
}
