//! What a plan does to live requests and endpoints.

use {
    derive_more::{Debug, Display},
    model::{Change, Config, Endpoint, EndpointState, Image, Name, ServiceId, Work},
    serde::{Deserialize, Serialize},
};

/// The load of a service when a plan was made.
#[derive(Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub struct ServiceLoad {
    /// The service.
    pub service: ServiceId,
    /// The sum of its endpoints' loads.
    pub sum: Work,
    /// How many endpoints the sum covers.
    pub count: u32,
}

/// What the weight store allows.
#[derive(Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize, Debug)]
pub struct WeightStore {
    /// The bytes of one image.
    pub image_bytes: u64,
    /// The bytes a second that the store gives to the whole fleet.
    pub rate_bytes: u64,
}

/// One effect of a plan.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug, Display)]
pub enum Effect {
    /// An endpoint takes nothing new; what runs there ends in order.
    #[display(
        "endpoint {endpoint} drains: about {load} units of work end there, new requests go elsewhere"
    )]
    Drains {
        /// The endpoint.
        endpoint: Name,
        /// Its load, as the mean of its service.
        load: Work,
    },
    /// An endpoint that was active is removed.
    #[display(
        "endpoint {endpoint} leaves: about {load} units of work end there, new requests go elsewhere"
    )]
    Leaves {
        /// The endpoint.
        endpoint: Name,
        /// Its load, as the mean of its service.
        load: Work,
    },
    /// An endpoint starts to take work.
    #[display("endpoint {endpoint} takes work: some chats move there")]
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
    /// An endpoint no longer carries an image.
    #[display("endpoint {endpoint} unloads {image}: its requests for it end first")]
    Unloads {
        /// The endpoint.
        endpoint: Name,
        /// The image.
        image: Image,
    },
    /// How long all loads take under the weight store's limit.
    #[display("{count} weight loads take about {ms} ms under the weight store's limit")]
    LoadTime {
        /// How many images are loaded.
        count: u32,
        /// How long that takes, in milliseconds.
        ms: u64,
    },
    /// Callers of a team are refused.
    #[display("team {team} is removed: running requests end, new ones are refused")]
    Refuses {
        /// The team.
        team: Name,
    },
    /// A service is no longer served.
    #[display("service {service} is removed: running requests end, new ones are refused")]
    Ends {
        /// The service.
        service: Name,
    },
}

/// Returns the effects of changes on a configuration.
pub(crate) fn of(
    config: &Config,
    changes: &[Change],
    live: &[ServiceLoad],
    weights: WeightStore,
) -> Vec<Effect> {
    let mut effects: Vec<_> = changes.iter().flat_map(|it| one(config, it, live)).collect();
    let count = effects.iter().filter(|it| matches!(it, Effect::Loads { .. })).count() as u32;
    if count > 0 {
        effects.push(Effect::LoadTime { count, ms: weights.load_ms(count) });
    }
    effects
}

fn one(config: &Config, change: &Change, live: &[ServiceLoad]) -> Vec<Effect> {
    match change {
        Change::SetEndpoint(after) => {
            let before = config.endpoints.get(&after.id);
            endpoint(before.map(|it| &**it), after, live)
        }
        Change::DropEndpoint(id) => {
            let gone = config.endpoints.get(id).filter(|it| it.state == EndpointState::Active);
            let leaves =
                |it| Effect::Leaves { endpoint: Endpoint::clone(it).name, load: mean(live, it) };
            gone.map(|it| leaves(it)).into_iter().collect()
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

fn endpoint(before: Option<&Endpoint>, after: &Endpoint, live: &[ServiceLoad]) -> Vec<Effect> {
    let mut effects = Vec::new();
    let name = || after.name.clone();
    let was = before.map(|it| it.state);
    match (was, after.state) {
        (Some(EndpointState::Active), EndpointState::Draining) => {
            effects.push(Effect::Drains { endpoint: name(), load: mean(live, after) });
        }
        (None | Some(EndpointState::Draining), EndpointState::Active) => {
            effects.push(Effect::Joins { endpoint: name() });
        }
        _ => {}
    }
    let old = before.map_or(&[][..], |it| &it.images);
    let added = after.images.iter().filter(|it| !old.contains(it));
    effects.extend(added.map(|it| Effect::Loads { endpoint: name(), image: it.clone() }));
    let gone = old.iter().filter(|it| !after.images.contains(it));
    effects.extend(gone.map(|it| Effect::Unloads { endpoint: name(), image: it.clone() }));
    effects
}

fn mean(live: &[ServiceLoad], endpoint: &Endpoint) -> Work {
    let load = live.iter().find(|it| it.service == endpoint.service);
    load.map_or(Work::ZERO, |it| Work(it.sum.0 / u64::from(it.count.max(1))))
}

impl WeightStore {
    /// How long so many loads take, in milliseconds; zero without a limit.
    pub fn load_ms(&self, count: u32) -> u64 {
        let bytes = u128::from(self.image_bytes) * u128::from(count) * 1_000;
        let ms = bytes.checked_div(u128::from(self.rate_bytes)).unwrap_or(0);
        ms.min(u128::from(u64::MAX)) as u64
    }
}
