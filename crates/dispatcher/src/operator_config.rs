//! The operators' file on disk: read at the start and at SIGHUP, whole or not at all.

use crate::config::text_of;
use std::path::Path;
use tansymux::settings::{self, RawSettings, SettingsMap};
use tansymux_operator_config::schema::term::Signal::Pressed;
use tansymux_operator_config::{ConfigErrors, Operator, MAX_BYTES};

/// Reads and checks the file; what is wrong, a line for each fault, with file and line.
pub fn read(path: &Path) -> Result<Operator, Vec<String>> {
    let name = path.display().to_string();
    let text = text_of(&name, MAX_BYTES as u64).map_err(|e| vec![format!("{name}{e}")])?;
    tansymux_operator_config::parse(&text).map_err(|errors| lines(&name, &errors))
}

/// The file that is named, if one is; else what a file that says nothing says.
pub fn read_if(path: Option<&Path>) -> Result<Operator, Vec<String>> {
    path.map_or_else(|| Ok(Operator::default()), read)
}

fn lines(name: &str, errors: &ConfigErrors) -> Vec<String> {
    errors
        .iter()
        .map(|error| format!("{name}:{error}"))
        .collect()
}

/// What this operators' file names and these settings do not have, or have with rules that are too mild.
pub fn unfit(operator: &Operator, settings: &SettingsMap) -> Vec<String> {
    let count = settings
        .number(&settings::list_count("services"))
        .unwrap_or(0.0) as usize;
    let effect_of = |name: &str| {
        let item = |i| settings::list_item("services", i);
        let of_name = |i: &usize| {
            settings
                .get(&format!("{}.name", item(*i)))
                .is_some_and(|n| settings::matches_name(n, name))
        };
        let i = (0..count).find(of_name)?;
        Some(
            settings
                .get(&format!("{}.effect", item(i)))
                .map_or("", String::as_str),
        )
    };
    let mut faults = Vec::new();
    let levels = operator
        .levels
        .as_ref()
        .map_or(&[][..], |levels| &levels.level);
    for (n, level) in levels.iter().enumerate() {
        let terms = level
            .enter
            .iter()
            .flat_map(|enter| enter.all.iter().chain(&enter.any));
        let of_terms = terms
            .filter(|term| term.signal() != Pressed)
            .filter_map(|term| term.of.as_ref());
        let of_act = level
            .act
            .iter()
            .flat_map(|act| &act.class)
            .map(|class| class.name());
        for name in of_terms
            .map(String::as_str)
            .chain(of_act)
            .filter(|name| effect_of(name).is_none())
        {
            let allowed = "allowed is a resource group of the settings";
            faults.push(format!("levels.level.{n} names {name:?}, {allowed}"));
        }
    }
    let zones = operator.halls.iter();
    let of_zones = zones.flat_map(|zones| {
        zones
            .route
            .iter()
            .map(|route| route.class())
            .chain(zones.spill.iter().map(|spill| spill.class()))
    });
    for name in of_zones.filter(|name| !name.is_empty() && effect_of(name).is_none()) {
        faults.push(format!(
            "halls names {name:?}, allowed is a resource group of the settings"
        ));
    }
    let Some(groups) = operator.statements.as_ref().and_then(|s| s.groups.as_ref()) else {
        return faults;
    };
    let named = [
        ("look_up", &groups.look_up, false),
        ("report", &groups.report, false),
        ("load", &groups.load, true),
        ("unknown", &groups.unknown, true),
    ];
    for (key, name, mutating) in named {
        let Some(name) = name else { continue };
        match effect_of(name) {
            None => faults.push(format!(
                "statements.groups.{key} is {name:?}, allowed is a resource group of the settings"
            )),
            Some(effect) if mutating && effect != "non_idempotent" => faults.push(format!(
                "statements.groups.{key} is {name:?} with the effect {effect:?}, allowed is a group of mutating queries"
            )),
            Some(_) => {}
        }
    }
    faults
}
