//! In which regions a request may be handled.

use {crate::config::Regions, model::Name};

/// Returns the regions that a route and a team both allow, or `None` if neither names any. They may have none in
/// common.
pub fn allowed_regions(route: &[Name], team: &[Name]) -> Option<Regions> {
    match (route, team) {
        ([], []) => None,
        (regions, []) | ([], regions) => Some(regions.into()),
        _ => Some(route.iter().filter(|it| team.contains(it)).cloned().collect()),
    }
}
