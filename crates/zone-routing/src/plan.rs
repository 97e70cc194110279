//! What the decisions are handed.

use crate::judge::ZoneState;

/// A zone: the tier in which it stands for each class, and how many threads of our work from elsewhere it may be
/// given, in all and of each class.
#[derive(Debug, Clone, PartialEq)]
pub struct ZonePlan {
    pub name: String,
    pub state: ZoneState,
    pub ranks: Vec<u8>,
    pub spill: f64,
    pub spill_by_class: Vec<f64>,
}

/// An engine: how many of our threads it may have; none while its zone is cut, all while it is well.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EnginePlan {
    pub engine_id: u64,
    pub threads: f64,
}

#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    pub zones: Vec<ZonePlan>,
    pub engines: Vec<EnginePlan>,
    /// This dispatcher takes itself for cut off: nothing moves on its account.
    pub alone: bool,
    pub cross_retries: f64,
}
