//! The differences between two configurations, for operators.

use {
    crate::{
        config::{Route, RoutingConfig, Service, Team},
        delta::route_key,
    },
    derive_more::{Debug, Display},
    model::Name,
    std::{collections::HashMap, hash::Hash},
};

/// A difference from the configuration in force.
#[derive(Clone, PartialEq, Eq, Debug, Display)]
pub enum Change {
    /// An entry is new.
    #[display("{entry} is added")]
    Added {
        /// The kind and the name of the entry.
        entry: Name,
    },
    /// An entry is gone.
    #[display("{entry} is removed")]
    Removed {
        /// The kind and the name of the entry.
        entry: Name,
    },
    /// A value differs.
    #[display("{entry}: {field} changes from {from} to {to}")]
    Value {
        /// The kind and the name of the entry.
        entry: Name,
        /// The field.
        field: &'static str,
        /// The value in force.
        from: String,
        /// The new value.
        to: String,
    },
}

/// Returns the changes of the listed fields.
macro_rules! changes {
    ($entry:expr, $old:expr, $new:expr, $($field:ident),+) => {{
        let (entry, old, new): (Name, _, _) = ($entry, $old, $new);
        let mut changes = Vec::new();
        $(if old.$field != new.$field {
            changes.push(Change::Value {
                entry: entry.clone(),
                field: stringify!($field),
                from: format!("{:?}", old.$field),
                to: format!("{:?}", new.$field),
            });
        })+
        changes
    }};
}

impl RoutingConfig {
    /// Returns the differences of `new` from this configuration. Routes are identified by host and prefix.
    pub fn changes_to(&self, new: &RoutingConfig) -> Vec<Change> {
        let route_entry = |it: &Route| format!("route {}", it.name).into();
        let service_entry = |it: &Service| format!("service {}", it.name).into();
        let team_entry = |it: &Team| format!("team {}", it.name).into();
        let mut changes = changes!(
            "limits".into(),
            &self.limits,
            &new.limits,
            header_bytes,
            body_bytes,
            header_ms,
            idle_ms
        );
        changes.extend(compare(&self.routes, &new.routes, route_key, route_entry, |old, new| {
            changes!(
                route_entry(new),
                old,
                new,
                name,
                kind,
                timeout_ms,
                target_ms,
                gap_ms,
                priority,
                split,
                attempts,
                open,
                prompt_affinity,
                resumable,
                regions
            )
        }));
        let name = |it: &Service| it.name.clone();
        changes.extend(compare(&self.services, &new.services, name, service_entry, |old, new| {
            changes!(service_entry(new), old, new, health, connections, engine, cold)
        }));
        let name = |it: &Team| it.name.clone();
        changes.extend(compare(&self.teams, &new.teams, name, team_entry, |old, new| {
            let mut changes = changes!(team_entry(new), old, new, priority, regions);
            changes.extend(key_change(team_entry(new), old, new));
            changes
        }));
        changes
    }
}

/// Keys are compared, but not shown.
fn key_change(entry: Name, old: &Team, new: &Team) -> Option<Change> {
    let kept = new.keys.iter().filter(|it| old.keys.contains(it)).count();
    let is_changed = kept != new.keys.len() || old.keys.iter().any(|it| !new.keys.contains(it));
    let (from, to) = (
        format!("{} keys", old.keys.len()),
        format!("{} keys, {kept} of them kept", new.keys.len()),
    );
    is_changed.then_some(Change::Value { entry, field: "keys", from, to })
}

fn compare<T, K, F, E, D>(old: &[T], new: &[T], key: F, entry: E, differences: D) -> Vec<Change>
where
    K: Eq + Hash,
    F: Fn(&T) -> K,
    E: Fn(&T) -> Name,
    D: Fn(&T, &T) -> Vec<Change>,
{
    let mut removed: HashMap<K, &T> = old.iter().map(|it| (key(it), it)).collect();
    let mut changes = Vec::new();
    for item in new {
        match removed.remove(&key(item)) {
            Some(old) => changes.extend(differences(old, item)),
            None => changes.push(Change::Added { entry: entry(item) }),
        }
    }
    let gone = old.iter().filter(|it| removed.contains_key(&key(it)));
    changes.extend(gone.map(|it| Change::Removed { entry: entry(it) }));
    changes
}
