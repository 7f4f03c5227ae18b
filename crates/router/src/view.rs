//! The immutable view that a router has of the cluster, which is replaced as a whole.
//!
//! All tables needed to place a request are computed when a configuration or a roster arrives, not while a request is
//! handled. A request uses the same view for a whole attempt.

use {
    member::Owners,
    model::{
        Config, Digest, Endpoint, EndpointId, EndpointState, Image, Name, Roster, RouterId,
        Service, ServiceId, ServiceKind, Team, TeamId,
    },
    placement::RendezvousHash,
    std::{collections::HashMap, net::SocketAddr, sync::Arc},
};

/// A consistent view of the configuration, the roster and the owners of endpoints.
#[derive(Default)]
pub struct ClusterView {
    /// The current configuration.
    pub config: Arc<Config>,
    /// The current roster.
    pub roster: Roster,
    /// The owner of each endpoint.
    pub owners: Owners,
    tokens: HashMap<Digest, TeamId>,
    models: HashMap<Name, (ServiceId, Image)>,
    rendezvous: HashMap<(ServiceId, Option<Image>), Arc<RendezvousHash>>,
}

impl ClusterView {
    /// Computes the view of a configuration, a roster and the owners that follow from them.
    pub fn new(config: Arc<Config>, roster: Roster, owners: Owners) -> ClusterView {
        let tokens = tokens(&config);
        let models = models(&config);
        let rendezvous = rendezvous(&config);
        ClusterView { config, roster, owners, tokens, models, rendezvous }
    }

    /// Returns the team that a token belongs to, given the digest of the token.
    pub fn team_by_token(&self, token: &Digest) -> Option<&Arc<Team>> {
        self.config.teams.get(self.tokens.get(token)?)
    }

    /// Returns the service and the image that a model name refers to.
    pub fn model_image(&self, name: &str) -> Option<&(ServiceId, Image)> {
        self.models.get(name)
    }

    /// Returns a plain service by name.
    pub fn plain_service(&self, name: &str) -> Option<&Arc<Service>> {
        self.config.services.values().find(|it| it.kind == ServiceKind::Plain && &*it.name == name)
    }

    /// Returns the rendezvous hash over the endpoints that carry an image of a service.
    pub fn rendezvous(
        &self,
        service: ServiceId,
        image: &Option<Image>,
    ) -> Option<&Arc<RendezvousHash>> {
        self.rendezvous.get(&(service, image.clone()))
    }

    /// Returns an endpoint by ID.
    pub fn endpoint(&self, id: EndpointId) -> Option<&Arc<Endpoint>> {
        self.config.endpoints.get(&id)
    }

    /// Returns the address at which a router listens for other routers.
    pub fn router_addr(&self, router: RouterId) -> Option<SocketAddr> {
        self.roster.get(router).map(|it| it.addr)
    }
}

fn tokens(config: &Config) -> HashMap<Digest, TeamId> {
    let teams = config.teams.values();
    teams.flat_map(|team| team.tokens.iter().map(|token| (*token, team.id))).collect()
}

/// Maps each name that a caller may use to an image: `model`, `model@version`, `model+adapter` and
/// `model+adapter@version`. A name without a version refers to the highest version that an active endpoint carries.
fn models(config: &Config) -> HashMap<Name, (ServiceId, Image)> {
    let mut models: HashMap<Name, (ServiceId, Image)> = HashMap::new();
    for endpoint in config.endpoints.values().filter(|it| it.state == EndpointState::Active) {
        for image in &endpoint.images {
            let unversioned = image_name(image);
            let entry = (endpoint.service, image.clone());
            models.insert(format!("{unversioned}@{}", image.version).into(), entry.clone());
            let latest = models.entry(unversioned).or_insert_with(|| entry.clone());
            if latest.1.version < image.version {
                *latest = entry;
            }
        }
    }
    models
}

fn image_name(image: &Image) -> Name {
    if image.adapter.is_empty() {
        image.model.clone()
    } else {
        format!("{}+{}", image.model, image.adapter).into()
    }
}

fn rendezvous(config: &Config) -> HashMap<(ServiceId, Option<Image>), Arc<RendezvousHash>> {
    let mut keys: Vec<(ServiceId, Option<Image>)> = Vec::new();
    for endpoint in config.endpoints.values() {
        let images = endpoint.images.iter().map(|it| (endpoint.service, Some(it.clone())));
        keys.extend(images);
        if endpoint.images.is_empty() {
            keys.push((endpoint.service, None));
        }
    }
    keys.sort();
    keys.dedup();
    let build = |(service, image): (ServiceId, Option<Image>)| {
        let rendezvous = RendezvousHash::new(config, service, image.as_ref());
        ((service, image), Arc::new(rendezvous))
    };
    keys.into_iter().map(build).collect()
}
