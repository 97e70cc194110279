//! The records that the decisions keep. Types and bookkeeping only.

use crate::events::StatementTraits;
use crate::interner::{Interner, NameInterner};
use crate::pcg::Pcg;
use crate::peer_codec;
use crate::settings::{self, RawSettings, SettingsError, SettingsMap};
use crate::zone_plan::{Reservation, Tiers};
use rustc_hash::FxHashMap;
use slab::Slab;
use std::collections::VecDeque;

pub const MAX_ATTEMPTS: usize = 8;
pub const NONE: u32 = u32::MAX;
pub const LONG_AGO: f64 = f64::NEG_INFINITY;

/// All that one dispatcher knows: what it was told, what it has in hand, and what it learned.
#[derive(Default)]
pub struct Control {
    pub now: f64,
    /// When its first round was.
    pub began: f64,
    pub told: SettingsMap,
    pub rng: Pcg,
    pub dispatchers: f64,
    pub zone: u32,
    pub interner: Interner,
    pub groups: Vec<ResourceGroup>,
    pub tenants: Tenants,
    pub engines: Vec<Engine>,
    pub zones: Vec<Paces>,
    pub pool: Paces,
    pub queries: Slab<Query>,
    pub lines: KeyLines,
    pub taken: Recent,
    pub further: Recent,
    pub moving: f64,
    pub drawn: Vec<usize>,
    /// Thread time that our low queries have left of the bounds (ms); below none, they overdrew.
    pub credit: f64,
    pub timer_due: f64,
    pub looked: f64,
    pub list_asked: f64,
    pub list_wanted: bool,
    pub allowed: Allowed,
    /// What the other dispatchers reported to this one, if it adds up; and when what was told by others.
    pub reports: Reports,
    pub reported: f64,
    pub low_changed: bool,
    pub sum_told: f64,
    pub sum_heard: f64,
    pub low_work: f64,
    pub level: LevelEffects,
    pub tiers: Tiers,
}

impl Control {
    /// Where an engine is kept, and whether it is new. A new one takes the place of one that is gone and that no
    /// query refers to: where engines are replaced all day, what is kept of them grows no further.
    pub fn slot_of(&mut self, engine_id: u64) -> (usize, bool) {
        if let Some(i) = self.interner.engine_ids.find(engine_id) {
            return (i, false);
        }
        let refers = |e: usize| {
            self.queries
                .iter()
                .any(|(_, q)| q.sent().iter().any(|s| s.engine == e))
        };
        let gone = |&e: &usize| !self.engines[e].listed && !self.engines[e].ready && !refers(e);
        let Some(i) = (0..self.engines.len()).find(gone) else {
            return (self.interner.engine_ids.index(engine_id), true);
        };
        self.interner
            .engine_ids
            .hand_on(self.engines[i].engine_id, engine_id);
        self.reports.forget(i);
        (i, true)
    }

    /// The time of all queries in hand is cut to `by`: whoever carries the decisions out ends then.
    pub fn limit_deadlines(&mut self, by: f64) {
        self.queries
            .iter_mut()
            .for_each(|(_, q)| q.due = q.due.min(by));
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Effect {
    #[default]
    ReadOnly,
    IdempotencyKey,
    NonIdempotent,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum DedupGroup {
    #[default]
    All,
    Zone,
    Cell,
}

/// Rule 4 as told: a cold engine's first part of its capacity, the multiple of what it can do at a moment
/// that it may be sent for a span, and when it is warm.
#[derive(Debug, Clone, Copy)]
pub struct ColdRule {
    pub multiple: f64,
    pub from: f64,
    pub span: f64,
    pub warm_after: f64,
}

impl ColdRule {
    pub fn read(told: &SettingsMap) -> Option<Self> {
        Some(ColdRule {
            multiple: told.number("rules.fall-multiple")?,
            from: told.number("rules.cold-from").unwrap_or(1.0),
            span: told.millis("rules.overload-for-us")?,
            warm_after: told.millis("rules.warm-after-us")?,
        })
    }
}

/// Rule 7 as told: how many further attempts a span allows, free and as a share of the queries taken.
#[derive(Debug, Clone, Copy)]
pub struct Budget {
    pub span: f64,
    pub free: f64,
    pub share: f64,
}

impl Budget {
    pub fn read(told: &SettingsMap) -> Option<Self> {
        Some(Budget {
            span: told.millis("rules.ratio-span-us")?,
            free: told.number("rules.extra-free").unwrap_or(0.0),
            share: told.number("rules.repeat-ratio").unwrap_or(0.0),
        })
    }
}

/// What a degraded service level changes; the default, full service, changes nothing.
#[derive(Debug, Clone, PartialEq)]
pub struct LevelEffects {
    /// Factor on the concurrency limits of the low lane.
    pub concurrency_factor: f64,
    /// Factor on the multiple of the usual cost that demotes a query.
    pub demotion_factor: f64,
    /// Factor on memory grants beyond need.
    pub grant_factor: f64,
    /// Factor on the time after which a rejected client may come back.
    pub retry_after_factor: f64,
    /// The fraction of that time that is spread at random.
    pub retry_after_jitter: f64,
    /// Low work gets no retries.
    pub withhold_low_retries: bool,
    /// Low work of tenants over their share is rejected.
    pub reject_over_share: bool,
    /// Low work with less confidence in its cost than this is rejected.
    pub min_confidence: f64,
    /// Fraction of its headroom that a group's low work may use, by group index; all of it where none is given.
    pub group_fractions: Vec<f64>,
}

impl Default for LevelEffects {
    fn default() -> Self {
        LevelEffects {
            concurrency_factor: 1.0,
            demotion_factor: 1.0,
            grant_factor: 1.0,
            retry_after_factor: 1.0,
            retry_after_jitter: 0.0,
            withhold_low_retries: false,
            reject_over_share: false,
            min_confidence: 0.0,
            group_fractions: Vec::new(),
        }
    }
}

impl LevelEffects {
    /// The fraction of its headroom that this low query may use.
    pub fn headroom_fraction(&self, query: &Query) -> f64 {
        let over_share = self.reject_over_share && query.over_share;
        if over_share || query.confidence < self.min_confidence {
            return 0.0;
        }
        self.group_fractions.get(query.rg).copied().unwrap_or(1.0)
    }

    /// When a rejected client may come back (ms): up to `max_ms`, spread so that clients do not come back together.
    pub fn retry_after_ms(&self, usual_ms: f64, max_ms: f64, rng: &mut Pcg) -> f64 {
        let jitter = self.retry_after_jitter;
        let wait_ms = (usual_ms * self.retry_after_factor * (1.0 + jitter)).min(max_ms);
        if jitter > 0.0 {
            wait_ms * (1.0 - rng.next_unit() * jitter / (1.0 + jitter))
        } else {
            wait_ms
        }
    }
}

/// What the settings allow or promise, beside the resource groups.
#[derive(Debug, Default)]
pub struct Allowed {
    pub cold: Option<ColdRule>,
    pub budget: Option<Budget>,
    pub max_attempts: usize,
    pub cancelling: bool,
    pub probes: bool,
    pub peers: bool,
    /// This dispatcher's number among them.
    pub me: u32,
    pub priorities: bool,
    /// Memory granted beyond what there is slows all, but what is not needed stays free.
    pub pages: bool,
    pub doubt_rest: f64,
    pub notes_every: f64,
    pub longest_wait: f64,
}

impl Allowed {
    pub fn read(told: &SettingsMap) -> Self {
        let most = told.number("limits.max-attempts").unwrap_or(1.0) as usize;
        Allowed {
            cold: ColdRule::read(told),
            budget: Budget::read(told),
            max_attempts: most.min(MAX_ATTEMPTS),
            cancelling: told.is_on("limits.cancelling"),
            probes: told.is_on("limits.probes"),
            peers: told.is_on("limits.peers"),
            me: told.number("me").unwrap_or(0.0) as u32,
            priorities: told.is_on("family-info.lanes-count"),
            pages: told
                .get("family-info.memory-short")
                .is_some_and(|short| short == "page"),
            doubt_rest: told.millis("rules.settle-after-doubt-us").unwrap_or(0.0),
            notes_every: told.millis("family-info.tells-every-us").unwrap_or(0.0),
            longest_wait: told.millis("limits.max-retry-after-us").unwrap_or(0.0),
        }
    }
}

/// A resource group, as told, and what was learned of its queries.
#[derive(Debug, Clone, Default)]
pub struct ResourceGroup {
    pub effect: Effect,
    pub dedup: DedupGroup,
    pub window: f64,
    pub in_order: bool,
    pub zones: Option<Vec<u32>>,
    pub kinds: Option<Vec<u32>>,
    pub target: f64,
    pub target_stretch: f64,
    /// The time that clients give as a rule, 0 where it is not told.
    pub longest_wait: f64,
    pub late_value: f64,
    pub threads: f64,
    pub load: bool,
    pub waits: bool,
    /// Learned: the mean estimate, how many were seen, how long answers take against their estimates
    /// (log ratio, usual and best), and what was needed against what was estimated.
    pub mean_cost: f64,
    pub seen: u32,
    pub pace: f64,
    pub best: f64,
    pub paced: u32,
    /// How far answers lie from the running median (log ratio), now and at the least.
    pub scatter: f64,
    pub min_scatter: f64,
    pub cost_factor: f64,
    pub memory_factor: f64,
}

impl ResourceGroup {
    pub fn read_all(
        told: &SettingsMap,
        interner: &mut Interner,
    ) -> Result<Vec<Self>, SettingsError> {
        let mut groups = Vec::new();
        for i in 0..told.required("services.count")? as usize {
            groups.push(ResourceGroup::read(
                told,
                i,
                &mut interner.zones,
                &mut interner.kinds,
            )?);
            let name = format!("services.{i}.name");
            interner.groups.index(
                told.get(&name)
                    .ok_or(SettingsError::Missing { key: name })?,
            );
        }
        Ok(groups)
    }

    /// Reads the `i`-th resource group of the settings.
    pub fn read(
        told: &SettingsMap,
        i: usize,
        zones: &mut NameInterner,
        kinds: &mut NameInterner,
    ) -> Result<Self, SettingsError> {
        let name = |what: &str| format!("services.{i}.{what}");
        let text = |what: &str| told.get(&name(what)).map(String::as_str);
        let bound = |what: &str, names: &mut NameInterner| {
            text(what).map(|all| all.split(',').map(|one| names.index(one)).collect())
        };
        let of_list = |what: &str| told.list(what).get(i).copied();
        Ok(ResourceGroup {
            effect: match text("effect") {
                Some("read_like") => Effect::ReadOnly,
                Some("idempotency_key") => Effect::IdempotencyKey,
                Some("non_idempotent") => Effect::NonIdempotent,
                None => {
                    return Err(SettingsError::Missing {
                        key: name("effect"),
                    })
                }
                Some(other) => {
                    return Err(SettingsError::Invalid {
                        key: name("effect"),
                        value: other.to_owned(),
                        expected: "read_like, idempotency_key or non_idempotent",
                    })
                }
            },
            dedup: match text("dedup-scope") {
                Some("zone") => DedupGroup::Zone,
                Some("cell") => DedupGroup::Cell,
                _ => DedupGroup::All,
            },
            window: told.millis(&name("repeat-window-us")).unwrap_or(0.0),
            in_order: told.is_on(&name("in-order")),
            zones: bound("confined-to", zones),
            kinds: bound("kinds-open", kinds),
            target: told.required(&name("aim-us"))? / 1000.0,
            target_stretch: told.number(&name("aim-stretch")).unwrap_or(0.0),
            longest_wait: told.millis(&name("hard-limit-us")).unwrap_or(0.0),
            late_value: told.number(&name("late-worth")).unwrap_or(0.0),
            threads: of_list("family-info.dop")
                .and_then(|t| t.parse().ok())
                .unwrap_or(1.0f64)
                .max(1.0),
            load: of_list("family-info.class-load").is_some_and(settings::is_true),
            waits: of_list("family-info.class-waits").is_some_and(settings::is_true),
            cost_factor: 1.0,
            memory_factor: 1.0,
            ..ResourceGroup::default()
        })
    }

    /// Takes a cost into the mean: plain at first, then by `step`.
    pub fn learn_cost(&mut self, cost: f64, step: f64) {
        self.seen += 1;
        self.mean_cost += step.max(1.0 / f64::from(self.seen)) * (cost - self.mean_cost);
    }

    /// An estimate that is not sure counts for less (log): between the group's usual cost and itself.
    pub fn trusted(&self, cost: f64, confidence: f64) -> f64 {
        if confidence >= 1.0 || self.seen == 0 || self.mean_cost <= 0.0 {
            return cost;
        }
        self.mean_cost * (cost / self.mean_cost).powf(confidence.max(0.0))
    }

    /// What a text may do is never taken for milder than the text shows: what a group only reads, one that may
    /// alter runs under the rules of mutating. A token that the client sends still counts.
    pub fn effect_of(&self, text: StatementTraits) -> Effect {
        if text.may_write && self.effect == Effect::ReadOnly {
            Effect::NonIdempotent
        } else {
            self.effect
        }
    }

    /// Takes how long an answer took against its estimate (log ratio); tells how far it lies above the best.
    /// The best is the lowest level the running median has had: single lucky answers, or estimates that
    /// scatter, do not make a quiet engine look pressed.
    pub fn learn_ratio(&mut self, ratio: f64, step: f64, mean_step: f64, first: u32) -> f64 {
        if self.paced == 0 {
            self.pace = ratio;
        }
        self.paced += 1;
        let off = (ratio - self.pace).abs() - self.scatter;
        self.scatter += mean_step.max(1.0 / f64::from(self.paced)) * off;
        let settled = self.paced >= first;
        self.min_scatter = if settled {
            self.scatter.min(self.min_scatter)
        } else {
            self.scatter
        };
        follow(&mut self.pace, ratio, step);
        self.best = if self.paced < first {
            self.pace
        } else {
            self.pace.min(self.best)
        };
        ratio - self.best
    }

    /// Takes what an answer needed against its estimates into the factors; what is not told is no number.
    pub fn learn_need(&mut self, work: f64, memory: f64, step: f64, most: f64) {
        for (ratio, factor) in [
            (work, &mut self.cost_factor),
            (memory, &mut self.memory_factor),
        ] {
            if ratio > 0.0 && ratio.is_finite() {
                *factor += step * (ratio.clamp(1.0 / most, most) - *factor);
            }
        }
    }

    /// Target runtime of a query of this group with so much work.
    pub fn target_of(&self, work: f64) -> f64 {
        self.target + self.target_stretch * work / self.threads
    }

    pub fn allows(&self, engine: &Engine) -> bool {
        let inside =
            |bound: &Option<Vec<u32>>, it: u32| bound.as_ref().is_none_or(|b| b.contains(&it));
        inside(&self.zones, engine.zone) && inside(&self.kinds, engine.kind)
    }
}

/// An engine, as listed, and what this dispatcher has there and knows of it.
#[derive(Debug, Clone)]
pub struct Engine {
    pub engine_id: u64,
    pub kind: u32,
    pub zone: u32,
    pub cell: u32,
    pub cores: f64,
    pub memory: f64,
    pub ready: bool,
    pub listed: bool,
    pub started: f64,
    /// What is out there: attempts, their work and memory, and the low ones' threads.
    pub open: u32,
    /// Since when something of ours has been out there without a break.
    pub busy_since: f64,
    pub work: f64,
    pub granted: f64,
    pub low_open: u32,
    pub low_threads: f64,
    /// Low threads of other dispatchers there, as last told.
    pub others: f64,
    /// The low-lane bound, in threads a core of our share; when last halved; when the engine last said full.
    pub bound: f64,
    pub crowd: f64,
    pub halved: f64,
    pub full: f64,
    pub paces: Paces,
    /// For each resource group how many of its attempts hang there, from none to all.
    pub hangs: Vec<Pace>,
    pub heard: f64,
    pub errors: f64,
    /// When the last sign of it was that no connection came up; long ago where it was another.
    pub unreached: f64,
    pub suspect: bool,
    pub silent: bool,
    pub trial: f64,
    pub trial_wait: f64,
    pub probed: f64,
    pub sent_cold: VecDeque<(f64, f64)>,
    /// This span's lot for sending one query while it is cold, from 0 to 1, and when it was drawn.
    pub lot: f64,
    pub lot_drawn: f64,
    /// Tables that a load holds there, and until when we take that for true.
    pub held: Vec<(u32, f64)>,
}

impl Engine {
    pub fn read(
        told: &SettingsMap,
        engine_id: u64,
        kind: &str,
        zone: &str,
        cell: u32,
        interner: &mut Interner,
    ) -> Self {
        let cores = told
            .for_kind(kind, "family-info.cores-by-kind")
            .unwrap_or(1.0);
        let memory = told
            .for_kind(kind, "family-info.kind-memory-mb")
            .unwrap_or(0.0);
        let (kind, zone) = (interner.kinds.index(kind), interner.zones.index(zone));
        Engine {
            engine_id,
            kind,
            zone,
            cell,
            cores,
            memory,
            ready: false,
            listed: false,
            started: LONG_AGO,
            open: 0,
            busy_since: LONG_AGO,
            work: 0.0,
            granted: 0.0,
            low_open: 0,
            low_threads: 0.0,
            others: 0.0,
            bound: 0.0,
            crowd: 0.0,
            halved: LONG_AGO,
            full: LONG_AGO,
            paces: Paces::default(),
            hangs: Vec::new(),
            heard: LONG_AGO,
            errors: 0.0,
            unreached: LONG_AGO,
            suspect: false,
            silent: false,
            trial: LONG_AGO,
            trial_wait: 0.0,
            probed: LONG_AGO,
            sent_cold: VecDeque::new(),
            lot: 1.0,
            lot_drawn: LONG_AGO,
            held: Vec::new(),
        }
    }

    pub fn hang(&mut self, rg: usize) -> &mut Pace {
        self.hangs
            .resize(self.hangs.len().max(rg + 1), Pace::default());
        &mut self.hangs[rg]
    }

    /// `held`: the tables a load holds, and until when at most.
    pub fn add(&mut self, s: &Attempt, low: bool, threads: f64, held: Option<(u32, f64)>) {
        self.held.retain(|&(_, until)| until > s.sent);
        self.held.extend(held);
        if self.open == 0 {
            self.busy_since = s.sent;
        }
        self.open += 1;
        self.work += s.work;
        self.granted += s.memory;
        if low {
            self.low_open += 1;
            self.low_threads += threads;
        }
    }

    pub fn remove(&mut self, s: &Attempt, low: bool, threads: f64, held: Option<u32>) {
        if let Some(n) = self
            .held
            .iter()
            .position(|&(tables, _)| held == Some(tables))
        {
            self.held.swap_remove(n);
        }
        self.open = self.open.saturating_sub(1);
        self.work = if self.open == 0 {
            0.0
        } else {
            self.work - s.work
        };
        self.granted = if self.open == 0 {
            0.0
        } else {
            self.granted - s.memory
        };
        if low {
            self.low_open = self.low_open.saturating_sub(1);
            self.low_threads = if self.low_open == 0 {
                0.0
            } else {
                self.low_threads - threads
            };
        }
    }
}

/// What the other dispatchers last told, by their numbers: when, and their low threads on engines.
#[derive(Debug, Default)]
pub struct Reports(Vec<(f64, Vec<(usize, f64)>)>);

impl Reports {
    pub fn keep(&mut self, peer: u32, now: f64, content: &[u8], engines: &[Engine]) {
        let most = self.0.len().max(peer as usize + 1);
        self.0.resize_with(most, || (LONG_AGO, Vec::new()));
        let (told, kept) = &mut self.0[peer as usize];
        *told = now;
        kept.clear();
        let find = |mark| {
            engines
                .iter()
                .position(|e| peer_codec::mark_of(e.engine_id) == mark)
        };
        kept.extend(
            peer_codec::read(content).filter_map(|(mark, threads)| Some((find(mark)?, threads))),
        );
    }

    pub fn forget(&mut self, engine: usize) {
        self.0
            .iter_mut()
            .for_each(|(_, threads)| threads.retain(|&(e, _)| e != engine));
    }

    /// Sets what others run on each engine from what was told after `since`.
    pub fn add_up(&self, since: f64, engines: &mut [Engine]) {
        engines.iter_mut().for_each(|e| e.others = 0.0);
        for (_, threads) in self.0.iter().filter(|(told, _)| *told > since) {
            threads
                .iter()
                .for_each(|&(e, threads)| engines[e].others += threads);
        }
    }
}

#[derive(Debug, Clone, Copy, Default)]
pub struct Attempt {
    pub engine: usize,
    pub sent: f64,
    pub work: f64,
    pub memory: f64,
    pub open: bool,
    pub may_have_run: bool,
    pub cancelled: bool,
    pub trial: bool,
    /// When any note last came; when one last told of progress, and the share done by then.
    pub heard: f64,
    pub noted: f64,
    pub share: f64,
    /// From when progress counts, and the share done by then: a wait's time is not the work's. Whether one that
    /// waited has not told of progress since.
    pub began: f64,
    pub base: f64,
    pub waits: bool,
    /// What it took of a plan's room.
    pub took: Reservation,
}

impl Attempt {
    pub fn new(engine: usize, sent: f64, work: f64, memory: f64, trial: bool) -> Self {
        let (open, may_have_run, noted, heard, began) = (true, true, sent, sent, sent);
        let nothing = Attempt::default();
        Attempt {
            engine,
            sent,
            work,
            memory,
            trial,
            open,
            may_have_run,
            noted,
            heard,
            began,
            ..nothing
        }
    }

    /// Takes in a note of progress; the first one after a wait only tells that the wait is over.
    pub fn progressed(&mut self, now: f64, share: f64) {
        if std::mem::take(&mut self.waits) {
            (self.began, self.base) = (now, share);
        }
        (self.noted, self.share) = (now, share);
    }

    /// How long the whole takes by its notes, if they tell.
    pub fn run(&self) -> Option<f64> {
        let told = self.share > self.base && self.noted > self.began;
        told.then(|| (self.noted - self.began) / (self.share - self.base))
    }

    /// How long the rest takes by its notes, if they tell.
    pub fn left(&self, now: f64) -> Option<f64> {
        self.run()
            .map(|run| run * (1.0 - self.share) - (now - self.noted))
    }
}

#[derive(Debug, Clone)]
pub struct Query {
    pub id: u64,
    pub rg: usize,
    pub over_share: bool,
    pub key: u32,
    pub tables: u32,
    pub taken: f64,
    pub due: f64,
    /// The estimate, or the group's mean where none came (`guessed`); the work it is reckoned with.
    pub cost: f64,
    pub guessed: bool,
    pub work: f64,
    pub memory: f64,
    pub low: bool,
    /// What of its group's effect holds for it, and how sure its cost is.
    pub effect: Effect,
    pub confidence: f64,
    pub over: bool,
    pub moving: bool,
    pub count: usize,
    pub attempts: [Attempt; MAX_ATTEMPTS],
}

impl Query {
    pub fn new(id: u64, rg: usize, taken: f64, due: f64) -> Self {
        Query {
            id,
            rg,
            over_share: false,
            key: NONE,
            tables: NONE,
            taken,
            due,
            cost: 0.0,
            guessed: true,
            work: 0.0,
            memory: 0.0,
            low: false,
            effect: Effect::NonIdempotent,
            confidence: 1.0,
            over: false,
            moving: false,
            count: 0,
            attempts: [Attempt::default(); MAX_ATTEMPTS],
        }
    }

    pub fn sent(&self) -> &[Attempt] {
        &self.attempts[..self.count]
    }

    /// The attempt that is out, if one is.
    pub fn open(&self) -> Option<usize> {
        self.sent().iter().position(|s| s.open)
    }
}

/// A running median that fades towards a stand-in as its evidence ages.
#[derive(Debug, Clone, Copy)]
pub struct Pace {
    pub level: f64,
    pub heard: f64,
}

impl Default for Pace {
    fn default() -> Self {
        Pace {
            level: 0.0,
            heard: LONG_AGO,
        }
    }
}

impl Pace {
    pub fn at(&self, now: f64, stand_in: f64, span: f64) -> f64 {
        stand_in + (self.level - stand_in) * ((self.heard - now) / span).exp()
    }

    /// Moves towards a sample by `step`, and by up to `more` if nothing was heard for long.
    pub fn take(&mut self, now: f64, sample: f64, stand_in: f64, span: f64, step: f64, more: f64) {
        let gap = 1.0 - ((self.heard - now) / span).exp();
        self.level = self.at(now, stand_in, span);
        let off = sample - self.level;
        self.level += (step + more * gap).min(off.abs()).copysign(off);
        self.heard = now;
    }
}

/// How far answers of the fast and of the low lane lie above their groups' best (log ratio).
#[derive(Debug, Clone, Copy, Default)]
pub struct Paces {
    pub fast: Pace,
    pub low: Pace,
}

impl Paces {
    pub fn lane(&self, low: bool) -> &Pace {
        if low {
            &self.low
        } else {
            &self.fast
        }
    }

    pub fn lane_mut(&mut self, low: bool) -> &mut Pace {
        if low {
            &mut self.low
        } else {
            &mut self.fast
        }
    }
}

/// The times of what happened lately.
#[derive(Debug, Default)]
pub struct Recent(VecDeque<f64>);

impl Recent {
    pub fn push(&mut self, at: f64) {
        self.0.push_back(at);
    }

    /// How many lie after `since`; older ones are dropped.
    pub fn after(&mut self, since: f64) -> f64 {
        while self.0.front().is_some_and(|&t| t <= since) {
            self.0.pop_front();
        }
        self.0.len() as f64
    }
}

/// For each key, its queries in the order taken, and when it may be used again. A key that nothing waits for and that
/// has rested is forgotten: clients name as many as they like.
#[derive(Debug, Default)]
pub struct KeyLines {
    lines: Slab<KeyLine>,
    slots: FxHashMap<u64, u32>,
    /// Those that were left empty, in the order in which that came.
    empty: VecDeque<u32>,
}

#[derive(Debug)]
struct KeyLine {
    key: u64,
    line: VecDeque<usize>,
    rests: f64,
    left_empty: bool,
}

impl KeyLines {
    /// Puts a query at the end of its key's line; where that line is kept.
    pub fn join(&mut self, key: u64, query: usize, now: f64) -> u32 {
        self.forget(now);
        let fresh = || KeyLine {
            key,
            line: VecDeque::new(),
            rests: LONG_AGO,
            left_empty: false,
        };
        let slot = *self
            .slots
            .entry(key)
            .or_insert_with(|| self.lines.insert(fresh()) as u32);
        self.lines[slot as usize].line.push_back(query);
        slot
    }

    fn forget(&mut self, now: f64) {
        while let Some(&slot) = self.empty.front() {
            let line = &mut self.lines[slot as usize];
            if line.line.is_empty() && line.rests > now {
                return;
            }
            line.left_empty = false;
            if line.line.is_empty() {
                self.slots.remove(&line.key);
                self.lines.remove(slot as usize);
            }
            self.empty.pop_front();
        }
    }

    /// How many keys are kept.
    pub fn kept(&self) -> usize {
        self.lines.len()
    }

    /// The key's first query, and until when the key rests.
    pub fn first(&self, slot: u32) -> (Option<usize>, f64) {
        self.lines
            .get(slot as usize)
            .map_or((None, LONG_AGO), |l| (l.line.front().copied(), l.rests))
    }

    pub fn rest(&mut self, slot: u32, until: f64) {
        if let Some(line) = self.lines.get_mut(slot as usize) {
            line.rests = line.rests.max(until);
        }
    }

    pub fn leave(&mut self, slot: u32, query: usize) {
        let Some(line) = self.lines.get_mut(slot as usize) else {
            return;
        };
        line.line.retain(|&other| other != query);
        if line.line.is_empty() && !std::mem::replace(&mut line.left_empty, true) {
            self.empty.push_back(slot);
        }
    }
}

/// Each tenant's allowance a millisecond here, and its fading count of queries.
#[derive(Debug, Default)]
pub struct Tenants {
    each: Vec<(f64, f64)>,
    at: f64,
}

impl Tenants {
    /// Reads the tenants of the settings; each dispatcher has an even part of what they are allowed.
    pub fn read(told: &SettingsMap, dispatchers: f64, names: &mut NameInterner) -> Self {
        let mut tenants = Tenants::default();
        for i in 0..told.number("projects.count").unwrap_or(0.0) as usize {
            names.index(
                told.get(&format!("projects.{i}.name"))
                    .map_or("", String::as_str),
            );
            let rate = told
                .number(&format!("projects.{i}.allowance-per-s"))
                .unwrap_or(f64::INFINITY);
            tenants.each.push((rate / 1000.0 / dispatchers, 0.0));
        }
        tenants
    }

    /// Counts a query; tells its tenant's rate against its allowance, and all tenants' against theirs.
    pub fn count(&mut self, tenant: usize, now: f64, span: f64) -> (f64, f64) {
        let fading = ((self.at - now) / span).exp();
        self.at = now;
        self.each.iter_mut().for_each(|(_, level)| *level *= fading);
        let Some((allowance, level)) = self.each.get_mut(tenant) else {
            return (0.0, 0.0);
        };
        *level += 1.0;
        let own = *level / *allowance;
        let all = self
            .each
            .iter()
            .fold((0.0, 0.0), |sum, (a, l)| (sum.0 + a, sum.1 + l));
        (own / span, all.1 / all.0 / span)
    }
}

/// A running median: moves by a fixed step towards each sample, so that no outlier pulls it far.
pub fn follow(median: &mut f64, sample: f64, step: f64) {
    if sample != *median {
        *median += step.copysign(sample - *median);
    }
}
