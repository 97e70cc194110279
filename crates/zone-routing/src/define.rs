//! What operators define, and which definitions could never work.

/// Zones that are as good as each other for a class, with weights.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Tier {
    pub zones: Vec<String>,
}

/// Tiers of preference of a class, or of all that have none of their own, for dispatchers of a zone, or of any.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Route {
    pub class: Option<String>,
    pub from: Option<String>,
    /// Nearest first. Zones that stand in none come last, together.
    pub tiers: Vec<Tier>,
}

/// How much work of other zones one may be given: a part of its cores in threads, for all classes or for one.
#[derive(Debug, Clone, PartialEq)]
pub struct Spill {
    pub into: Option<String>,
    pub class: Option<String>,
    pub most: f64,
}

/// When a zone is cut: most of its engines fail, and nothing was heard of it for so long (ms).
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Cut {
    pub quiet_for: f64,
    /// Part of the engines that have been tried which fail.
    pub part: f64,
}

impl Default for Cut {
    fn default() -> Self {
        Cut {
            quiet_for: 1200.0,
            part: 0.75,
        }
    }
}

/// How a zone that came back is filled: from a first part to the whole in so long (ms) of good answers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Climb {
    pub first: f64,
    pub over: f64,
    /// Threads a core that the whole means.
    pub whole: f64,
}

impl Default for Climb {
    fn default() -> Self {
        Climb {
            first: 0.1,
            over: 20_000.0,
            whole: 2.0,
        }
    }
}

#[derive(Debug, Clone, PartialEq, Default)]
pub struct Definition {
    pub routes: Vec<Route>,
    pub spills: Vec<Spill>,
    pub cut: Cut,
    pub climb: Climb,
    /// Of the further attempts this part may go to another zone than the last one.
    pub cross_retries: f64,
}

/// What could never work: the key, what was there, what is allowed.
#[derive(Debug, Clone, PartialEq)]
pub struct Fault {
    pub key: String,
    pub found: String,
    pub allowed: &'static str,
}

impl Definition {
    /// The route of a class from a zone: the most particular one that fits.
    pub fn route(&self, class: &str, from: &str) -> Option<&Route> {
        let fits = |route: &&Route| {
            route.class.as_deref().is_none_or(|c| c == class)
                && route.from.as_deref().is_none_or(|f| f == from)
        };
        let particular = |route: &&Route| (route.class.is_some(), route.from.is_some());
        // Of routes as particular as each other the first counts.
        self.routes.iter().rev().filter(fits).max_by_key(particular)
    }

    /// The rank of a zone for a class: 0 is nearest; one that stands nowhere is behind all that do. Without a route
    /// the own zone is first, all others are second.
    pub fn rank(&self, class: &str, from: &str, zone: &str) -> u8 {
        match self.route(class, from) {
            Some(route) => {
                let at = route
                    .tiers
                    .iter()
                    .position(|tier| tier.zones.iter().any(|name| name == zone));
                at.unwrap_or(route.tiers.len()).min(254) as u8
            }
            None => u8::from(zone != from),
        }
    }

    /// The part of a zone's cores that a class of other zones may take there.
    pub fn spill(&self, zone: &str, class: Option<&str>) -> f64 {
        let fits = |spill: &&Spill| {
            spill.into.as_deref().is_none_or(|i| i == zone) && spill.class.as_deref() == class
        };
        let of: Vec<&Spill> = self.spills.iter().filter(fits).collect();
        // One for this very zone goes before one for any.
        let own = of.iter().find(|spill| spill.into.is_some()).or(of.first());
        own.map_or(f64::INFINITY, |spill| spill.most)
    }
}

/// All faults: zones that stand twice, routes that can't be reached, limits that carry nothing at all.
pub fn faults(definition: &Definition) -> Vec<Fault> {
    let mut faults = Vec::new();
    let mut add = |key: String, found: String, allowed: &'static str| {
        faults.push(Fault {
            key,
            found,
            allowed,
        })
    };
    for (n, route) in definition.routes.iter().enumerate() {
        let same = |other: &&Route| other.class == route.class && other.from == route.from;
        if definition.routes[..n].iter().find(same).is_some() {
            add(
                format!("route.{n}"),
                "the same class and hall a second time".into(),
                "a route that can be reached",
            );
        }
        if route.tiers.is_empty() {
            add(
                format!("route.{n}.tier"),
                "missing".into(),
                "one tier at the least",
            );
        }
        let mut seen: Vec<&str> = Vec::new();
        for (t, tier) in route.tiers.iter().enumerate() {
            if tier.zones.is_empty() {
                add(
                    format!("route.{n}.tier.{t}.hall"),
                    "missing".into(),
                    "one hall at the least",
                );
            }
            for (h, zone) in tier.zones.iter().enumerate() {
                if seen.contains(&zone.as_str()) {
                    let key = format!("route.{n}.tier.{t}.hall.{h}");
                    add(
                        key,
                        format!("{zone:?} a second time"),
                        "each hall in one tier: the later one is never reached",
                    );
                }
                seen.push(zone);
            }
        }
    }
    // Zones that are each other's only way out, with no room for what would come, lose their work twice.
    for (n, spill) in definition.spills.iter().enumerate() {
        let same = |other: &&Spill| other.into == spill.into && other.class == spill.class;
        if definition.spills[..n].iter().find(same).is_some() {
            add(
                format!("spill.{n}"),
                "the same hall and class a second time".into(),
                "one limit for each",
            );
        }
        let named = |spill: &Spill| {
            spill.class.as_ref().and_then(|class| {
                definition
                    .routes
                    .iter()
                    .position(|route| route.class.as_ref() == Some(class) && route.tiers.len() > 1)
            })
        };
        if let (true, Some(route)) = (spill.most <= 0.0, named(spill)) {
            let found = format!("0 for a class that route {route} sends there");
            add(
                format!("spill.{n}.most"),
                found,
                "more than 0, or no further tier: the limit can't carry the class at all",
            );
        }
    }
    faults
}

#[cfg(test)]
mod tests {
    use super::*;

    fn tiers(names: &[&[&str]]) -> Vec<Tier> {
        names
            .iter()
            .map(|zones| Tier {
                zones: zones.iter().map(ToString::to_string).collect(),
            })
            .collect()
    }

    #[test]
    fn the_most_particular_route_counts_and_unnamed_zones_come_last() {
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
        let d = Definition {
            routes,
            ..Definition::default()
        };
        let rank = |class, from| ["a", "b", "c"].map(|zone| d.rank(class, from, zone));
        assert_eq!(
            (rank("look", "x"), rank("look", "b"), rank("load", "b")),
            ([0, 1, 2], [1, 0, 2], [1, 0, 0])
        );
        assert_eq!(Definition::default().rank("look", "a", "b"), 1);
        assert_eq!(faults(&d), []);
    }

    #[test]
    fn what_could_never_work_is_named() {
        let route = |class: Option<&str>, names: &[&[&str]]| Route {
            class: class.map(Into::into),
            from: None,
            tiers: tiers(names),
        };
        let says = |routes: Vec<Route>, spills: Vec<Spill>| {
            let all = faults(&Definition {
                routes,
                spills,
                ..Definition::default()
            });
            all.iter()
                .map(|f| format!("{}: {}", f.key, f.found))
                .collect::<Vec<_>>()
                .join("; ")
        };
        let spill = |class: Option<&str>, most| Spill {
            into: None,
            class: class.map(Into::into),
            most,
        };
        assert!(says(vec![route(None, &[&["a"], &["b", "a"]])], vec![])
            .contains("route.0.tier.1.hall.1: \"a\" a second"));
        assert!(
            says(vec![route(None, &[&["a"]]), route(None, &[&["b"]])], vec![])
                .contains("route.1: the same")
        );
        assert!(says(vec![route(None, &[])], vec![]).contains("route.0.tier: missing"));
        assert!(says(vec![route(None, &[&[]])], vec![]).contains("tier.0.hall: missing"));
        assert!(
            says(vec![], vec![spill(None, 0.1), spill(None, 0.2)]).contains("spill.1: the same")
        );
        let load = || vec![route(Some("load"), &[&["a"], &["b"]])];
        assert!(
            says(load(), vec![spill(Some("load"), 0.0)]).contains("spill.0.most: 0 for a class")
        );
        assert!(says(load(), vec![spill(Some("load"), 0.1)]).is_empty());
    }
}
