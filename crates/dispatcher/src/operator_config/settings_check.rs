//! Checks an operators' file against the settings: the settings must define all resource groups that the file names,
//! and the groups for statements that may write must be non-idempotent.

use super::{OperatorConfigError, OperatorConfigErrors};
use crate::config::{read_groups, ConfiguredGroup};
use tansymux::settings::SettingsMap;
use tansymux_operator_config::schema::term::Signal::Pressed;
use tansymux_operator_config::schema::{Groups, Halls, Levels};
use tansymux_operator_config::Operator;

/// A key of the operators' file that contradicts the settings.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SettingsMismatch {
    /// A name below the key is not a resource group of the settings.
    #[error("{key} names {name:?}, allowed is a resource group of the settings")]
    UnknownName {
        /// Path of the key.
        key: String,
        /// The unknown name.
        name: String,
    },
    /// The key's value is not a resource group of the settings.
    #[error("{key} is {name:?}, allowed is a resource group of the settings")]
    UnknownGroup {
        /// Path of the key.
        key: String,
        /// The key's value.
        name: String,
    },
    /// Statements that may write would run in a group whose queries may be retried.
    #[error(
        "{key} is {name:?} with the effect {effect:?}, allowed is a group of non-idempotent queries"
    )]
    NotMutating {
        /// Path of the key.
        key: String,
        /// The key's value.
        name: String,
        /// The group's effect in the settings.
        effect: String,
    },
}

/// Checks the file against the settings.
///
/// # Errors
/// Returns all mismatches: those of `levels`, then `halls`, then `statements`.
pub fn check_against_settings(
    operator: &Operator,
    settings: &SettingsMap,
) -> Result<(), OperatorConfigErrors> {
    let groups = read_groups(settings);
    let mut mismatches = Vec::new();
    if let Some(levels) = &operator.levels {
        check_levels(levels, &groups, &mut mismatches);
    }
    if let Some(zones) = &operator.halls {
        check_zones(zones, &groups, &mut mismatches);
    }
    let statements = operator.statements.as_ref();
    if let Some(statement_groups) = statements.and_then(|statements| statements.groups.as_ref()) {
        check_statement_groups(statement_groups, &groups, &mut mismatches);
    }
    if mismatches.is_empty() {
        return Ok(());
    }
    let errors = mismatches.into_iter().map(OperatorConfigError::Mismatch);
    Err(OperatorConfigErrors(errors.collect()))
}

/// Returns the group with this name.
fn find_group<'a>(groups: &'a [ConfiguredGroup], name: &str) -> Option<&'a ConfiguredGroup> {
    groups.iter().find(|group| group.is_named(name))
}

/// Checks the groups that the conditions and degradations of service levels name.
fn check_levels(
    levels: &Levels,
    groups: &[ConfiguredGroup],
    mismatches: &mut Vec<SettingsMismatch>,
) {
    for (index, level) in levels.level.iter().enumerate() {
        let mut names = Vec::new();
        if let Some(enter) = &level.enter {
            for term in enter.all.iter().chain(&enter.any) {
                // `of` names a zone for this signal, and a group for all other signals that have it.
                if term.signal() != Pressed {
                    names.extend(term.of.as_deref());
                }
            }
        }
        if let Some(act) = &level.act {
            names.extend(act.class.iter().map(|class| class.name()));
        }
        for name in names {
            if find_group(groups, name).is_none() {
                mismatches.push(SettingsMismatch::UnknownName {
                    key: format!("levels.level.{index}"),
                    name: name.to_owned(),
                });
            }
        }
    }
}

/// Checks the groups that routes and spill limits name. An empty name stands for all groups.
fn check_zones(zones: &Halls, groups: &[ConfiguredGroup], mismatches: &mut Vec<SettingsMismatch>) {
    let routed = zones.route.iter().map(|route| route.class());
    let spilled = zones.spill.iter().map(|spill| spill.class());
    for name in routed.chain(spilled) {
        if !name.is_empty() && find_group(groups, name).is_none() {
            mismatches.push(SettingsMismatch::UnknownName {
                key: "halls".to_owned(),
                name: name.to_owned(),
            });
        }
    }
}

/// Checks the groups that the file assigns to queries that name no class.
fn check_statement_groups(
    statement_groups: &Groups,
    groups: &[ConfiguredGroup],
    mismatches: &mut Vec<SettingsMismatch>,
) {
    check_statement_group(
        "look_up",
        statement_groups.look_up.as_deref(),
        groups,
        mismatches,
    );
    check_statement_group(
        "report",
        statement_groups.report.as_deref(),
        groups,
        mismatches,
    );
    check_mutating_group("load", statement_groups.load.as_deref(), groups, mismatches);
    check_mutating_group(
        "unknown",
        statement_groups.unknown.as_deref(),
        groups,
        mismatches,
    );
}

/// Checks that the settings define the group, if the key has a value. Returns the group if it exists.
fn check_statement_group<'a>(
    key: &str,
    name: Option<&str>,
    groups: &'a [ConfiguredGroup],
    mismatches: &mut Vec<SettingsMismatch>,
) -> Option<&'a ConfiguredGroup> {
    let name = name?;
    let group = find_group(groups, name);
    if group.is_none() {
        mismatches.push(SettingsMismatch::UnknownGroup {
            key: format!("statements.groups.{key}"),
            name: name.to_owned(),
        });
    }
    group
}

/// Checks that the settings define the group as non-idempotent, if the key has a value.
fn check_mutating_group(
    key: &str,
    name: Option<&str>,
    groups: &[ConfiguredGroup],
    mismatches: &mut Vec<SettingsMismatch>,
) {
    let Some(group) = check_statement_group(key, name, groups, mismatches) else {
        return;
    };
    if !group.is_non_idempotent() {
        mismatches.push(SettingsMismatch::NotMutating {
            key: format!("statements.groups.{key}"),
            name: name.unwrap_or("").to_owned(),
            effect: group.effect.clone().unwrap_or_default(),
        });
    }
}
