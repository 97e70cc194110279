//! Selection of routes, and rejection of invalid configurations.

use tansymux_zone_routing::{Config, Route, SpillLimit, Tier};

fn tiers(zones_by_tier: &[&[&str]]) -> Vec<Tier> {
    zones_by_tier
        .iter()
        .map(|zones| Tier {
            zones: zones.iter().map(ToString::to_string).collect(),
        })
        .collect()
}

#[test]
fn most_specific_route_applies_and_unnamed_zones_rank_last() {
    let routes = vec![
        Route {
            class: None,
            from: None,
            tiers: tiers(&[&["a"], &["b"]]),
        },
        Route {
            class: Some("load".into()),
            from: None,
            tiers: tiers(&[&["b", "c"]]),
        },
        Route {
            class: None,
            from: Some("b".into()),
            tiers: tiers(&[&["b"], &["a"]]),
        },
    ];
    let config = Config {
        routes,
        ..Config::default()
    };
    let rank = |class, from| ["a", "b", "c"].map(|zone| config.rank(class, from, zone));
    assert_eq!(
        (rank("look", "x"), rank("look", "b"), rank("load", "b")),
        ([0, 1, 2], [1, 0, 2], [1, 0, 0])
    );
    assert_eq!(Config::default().rank("look", "a", "b"), 1);
    assert_eq!(config.validate(), []);
}

#[test]
fn invalid_configurations_are_rejected_with_the_key() {
    let route = |class: Option<&str>, zones_by_tier: &[&[&str]]| Route {
        class: class.map(Into::into),
        from: None,
        tiers: tiers(zones_by_tier),
    };
    let errors = |routes: Vec<Route>, limits: Vec<SpillLimit>| {
        let found = Config {
            routes,
            spill_limits: limits,
            ..Config::default()
        }
        .validate();
        found
            .iter()
            .map(|error| format!("{}: {}", error.key, error.found))
            .collect::<Vec<_>>()
            .join("; ")
    };
    let spill_limit = |class: Option<&str>, max_threads| SpillLimit {
        into: None,
        class: class.map(Into::into),
        max_threads_per_core: max_threads,
    };
    assert!(errors(vec![route(None, &[&["a"], &["b", "a"]])], vec![])
        .contains("route.0.tier.1.hall.1: \"a\" a second"));
    assert!(
        errors(vec![route(None, &[&["a"]]), route(None, &[&["b"]])], vec![])
            .contains("route.1: the same")
    );
    assert!(errors(vec![route(None, &[])], vec![]).contains("route.0.tier: missing"));
    assert!(errors(vec![route(None, &[&[]])], vec![]).contains("tier.0.hall: missing"));
    assert!(
        errors(vec![], vec![spill_limit(None, 0.1), spill_limit(None, 0.2)])
            .contains("spill.1: the same")
    );
    let load_routes = || vec![route(Some("load"), &[&["a"], &["b"]])];
    assert!(errors(load_routes(), vec![spill_limit(Some("load"), 0.0)])
        .contains("spill.0.most: 0 for a class"));
    assert!(errors(load_routes(), vec![spill_limit(Some("load"), 0.1)]).is_empty());
}
