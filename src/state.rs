//! The records that the decisions keep. Types only.

use std::collections::VecDeque;

pub const MOST_SUBMISSIONS: usize = 8;
pub const NONE: u32 = u32::MAX;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    ReadOnly,
    Tokened,
    Mutating,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DedupGroup {
    All,
    Hall,
    Cell,
}

/// A resource group, as told, and what was learned of its queries.
#[derive(Debug, Clone)]
pub struct ResourceGroup {
    pub effect: Effect,
    pub dedup: DedupGroup,
    pub window: f64,
    pub in_order: bool,
    pub halls: Option<Vec<u32>>,
    pub kinds: Option<Vec<u32>>,
    pub target: f64,
    pub target_stretch: f64,
    pub queue_timeout: f64,
    pub value: f64,
    pub late_value: f64,
    pub threads: f64,
    pub load: bool,
    pub waits: bool,
    pub mean_cost: f64,
    pub seen: u32,
    pub pace: f64,
    pub best: f64,
    pub paced: u32,
    pub cost_factor: f64,
    pub memory_factor: f64,
}

#[derive(Debug, Clone)]
pub struct Engine {
    pub node: u64,
    pub kind: u32,
    pub hall: u32,
    pub cell: u32,
    pub cores: f64,
    pub memory: f64,
    pub ready: bool,
    pub listed: bool,
    pub started: f64,
    pub work: f64,
    pub open: u32,
    pub low_open: u32,
    pub low_threads: f64,
    pub granted: f64,
    pub bound: f64,
    pub halved: f64,
    pub full: f64,
    pub pace: f64,
    pub heard: f64,
    pub errors: f64,
    pub suspect: bool,
    pub silent: bool,
    pub trial: f64,
    pub trial_wait: f64,
    pub passes: u32,
    pub probed: f64,
    pub sent_cold: VecDeque<(f64, f64)>,
    pub tables: [u32; 4],
}

#[derive(Debug, Clone, Copy, Default)]
pub struct Submission {
    pub engine: usize,
    pub sent: f64,
    pub work: f64,
    pub memory: f64,
    pub open: bool,
    pub may_have_run: bool,
    pub cancelled: bool,
    pub trial: bool,
    pub noted: f64,
    pub share: f64,
}

#[derive(Debug, Clone)]
pub struct Query {
    pub id: u64,
    pub rg: usize,
    pub customer: u32,
    pub key: u32,
    pub tables: u32,
    pub taken: f64,
    pub due: f64,
    pub cost: f64,
    pub memory: f64,
    pub low: bool,
    pub over: bool,
    pub moving: bool,
    pub count: usize,
    pub submissions: [Submission; MOST_SUBMISSIONS],
}

impl Query {
    pub fn sent(&self) -> &[Submission] {
        &self.submissions[..self.count]
    }

    pub fn open(&self) -> Option<usize> {
        self.sent().iter().position(|s| s.open)
    }
}

/// The queries of one key, in the order taken, and when the key may be used again.
#[derive(Debug, Default)]
pub struct KeyLine {
    pub line: VecDeque<usize>,
    pub rests_until: f64,
}

/// A customer's allowance, as a bucket.
#[derive(Debug, Clone)]
pub struct Customer {
    pub rate: f64,
    pub level: f64,
    pub at: f64,
}
