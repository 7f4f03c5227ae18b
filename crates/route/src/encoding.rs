//! The encoding in which processes send configurations to each other.
//!
//! It begins with the bytes that commit 0d4d3b9 writes (see [`crate::frozen`]). An extension section with all later
//! fields follows, which builds of 0d4d3b9 ignore. The section states the level of the fields that its content covers,
//! and holds each field under a tag and with its length, so that readers skip the fields that they do not know.
//!
//! To add a field: raise [`FIELD_LEVEL`], and give the field a new [`Tag`].

use {
    crate::{
        config::{ColdStart, Regions, Route, RoutingConfig, Service, Team},
        delta::{RouteDelta, route_key},
        frozen::{FrozenConfig, FrozenDelta},
    },
    bincode::{
        config::{Configuration, Limit, LittleEndian, Varint, standard},
        serde::{decode_from_slice, encode_to_vec},
    },
    derive_more::{Debug, Display, Error},
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    std::collections::HashMap,
};

/// The level of the fields that this build knows. Level 0 is that of commit 0d4d3b9; level 1 has the regions of routes
/// and teams and the cold starts of services.
pub const FIELD_LEVEL: u32 = 1;

/// A decoded value.
#[derive(Clone, PartialEq, Debug)]
pub struct Decoded<T> {
    /// The value. Fields above the level have their defaults.
    pub value: T,
    /// The level of the fields that the sender knew, at most [`FIELD_LEVEL`].
    pub level: u32,
}

/// A value could not be encoded or decoded.
#[derive(Clone, PartialEq, Eq, Debug, Display, Error)]
#[display("encoded configuration: {reason}")]
pub struct EncodingError {
    /// The cause, for display.
    pub reason: String,
}

/// The fields of the section. A number is never used for anything else.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Tag {
    RouteRegions = 1,
    TeamRegions = 2,
    ColdStarts = 3,
}

#[derive(Serialize, Deserialize)]
struct Section {
    level: u32,
    fields: Vec<Field>,
}

#[derive(Serialize, Deserialize)]
struct Field {
    tag: u32,
    content: Vec<u8>,
}

/// The values of a field that differ from the default, each with the index of its route, team or service.
type Sparse<T> = Vec<(u32, T)>;

/// The limit on the bytes of a value, as `wire::Compressed` has it.
const MAX_BYTES: usize = 64 << 20;

/// Without a limit, `bincode` allocates whatever length a string claims to have, which aborts the process.
fn options() -> Configuration<LittleEndian, Varint, Limit<MAX_BYTES>> {
    standard().with_limit::<MAX_BYTES>()
}

fn error<E>(err: E) -> EncodingError
where
    E: std::fmt::Display,
{
    EncodingError { reason: err.to_string() }
}

impl RoutingConfig {
    /// Encodes the configuration, of whose fields those up to `level` are known. Level 0 gives the bytes of commit
    /// 0d4d3b9.
    ///
    /// # Errors
    ///
    /// A list is too long.
    pub fn encode(&self, level: u32) -> Result<Vec<u8>, EncodingError> {
        let frozen = encode_value(&FrozenConfig::from(self))?;
        append_section(frozen, level, &self.routes, &self.teams, &self.services)
    }

    /// Decodes a configuration.
    ///
    /// # Errors
    ///
    /// The bytes do not encode a configuration.
    pub fn decode(bytes: &[u8]) -> Result<Decoded<RoutingConfig>, EncodingError> {
        let (frozen, rest) = decode_value::<FrozenConfig>(bytes)?;
        let mut value = RoutingConfig::from(frozen);
        let level = apply_section(rest, &mut value.routes, &mut value.teams, &mut value.services)?;
        Ok(Decoded { value, level })
    }

    /// Takes the fields above level 0 from `older` for all routes, teams and services that it has too. A restriction
    /// thereby stays in force if the sender of a later configuration does not know such fields.
    pub fn inherit(&mut self, older: &RoutingConfig) {
        let routes: HashMap<_, _> = older.routes.iter().map(|it| (route_key(it), it)).collect();
        for route in &mut self.routes {
            if let Some(older) = routes.get(&route_key(route)) {
                route.regions.clone_from(&older.regions);
            }
        }
        let teams: HashMap<_, _> = older.teams.iter().map(|it| (&it.name, it)).collect();
        for team in &mut self.teams {
            if let Some(older) = teams.get(&team.name) {
                team.regions.clone_from(&older.regions);
            }
        }
        let services: HashMap<_, _> = older.services.iter().map(|it| (&it.name, it)).collect();
        for service in &mut self.services {
            if let Some(older) = services.get(&service.name) {
                service.cold = older.cold;
            }
        }
    }
}

impl RouteDelta {
    /// Encodes the delta between two configurations, of whose fields those up to `level` are known.
    ///
    /// # Errors
    ///
    /// A list is too long.
    pub fn encode(&self, level: u32) -> Result<Vec<u8>, EncodingError> {
        let frozen = encode_value(&FrozenDelta::from(self))?;
        let services = self.services.as_deref().unwrap_or_default();
        append_section(frozen, level, &self.routes, &self.teams, services)
    }

    /// Decodes a delta.
    ///
    /// # Errors
    ///
    /// The bytes do not encode a delta.
    pub fn decode(bytes: &[u8]) -> Result<Decoded<RouteDelta>, EncodingError> {
        let (frozen, rest) = decode_value::<FrozenDelta>(bytes)?;
        let mut value = RouteDelta::from(frozen);
        let services = value.services.as_deref_mut().unwrap_or_default();
        let level = apply_section(rest, &mut value.routes, &mut value.teams, services)?;
        Ok(Decoded { value, level })
    }
}

fn append_section(
    mut frozen: Vec<u8>,
    level: u32,
    routes: &[Route],
    teams: &[Team],
    services: &[Service],
) -> Result<Vec<u8>, EncodingError> {
    if level == 0 {
        return Ok(frozen);
    }
    let route_regions = routes.iter().map(|it| non_empty(&it.regions));
    let team_regions = teams.iter().map(|it| non_empty(&it.regions));
    let cold_starts = services.iter().map(|it| it.cold);
    let fields = [
        encode_field(Tag::RouteRegions, route_regions)?,
        encode_field(Tag::TeamRegions, team_regions)?,
        encode_field(Tag::ColdStarts, cold_starts)?,
    ];
    let fields = fields.into_iter().flatten().collect();
    let section = Section { level: level.min(FIELD_LEVEL), fields };
    frozen.extend(encode_value(&section)?);
    Ok(frozen)
}

fn non_empty(regions: &Regions) -> Option<&Regions> {
    (!regions.is_empty()).then_some(regions)
}

/// Encodes the values that are set; none if no value is.
fn encode_field<T, I>(tag: Tag, values: I) -> Result<Option<Field>, EncodingError>
where
    T: Serialize,
    I: Iterator<Item = Option<T>>,
{
    let set: Sparse<T> = (0..).zip(values).filter_map(|it| Some((it.0, it.1?))).collect();
    if set.is_empty() {
        return Ok(None);
    }
    Ok(Some(Field { tag: tag as u32, content: encode_value(&set)? }))
}

/// Reads the section, sets its fields and returns its level. Without a section the level is 0.
fn apply_section(
    bytes: &[u8],
    routes: &mut [Route],
    teams: &mut [Team],
    services: &mut [Service],
) -> Result<u32, EncodingError> {
    if bytes.is_empty() {
        return Ok(0);
    }
    let (section, _) = decode_value::<Section>(bytes)?;
    for field in &section.fields {
        if field.tag == Tag::RouteRegions as u32 {
            set_each(field, routes, |it, regions: Vec<_>| it.regions = regions.into())?;
        } else if field.tag == Tag::TeamRegions as u32 {
            set_each(field, teams, |it, regions: Vec<_>| it.regions = regions.into())?;
        } else if field.tag == Tag::ColdStarts as u32 {
            set_each(field, services, |it, cold: ColdStart| it.cold = Some(cold))?;
        }
    }
    Ok(section.level.min(FIELD_LEVEL))
}

fn set_each<T, V, F>(field: &Field, items: &mut [T], set: F) -> Result<(), EncodingError>
where
    V: DeserializeOwned,
    F: Fn(&mut T, V),
{
    // A later build may append to the content.
    let (values, _) = decode_value::<Sparse<V>>(&field.content)?;
    for (index, value) in values {
        let item = items.get_mut(index as usize);
        let item =
            item.ok_or_else(|| error(format!("no entry {index} for field {}", field.tag)))?;
        set(item, value);
    }
    Ok(())
}

fn encode_value<T>(value: &T) -> Result<Vec<u8>, EncodingError>
where
    T: Serialize,
{
    encode_to_vec(value, options()).map_err(error)
}

/// Decodes a value, and returns the bytes after it too.
fn decode_value<T>(bytes: &[u8]) -> Result<(T, &[u8]), EncodingError>
where
    T: DeserializeOwned,
{
    let (value, length) = decode_from_slice(bytes, options()).map_err(error)?;
    Ok((value, bytes.get(length..).unwrap_or_default()))
}
