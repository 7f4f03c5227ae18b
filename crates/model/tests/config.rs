//! A configuration accepts only deltas that continue its digest chain.

use {
    model::{Change, Config, ConfigError, TeamId},
    std::sync::Arc,
};

fn drop_team(id: u32) -> Arc<[Change]> {
    [Change::DropTeam(TeamId(id))].into()
}

#[test]
fn a_delta_applies_only_to_its_base_and_with_a_chained_digest() {
    let mut config = Config::default();
    let first = config.delta(drop_team(1)).unwrap();
    config.apply(&first).unwrap();
    let after = config.clone();
    assert!(matches!(config.apply(&first), Err(ConfigError::Base { .. })));
    let mut forged = config.delta(drop_team(2)).unwrap();
    forged.changes = drop_team(3);
    assert!(matches!(config.apply(&forged), Err(ConfigError::Chain { .. })));
    assert_eq!(config, after);
}
