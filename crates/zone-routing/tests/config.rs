//! Which route counts, and which configurations are refused.

use tansymux_zone_routing::{Config, Route, SpillLimit, Tier};

fn tiers(names: &[&[&str]]) -> Vec<Tier> {
    names
        .iter()
        .map(|zones| Tier {
            zones: zones.iter().map(ToString::to_string).collect(),
        })
        .collect()
}

#[test]
fn most_specific_route_counts_and_unnamed_zones_come_last() {
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
fn configurations_that_cannot_work_are_refused_with_their_key() {
    let route = |class: Option<&str>, names: &[&[&str]]| Route {
        class: class.map(Into::into),
        from: None,
        tiers: tiers(names),
    };
    let says = |routes: Vec<Route>, spills: Vec<SpillLimit>| {
        let all = Config {
            routes,
            spill_limits: spills,
            ..Config::default()
        }
        .validate();
        all.iter()
            .map(|error| format!("{}: {}", error.key, error.found))
            .collect::<Vec<_>>()
            .join("; ")
    };
    let spill = |class: Option<&str>, most| SpillLimit {
        into: None,
        class: class.map(Into::into),
        max_threads_per_core: most,
    };
    assert!(says(vec![route(None, &[&["a"], &["b", "a"]])], vec![])
        .contains("route.0.tier.1.hall.1: \"a\" a second"));
    assert!(
        says(vec![route(None, &[&["a"]]), route(None, &[&["b"]])], vec![])
            .contains("route.1: the same")
    );
    assert!(says(vec![route(None, &[])], vec![]).contains("route.0.tier: missing"));
    assert!(says(vec![route(None, &[&[]])], vec![]).contains("tier.0.hall: missing"));
    assert!(says(vec![], vec![spill(None, 0.1), spill(None, 0.2)]).contains("spill.1: the same"));
    let load = || vec![route(Some("load"), &[&["a"], &["b"]])];
    assert!(says(load(), vec![spill(Some("load"), 0.0)]).contains("spill.0.most: 0 for a class"));
    assert!(says(load(), vec![spill(Some("load"), 0.1)]).is_empty());
}
