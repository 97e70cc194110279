//! The settings, read once into [`Settings`], with defaults and checks.
//!
//! The settings arrive as a flat map of paths and values ([`SettingsMap`]). [`keys`] defines the platform's keys and
//! values, `types` the records for them, and `read` reads the map into these records. A malformed value counts as
//! absent, unless the key is required.

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
