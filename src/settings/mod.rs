//! The settings, read once into [`Settings`], with defaults and checks.
//!
//! They arrive as a flat map of paths and values ([`SettingsMap`]). [`keys`] holds the platform's keys and words,
//! `types` what they are read into, and `read` does the reading: a malformed value counts as absent, unless the key
//! is required.

pub mod keys;
mod raw;
mod read;
mod types;

pub use raw::{
    insert, insert_list, is_true, list_count, list_item, matches_name, parse_pairs, RawSettings,
    SettingsError, SettingsMap,
};
pub use types::{
    Capabilities, DedupScope, Effect, EngineFeatures, EngineKind, GroupSettings, RetryBudgetRule,
    Settings, TenantSettings, WarmUpRule, MAX_ATTEMPTS,
};
