//! All decisions of tansymux: which engine runs a query, what is deferred, moved, cancelled or killed.
//!
//! A protocol (today `crates/adapter`) calls `Control::round` once a round with all that came in. Its feed
//! calls the handlers below with decoded fields; decisions go straight into the writer. Both traits are in
//! `interface.rs`, the records in `state.rs`. Times are milliseconds. docs/design.md tells the why.
//!
//! Order of reading: tuned values, start, list of engines, a query comes, placement, sending, answers,
//! final answers, the regular look, helpers.

use crate::ids::{Names, Numbers};
use crate::interface::{EngineStatus, Feed, ListForm, Note, Outcome, Writer};
use crate::pcg::Pcg;
use crate::state::*;
use slab::Slab;
use std::collections::{BTreeMap, VecDeque};

// The design page's values.
const DEMOTE_FACTOR: f64 = 4.0;
const THREADS_A_CORE: f64 = 1.0;
const MOST_THREADS_A_CORE: f64 = 1.2;
const RETRY_AFTER: f64 = 1000.0;
/// An answer within this part of its target runtime is well inside it.
const WELL_INSIDE: f64 = 0.5;
/// Pressure: fast answers take this many times the best, or a refusal as full came this lately.
const PRESSURE: f64 = 2.0;
const FULL_LASTS: f64 = 2000.0;
// Learning: steps of the running medians (in log ratio), and of the means.
const STEP: f64 = 0.05;
const MEAN_STEP: f64 = 0.02;
const FIRST_SEEN: u32 = 20;
// Moving a submission: what is left must be this much more than a new run, without notes after this wait.
const MOVE_GAIN: f64 = 2.5;
const PATIENCE: f64 = 5.0;
const PATIENCE_FLOOR: f64 = 400.0;
/// A query is hopeless when a noted submission needs this many times the time left.
const HOPELESS: f64 = 2.0;
// Doubt: errors weigh in by this step and raise doubt above this level; trials back off between these.
const ERROR_STEP: f64 = 0.2;
const ERROR_DOUBT: f64 = 0.35;
const ERROR_AFTER_DOUBT: f64 = 0.2;
const PASSES: u32 = 3;
const TRIAL_FIRST: f64 = 500.0;
const TRIAL_MOST: f64 = 4000.0;
/// Nothing at all heard for this long with submissions out is silence.
const SILENCE: f64 = 900.0;
const PROBE_AFTER: f64 = 300.0;
const PROBE_EVERY: f64 = 500.0;
/// Part of what the cold rule allows all gateways that they use, split evenly among them.
const COLD_PART: f64 = 0.6;
const CAPACITY_BUSY: f64 = 0.85;
/// How much lighter another hall's engine must be.
const OTHER_HALL: f64 = 1.25;
/// A regular look, this often while anything is in hand.
const LOOK_EVERY: f64 = 20.0;
const ANSWER_MARGIN: f64 = 10.0;
const LIST_RETRY: f64 = 1000.0;

pub struct Control {
    now: f64,
    chance: Pcg,
    gateways: f64,
    hall: u32,
    rg_names: Names,
    kinds: Names,
    halls: Names,
    customer_names: Names,
    pub groups: Vec<ResourceGroup>,
    pub customers: Vec<Customer>,
    nodes: Numbers,
    pub engines: Vec<Engine>,
    kind_cores: Vec<f64>,
    kind_memory: Vec<f64>,
    pub queries: Slab<Query>,
    ids: rustc_hash::FxHashMap<u64, usize>,
    key_ids: Numbers,
    lines: Vec<KeyLine>,
    taken: VecDeque<f64>,
    further: VecDeque<f64>,
    moving: u32,
    candidates: Vec<usize>,
    timer_set: bool,
    looked: f64,
    told: BTreeMap<String, String>,
    list_asked: f64,
    list_wanted: bool,
    fleet_pace: f64,
}

fn number(told: &BTreeMap<String, String>, name: &str) -> Result<Option<f64>, String> {
    let Some(text) = told.get(name) else {
        return Ok(None);
    };
    text.parse().map(Some).map_err(|_| format!("setting {name}={text} is not a number"))
}

fn required(told: &BTreeMap<String, String>, name: &str) -> Result<f64, String> {
    number(told, name)?.ok_or_else(|| format!("setting {name} is missing"))
}

fn listed<'a>(told: &'a BTreeMap<String, String>, name: &str) -> Vec<&'a str> {
    told.get(name).map_or(Vec::new(), |v| v.split(',').filter(|s| !s.is_empty()).collect())
}

/// A running median: moves by a fixed step towards each sample, so that no outlier pulls it far.
fn follow(median: &mut f64, sample: f64, step: f64) {
    *median += step * (sample - *median).clamp(-1.0, 1.0).signum();
}

impl Control {
    // ---- Start ----

    pub fn new(seed: u64, told: &BTreeMap<String, String>) -> Result<Self, String> {
        let (mut halls, mut kinds, mut rg_names) = (Names::default(), Names::default(), Names::default());
        let mut groups = Vec::new();
        let threads = listed(told, "family-info.dop");
        let loads = listed(told, "family-info.class-load");
        let waits = listed(told, "family-info.class-waits");
        for i in 0..required(told, "services.count")? as usize {
            let name = |what: &str| format!("services.{i}.{what}");
            let text = |what: &str| told.get(&name(what)).map(String::as_str);
            let bound = |what: &str, names: &mut Names| {
                let all = listed(told, &name(what));
                text(what).map(|_| all.iter().map(|n| names.index(n)).collect::<Vec<_>>())
            };
            rg_names.index(text("name").ok_or_else(|| format!("setting {} is missing", name("name")))?);
            groups.push(ResourceGroup {
                effect: match text("effect") {
                    Some("read_like") => Effect::ReadOnly,
                    Some("idempotency_key") => Effect::Tokened,
                    Some("non_idempotent") => Effect::Mutating,
                    other => return Err(format!("setting {} is {other:?}", name("effect"))),
                },
                dedup: match text("dedup-scope") {
                    Some("zone") => DedupGroup::Hall,
                    Some("cell") => DedupGroup::Cell,
                    _ => DedupGroup::All,
                },
                window: number(told, &name("repeat-window-us"))?.unwrap_or(0.0) / 1000.0,
                in_order: matches!(text("in-order"), Some("true" | "1")),
                halls: bound("confined-to", &mut halls),
                kinds: bound("kinds-open", &mut kinds),
                target: required(told, &name("aim-us"))? / 1000.0,
                target_stretch: number(told, &name("aim-stretch"))?.unwrap_or(0.0),
                queue_timeout: required(told, &name("hard-limit-us"))? / 1000.0,
                value: number(told, &name("points"))?.unwrap_or(1.0),
                late_value: number(told, &name("late-worth"))?.unwrap_or(0.0),
                threads: threads.get(i).and_then(|t| t.parse().ok()).unwrap_or(1.0f64).max(1.0),
                load: matches!(loads.get(i), Some(&"true" | &"1")),
                waits: matches!(waits.get(i), Some(&"true" | &"1")),
                mean_cost: 0.0,
                seen: 0,
                pace: 0.0,
                best: 0.0,
                paced: 0,
                cost_factor: 1.0,
                memory_factor: 1.0,
            });
        }
        let kind_list = listed(told, "kinds");
        let by_kind = |what: &str, kinds: &mut Names, usual: f64| {
            let mut by = vec![usual; kind_list.len()];
            for (kind, value) in kind_list.iter().zip(listed(told, what)) {
                by[kinds.index(kind) as usize % kind_list.len()] = value.parse().unwrap_or(usual);
            }
            by
        };
        kind_list.iter().for_each(|kind| {
            kinds.index(kind);
        });
        let (kind_cores, kind_memory) = (
            by_kind("family-info.cores-by-kind", &mut kinds, 8.0),
            by_kind("family-info.kind-memory-mb", &mut kinds, 0.0),
        );
        let gateways = required(told, "balancers")?.max(1.0);
        let mut customer_names = Names::default();
        let mut customers = Vec::new();
        for i in 0..number(told, "projects.count")?.unwrap_or(0.0) as usize {
            customer_names.index(told.get(&format!("projects.{i}.name")).map_or("", String::as_str));
            let rate = number(told, &format!("projects.{i}.allowance-per-s"))?.unwrap_or(f64::INFINITY);
            let rate = rate / 1000.0 / gateways;
            customers.push(Customer { rate, level: 0.0, at: f64::NEG_INFINITY });
        }
        let list_wanted = told.get("membership-mode").is_some_and(|m| m == "on_request");
        Ok(Control {
            now: 0.0,
            chance: Pcg::new(seed),
            gateways,
            hall: told.get("zone").map_or(NONE, |z| halls.index(z)),
            rg_names,
            kinds,
            halls,
            customer_names,
            groups,
            customers,
            nodes: Numbers::default(),
            engines: Vec::new(),
            kind_cores,
            kind_memory,
            queries: Slab::with_capacity(256),
            ids: Default::default(),
            key_ids: Numbers::default(),
            lines: Vec::new(),
            taken: VecDeque::new(),
            further: VecDeque::new(),
            moving: 0,
            candidates: Vec::new(),
            timer_set: false,
            looked: f64::NEG_INFINITY,
            told: told.clone(),
            list_asked: f64::NEG_INFINITY,
            list_wanted,
            fleet_pace: 0.0,
        })
    }

    /// One round: all that came in, then the regular look when it is due.
    pub fn round(&mut self, now: f64, feed: &mut dyn Feed, out: &mut dyn Writer) {
        self.now = now;
        feed.deliver(self, out);
        if now - self.looked >= LOOK_EVERY {
            self.looked = now;
            self.look(out);
        }
        let watched = self.list_wanted || self.engines.iter().any(|e| e.suspect && e.ready);
        if !self.timer_set && (watched || !self.queries.is_empty()) {
            self.timer_set = true;
            out.timer(LOOK_EVERY, 0);
        }
    }

    pub fn timer(&mut self, _handle: u64) {
        self.timer_set = false;
    }

    fn on(&self, name: &str) -> bool {
        self.told.get(name).is_some_and(|v| v == "true" || v == "1")
    }

    fn rule(&self, name: &str) -> Option<f64> {
        self.told.get(name).and_then(|v| v.parse().ok())
    }

    // ---- The list of engines ----

    pub fn list_begins(&mut self, form: ListForm) {
        if matches!(form, ListForm::Full | ListForm::Remembered) {
            self.engines.iter_mut().for_each(|e| e.listed = false);
        }
    }

    pub fn listed(
        &mut self, node: u64, kind: &str, hall: &str, status: EngineStatus, start: Option<f64>, cell: u32,
    ) {
        let i = self.nodes.index(node);
        if i == self.engines.len() {
            let kind = self.kinds.index(kind);
            let cores = self.kind_cores.get(kind as usize).copied().unwrap_or(8.0);
            self.engines.push(Engine {
                node,
                kind,
                hall: self.halls.index(hall),
                cell,
                cores,
                memory: self.kind_memory.get(kind as usize).copied().unwrap_or(0.0),
                ready: false,
                listed: false,
                started: f64::NEG_INFINITY,
                work: 0.0,
                open: 0,
                low_open: 0,
                low_threads: 0.0,
                granted: 0.0,
                bound: cores * THREADS_A_CORE / self.gateways,
                halved: f64::NEG_INFINITY,
                full: f64::NEG_INFINITY,
                pace: 0.0,
                heard: f64::NEG_INFINITY,
                errors: 0.0,
                suspect: false,
                silent: false,
                trial: f64::NEG_INFINITY,
                trial_wait: TRIAL_FIRST,
                passes: 0,
                probed: f64::NEG_INFINITY,
                sent_cold: VecDeque::new(),
                tables: [NONE; 4],
            });
        }
        let e = &mut self.engines[i];
        e.listed = status != EngineStatus::Gone;
        e.ready = status == EngineStatus::Ready;
        if let Some(start) = start.filter(|&s| s > e.started) {
            // A start we had not heard of: the engine is cold and what we held against it is out of date.
            e.started = start;
            (e.suspect, e.errors, e.pace) = (false, 0.0, 0.0);
            e.bound = e.cores * THREADS_A_CORE / self.gateways;
        }
    }

    /// An engine that a whole list leaves out is gone.
    pub fn list_ends(&mut self, form: ListForm, out: &mut dyn Writer) {
        if form == ListForm::Failed {
            self.list_asked = self.now;
            self.list_wanted = true;
            return;
        }
        self.engines.iter_mut().filter(|e| !e.listed).for_each(|e| e.ready = false);
        if form == ListForm::Remembered && self.list_wanted {
            self.list_asked = self.now;
            out.watch_list();
        }
    }

    // ---- A query comes ----

    #[allow(clippy::too_many_arguments)]
    pub fn query(
        &mut self, id: u64, rg: &str, customer: &str, key: Option<u64>, due: f64, cost: f64, memory: f64,
        tables: u32, out: &mut dyn Writer,
    ) -> Result<(), String> {
        let rg_index = self.rg_names.index(rg) as usize;
        if rg_index >= self.groups.len() {
            return Err(format!("unknown resource group {rg:?}"));
        }
        self.taken.push_back(self.now);
        let g = &mut self.groups[rg_index];
        let mut low = g.load || g.threads > 1.0;
        if cost > 0.0 {
            // Demoted once, at the door; the mean does not follow what it is to tell apart.
            low |= g.seen >= FIRST_SEEN && cost > DEMOTE_FACTOR * g.mean_cost;
            g.seen += 1;
            let step = MEAN_STEP.max(1.0 / f64::from(g.seen));
            let most = if g.seen > FIRST_SEEN { DEMOTE_FACTOR * g.mean_cost } else { f64::INFINITY };
            g.mean_cost += step * (cost.min(most) - g.mean_cost);
        }
        let in_order = g.in_order;
        let customer = self.customer_names.index(customer);
        let key = match key.filter(|_| in_order) {
            Some(key) => self.key_ids.index(key) as u32,
            None => NONE,
        };
        let i = self.queries.insert(Query {
            id,
            rg: rg_index,
            customer,
            key,
            tables,
            taken: self.now,
            due,
            cost,
            memory,
            low,
            over: false,
            moving: false,
            count: 0,
            submissions: [Submission::default(); MOST_SUBMISSIONS],
        });
        self.ids.insert(id, i);
        if key != NONE {
            if self.lines.len() <= key as usize {
                self.lines.resize_with(key as usize + 1, KeyLine::default);
            }
            self.lines[key as usize].line.push_back(i);
        }
        if self.its_turn(i) {
            self.place(i, out);
        } else if self.now + self.alone(i) > due {
            self.finish_off(i, out);
        }
        Ok(())
    }

    // ---- Placement ----

    /// Sends the query to the lighter of two engines drawn from those it may use, or ends it.
    fn place(&mut self, i: usize, out: &mut dyn Writer) {
        match self.choose(i) {
            Some(e) => self.send(i, e, out),
            None => self.finish_off(i, out),
        }
    }

    fn choose(&mut self, i: usize) -> Option<usize> {
        let mut drawn = std::mem::take(&mut self.candidates);
        // First the engines in good standing that it has not tried, then tried ones, then any that rules allow.
        for stage in 0..3 {
            drawn.clear();
            for e in 0..self.engines.len() {
                let tried = self.queries[i].sent().iter().any(|s| s.engine == e);
                let fit = match stage {
                    0 => !tried && self.in_standing(i, e),
                    1 => self.in_standing(i, e),
                    _ => true,
                };
                if fit && self.may_send(i, e) {
                    drawn.push(e);
                }
            }
            if !drawn.is_empty() {
                break;
            }
        }
        if self.queries[i].low {
            drawn.retain(|&e| self.has_room(i, e));
        }
        let choice = if drawn.is_empty() {
            None
        } else {
            let a = drawn[self.chance.below(drawn.len())];
            let hall = self.hall;
            if drawn.iter().any(|&e| self.engines[e].hall == hall) {
                drawn.retain(|&e| self.engines[e].hall == hall);
            }
            let b = drawn[self.chance.below(drawn.len())];
            Some(if self.weight(i, a) < self.weight(i, b) { a } else { b })
        };
        self.candidates = drawn;
        choice
    }

    /// Running work per told core with this query on it, where cold or slow cores count for less.
    fn weight(&self, i: usize, e: usize) -> f64 {
        let engine = &self.engines[e];
        let slower = (engine.pace - self.fleet_pace).clamp(0.0, 3.0).exp();
        let far = if engine.hall == self.hall { 1.0 } else { OTHER_HALL };
        (engine.work + self.work(i)) * slower * far / (engine.cores * self.warmth(e))
    }

    /// The share of its capacity that a cold engine is trusted with.
    fn warmth(&self, e: usize) -> f64 {
        let Some(warm_after) = self.rule("rules.warm-after-us") else {
            return 1.0;
        };
        let from = self.rule("rules.cold-from").unwrap_or(1.0);
        let part = (self.now - self.engines[e].started) * 1000.0 / warm_after;
        if part >= 1.0 {
            1.0
        } else {
            from + (1.0 - from) * part.max(0.0)
        }
    }

    fn pressure(&self, e: usize) -> bool {
        let e = &self.engines[e];
        e.pace > PRESSURE.ln() || self.now - e.full < FULL_LASTS
    }

    /// The low-lane bound: binds under pressure only, and never keeps out the only low query.
    fn has_room(&self, i: usize, e: usize) -> bool {
        let threads = self.groups[self.queries[i].rg].threads;
        let engine = &self.engines[e];
        engine.low_open == 0 || !self.pressure(e) || engine.low_threads + threads <= engine.bound
    }

    /// A doubted engine gets one trial at a time, of a read-only query in the fast lane.
    fn in_standing(&self, i: usize, e: usize) -> bool {
        let (q, engine) = (&self.queries[i], &self.engines[e]);
        let trial = !q.low && self.groups[q.rg].effect == Effect::ReadOnly && self.now >= engine.trial;
        !engine.suspect || trial
    }

    // ---- Sending: every submission passes here, and here the rules are kept ----

    fn may_send(&self, i: usize, e: usize) -> bool {
        let (q, engine) = (&self.queries[i], &self.engines[e]);
        let g = &self.groups[q.rg];
        // Rule 1: nothing after the final answer. Rule 3: nothing to an engine that drains or is gone.
        if q.over || !engine.ready || self.now >= q.due {
            return false;
        }
        // Rule 2: an effect only once; never two submissions at a time.
        if q.open().is_some() || !self.may_repeat(i, Some(e)) {
            return false;
        }
        // Rule 4: a cold engine gets this gateway's part of what it bears, in its classes' usual work.
        if let Some(allowed) = self.cold_allowance(e) {
            let sent: f64 = engine.sent_cold.iter().map(|&(_, work)| work).sum();
            if sent + self.usual_work(q.rg) > allowed {
                return false;
            }
        }
        // Rule 5: the key's turn. Rule 6: the halls and kinds it is bound to. Rule 7: the budget.
        let inside = |bound: &Option<Vec<u32>>, it: u32| bound.as_ref().is_none_or(|b| b.contains(&it));
        self.its_turn(i)
            && inside(&g.halls, engine.hall)
            && inside(&g.kinds, engine.kind)
            && (q.count == 0 || self.budget_left(0))
    }

    fn send(&mut self, i: usize, e: usize, out: &mut dyn Writer) {
        if !self.may_send(i, e) {
            return self.finish_off(i, out);
        }
        let (work, now) = (self.work(i), self.now);
        if self.cold_allowance(e).is_some() {
            let usual = self.usual_work(self.queries[i].rg);
            self.engines[e].sent_cold.push_back((now, usual));
        }
        let q = &mut self.queries[i];
        if q.count > 0 {
            self.further.push_back(now);
        }
        let g = &self.groups[q.rg];
        let engine = &mut self.engines[e];
        let memory = q.memory * g.memory_factor;
        let trial = engine.suspect;
        if trial {
            engine.trial = now + engine.trial_wait;
        }
        engine.open += 1;
        engine.work += work;
        engine.granted += memory;
        if q.low {
            engine.low_open += 1;
            engine.low_threads += g.threads;
        }
        q.submissions[q.count] = Submission {
            engine: e,
            sent: now,
            work,
            memory,
            open: true,
            may_have_run: true,
            cancelled: false,
            trial,
            noted: now,
            share: 0.0,
        };
        q.count += 1;
        let (id, due, node, low) = (q.id, q.due, engine.node, q.low);
        if self.on("family-info.lanes-count") {
            out.grant(id, if low { 1 } else { 3 }, 0.0);
        }
        out.submit(id, node, due);
    }

    /// Rule 2: whether the query may run again, on `e` if given, else whether a deferral may say so.
    fn may_repeat(&self, i: usize, e: Option<usize>) -> bool {
        let q = &self.queries[i];
        let g = &self.groups[q.rg];
        let Some(first) = q.sent().iter().find(|s| s.may_have_run) else {
            return true;
        };
        match g.effect {
            Effect::ReadOnly => true,
            Effect::Mutating => false,
            Effect::Tokened => {
                let (was, in_window) = (&self.engines[first.engine], self.now - first.sent < g.window);
                in_window
                    && match (g.dedup, e.map(|e| &self.engines[e])) {
                        (DedupGroup::All, _) => true,
                        (DedupGroup::Hall, Some(e)) => e.hall == was.hall,
                        (DedupGroup::Cell, Some(e)) => e.cell == was.cell,
                        (_, None) => false,
                    }
            }
        }
    }

    /// Rule 4: the work that this gateway may send to `e` in the rule's span, if the engine is cold.
    fn cold_allowance(&self, e: usize) -> Option<f64> {
        let span = self.rule("rules.overload-for-us")? / 1000.0;
        let multiple = self.rule("rules.fall-multiple")?;
        let warm_after = self.rule("rules.warm-after-us")? / 1000.0;
        let engine = &self.engines[e];
        let from = self.rule("rules.cold-from").unwrap_or(1.0);
        (self.now - engine.started < warm_after + span)
            .then_some(COLD_PART * multiple * from * engine.cores * CAPACITY_BUSY * span / self.gateways)
    }

    /// Rule 5: the first of its key whose earlier ones are over and whose key has rested.
    fn its_turn(&self, i: usize) -> bool {
        let q = &self.queries[i];
        if q.key == NONE {
            return true;
        }
        let line = &self.lines[q.key as usize];
        line.line.front() == Some(&i) && (q.count > 0 || self.now >= line.rests_until)
    }

    /// Rule 7: whether one more further submission, beside `promised` ones, fits every window.
    fn budget_left(&self, promised: u32) -> bool {
        let Some(span) = self.rule("rules.ratio-span-us") else {
            return true;
        };
        let share = self.rule("rules.repeat-ratio").unwrap_or(0.0);
        let free = self.rule("rules.extra-free").unwrap_or(0.0);
        let since = self.now - span / 1000.0;
        let further = self.further.iter().rev().take_while(|&&t| t >= since).count() as f64;
        let taken = self.taken.iter().rev().take_while(|&&t| t > since).count() as f64;
        further + f64::from(promised) + 1.0 <= free + share * taken
    }

    // ---- Answers ----

    #[allow(clippy::too_many_arguments)]
    pub fn closed(
        &mut self, id: u64, submission: usize, complete: bool, outcome: Outcome, node: u64, latency: f64,
        work: f64, memory: f64, out: &mut dyn Writer,
    ) {
        let Some(&i) = self.ids.get(&id) else { return };
        let (Some(e), true) = (self.nodes.find(node), submission < self.queries[i].count) else {
            return;
        };
        let q = &mut self.queries[i];
        let s = q.submissions[submission];
        if !s.open {
            return;
        }
        let g = &mut self.groups[q.rg];
        let engine = &mut self.engines[e];
        let sub = &mut q.submissions[submission];
        sub.open = false;
        sub.may_have_run = !matches!(outcome, Outcome::Full | Outcome::NoConnection | Outcome::NotSent);
        engine.open = engine.open.saturating_sub(1);
        engine.work = if engine.open == 0 { 0.0 } else { engine.work - s.work };
        engine.granted = if engine.open == 0 { 0.0 } else { engine.granted - s.memory };
        if q.low {
            engine.low_open = engine.low_open.saturating_sub(1);
            engine.low_threads = if engine.low_open == 0 { 0.0 } else { engine.low_threads - g.threads };
        }
        if std::mem::take(&mut q.moving) {
            self.moving -= 1;
        }
        let (low, key, over_before) = (q.low, q.key, q.over);
        q.over |= complete;
        if key != NONE && matches!(outcome, Outcome::Timeout | Outcome::Reset | Outcome::Cancelled) {
            let rest = self.told.get("rules.settle-after-doubt-us").and_then(|v| v.parse::<f64>().ok());
            let line = &mut self.lines[key as usize];
            line.rests_until = line.rests_until.max(self.now + rest.unwrap_or(0.0) / 1000.0);
        }
        let target = g.target + g.target_stretch * q.cost * g.cost_factor / g.threads;
        if outcome == Outcome::Finished {
            if work > 0.0 && q.cost > 0.0 {
                g.cost_factor += MEAN_STEP * ((work / q.cost).clamp(0.2, 5.0) - g.cost_factor);
            }
            if memory > 0.0 && q.memory > 0.0 {
                g.memory_factor += MEAN_STEP * ((memory / q.memory).clamp(0.2, 5.0) - g.memory_factor);
            }
            self.learn_pace(i, e, latency);
        }
        let engine = &mut self.engines[e];
        // The bound: up by one on a low answer well inside its target, halved once for each lot of trouble.
        let share = engine.cores / self.gateways;
        if outcome == Outcome::Finished && low && latency <= WELL_INSIDE * target {
            engine.bound = (engine.bound + 1.0).min((MOST_THREADS_A_CORE * share).max(1.0));
        }
        let late = outcome == Outcome::Finished && low && latency > target;
        if outcome == Outcome::Full {
            engine.full = self.now;
        }
        if (late || matches!(outcome, Outcome::Full | Outcome::Timeout)) && s.sent > engine.halved {
            engine.halved = self.now;
            engine.bound = (engine.bound / 2.0).max(1.0);
        }
        self.judge(e, outcome, s.trial);
        self.ended(i, over_before, outcome, out);
    }

    /// After a submission's end: another one, the final answer, or nothing if the query is over.
    fn ended(&mut self, i: usize, over_before: bool, outcome: Outcome, out: &mut dyn Writer) {
        if self.queries[i].over {
            return self.leave(i, out);
        }
        debug_assert!(!over_before);
        let most = self.rule("limits.max-attempts").unwrap_or(1.0) as usize;
        let q = &self.queries[i];
        let again = q.count < most.min(MOST_SUBMISSIONS)
            && q.open().is_none()
            && outcome != Outcome::NotSent
            && self.may_repeat(i, None)
            && self.now + self.alone(i) < q.due;
        if again {
            self.place(i, out);
        } else {
            self.finish_off(i, out);
        }
    }

    /// Learns how long answers take against their estimates: per resource group, and per engine from the
    /// fast lane's answers against the group's best.
    fn learn_pace(&mut self, i: usize, e: usize, latency: f64) {
        let q = &self.queries[i];
        let g = &mut self.groups[q.rg];
        if q.cost <= 0.0 {
            // No estimate: the group's own times stand in for its cost.
            g.seen += 1;
            let step = MEAN_STEP.max(1.0 / f64::from(g.seen));
            g.mean_cost += step * (latency * g.threads - g.mean_cost);
        }
        let cost = if q.cost > 0.0 { q.cost } else { g.mean_cost };
        let ratio = (latency.max(0.1) * g.threads / cost.max(0.1)).ln();
        if g.paced == 0 {
            (g.pace, g.best) = (ratio, ratio);
        }
        g.paced += 1;
        follow(&mut g.pace, ratio, STEP);
        g.best += STEP * if ratio < g.best { -0.9 } else { 0.1 };
        if !q.low {
            follow(&mut self.engines[e].pace, ratio - g.best, 2.0 * STEP);
        }
    }

    /// What an outcome says of the engine. Guards against fast failure, silence and refusal of connections,
    /// whatever the cause: a doubted engine gets single trials until some pass in a row.
    fn judge(&mut self, e: usize, outcome: Outcome, trial: bool) {
        let now = self.now;
        let engine = &mut self.engines[e];
        let failed = match outcome {
            Outcome::Finished => false,
            Outcome::Error | Outcome::Reset | Outcome::NoConnection | Outcome::Timeout => true,
            Outcome::Full | Outcome::Cancelled | Outcome::NotSent => return,
        };
        if matches!(outcome, Outcome::Finished | Outcome::Error) {
            engine.heard = now;
        }
        engine.errors += ERROR_STEP * (f64::from(u8::from(failed)) - engine.errors);
        if !engine.suspect {
            if engine.errors > ERROR_DOUBT {
                self.doubt(e, outcome != Outcome::Error);
            }
        } else if failed && trial {
            engine.passes = 0;
            engine.trial_wait = (2.0 * engine.trial_wait).min(TRIAL_MOST);
            engine.trial = now + engine.trial_wait;
        } else if !failed {
            engine.passes += 1;
            engine.trial = now;
            if engine.passes >= PASSES {
                engine.suspect = false;
                engine.errors = ERROR_AFTER_DOUBT;
            }
        }
    }

    fn doubt(&mut self, e: usize, silent: bool) {
        let engine = &mut self.engines[e];
        (engine.suspect, engine.silent, engine.passes) = (true, silent, 0);
        engine.trial_wait = TRIAL_FIRST;
        engine.trial = self.now + TRIAL_FIRST;
    }

    pub fn noted(&mut self, id: u64, submission: usize, note: Note, amount: f64) {
        let Some(&i) = self.ids.get(&id) else { return };
        let q = &mut self.queries[i];
        let (rg, cost) = (q.rg, q.cost);
        let Some(s) = q.submissions[..q.count].get_mut(submission).filter(|s| s.open) else {
            return;
        };
        self.engines[s.engine].heard = self.now;
        if note == Note::Progress {
            (s.noted, s.share) = (self.now, amount.clamp(0.0, 1.0));
            let (age, g) = (self.now - s.sent, &mut self.groups[rg]);
            if s.share > 0.0 && cost > 0.0 && g.paced > 0 {
                follow(&mut g.pace, (age / s.share * g.threads / cost).ln(), STEP);
            }
        }
    }

    pub fn probed(&mut self, node: u64, outcome: Outcome) {
        let Some(e) = self.nodes.find(node) else { return };
        let engine = &mut self.engines[e];
        if outcome == Outcome::Finished {
            engine.heard = self.now;
            if engine.suspect && engine.silent {
                engine.trial = self.now;
            }
        } else if !engine.suspect && self.now - engine.heard > SILENCE {
            self.doubt(e, true);
        }
    }

    pub fn vanished(&mut self, id: u64, out: &mut dyn Writer) {
        let Some(&i) = self.ids.get(&id) else { return };
        self.queries[i].over = true;
        self.call_off(i, out);
        self.leave(i, out);
    }

    // ---- Final answers: every one that is not an engine's passes here ----

    /// Ends the query at once: deferred where a retry is harmless, killed where it may not be.
    fn finish_off(&mut self, i: usize, out: &mut dyn Writer) {
        if self.queries[i].over {
            return;
        }
        let id = self.queries[i].id;
        let open = self.queries[i].open().is_some();
        let read_only = self.groups[self.queries[i].rg].effect == Effect::ReadOnly;
        if self.may_repeat(i, None) && (!open || read_only) {
            let longest = self.rule("limits.max-retry-after-us").unwrap_or(0.0) / 1000.0;
            out.defer(id, RETRY_AFTER.min(longest));
        } else {
            out.kill(id);
        }
        self.queries[i].over = true;
        self.call_off(i, out);
        self.leave(i, out);
    }

    fn call_off(&mut self, i: usize, out: &mut dyn Writer) {
        let cancelling = self.on("limits.cancelling");
        let q = &mut self.queries[i];
        for n in 0..q.count {
            let s = &mut q.submissions[n];
            if s.open && !s.cancelled && cancelling {
                s.cancelled = true;
                out.cancel(q.id, n);
            }
        }
    }

    /// Forgets a query that is over once nothing of it is out, and lets its key's next one go.
    fn leave(&mut self, i: usize, out: &mut dyn Writer) {
        let q = &self.queries[i];
        if !q.over || q.open().is_some() {
            return;
        }
        let (id, key) = (q.id, q.key);
        self.ids.remove(&id);
        self.queries.remove(i);
        if key != NONE {
            self.lines[key as usize].line.retain(|&other| other != i);
            self.next_of_key(key, out);
        }
    }

    fn next_of_key(&mut self, key: u32, out: &mut dyn Writer) {
        while let Some(&head) = self.lines[key as usize].line.front() {
            if self.queries[head].count > 0 || !self.its_turn(head) {
                return;
            }
            self.place(head, out);
            if self.queries.contains(head) && self.lines[key as usize].line.front() == Some(&head) {
                return;
            }
        }
    }

    // ---- The regular look ----

    fn look(&mut self, out: &mut dyn Writer) {
        if self.list_wanted && self.now - self.list_asked > LIST_RETRY {
            self.list_asked = self.now;
            out.watch_list();
        }
        if let Some(span) = self.rule("rules.ratio-span-us") {
            let since = self.now - span / 1000.0 - 1.0;
            while self.taken.front().is_some_and(|&t| t < since) {
                self.taken.pop_front();
            }
            while self.further.front().is_some_and(|&t| t < since) {
                self.further.pop_front();
            }
        } else {
            self.taken.clear();
            self.further.clear();
        }
        self.look_at_engines(out);
        for i in 0..self.queries.capacity() {
            if self.queries.contains(i) {
                self.look_at_query(i, out);
            }
        }
    }

    fn look_at_engines(&mut self, out: &mut dyn Writer) {
        let (now, probes) = (self.now, self.on("limits.probes"));
        let span = self.rule("rules.overload-for-us").unwrap_or(0.0) / 1000.0;
        let mut paces = std::mem::take(&mut self.candidates);
        paces.clear();
        for e in 0..self.engines.len() {
            let engine = &mut self.engines[e];
            while engine.sent_cold.front().is_some_and(|&(t, _)| now - t > span) {
                engine.sent_cold.pop_front();
            }
            if !engine.ready {
                continue;
            }
            paces.push(e);
            let waiting = if engine.open > 0 { now - engine.heard } else { 0.0 };
            let ask =
                if engine.suspect { engine.silent && now >= engine.trial } else { waiting > PROBE_AFTER };
            if probes && ask && now - engine.probed > PROBE_EVERY {
                engine.probed = now;
                out.probe(engine.node);
            }
        }
        paces.sort_by(|&a, &b| self.engines[a].pace.total_cmp(&self.engines[b].pace));
        self.fleet_pace = paces.get(paces.len() / 2).map_or(0.0, |&e| self.engines[e].pace);
        self.candidates = paces;
    }

    /// Guards against submissions that hang or crawl, whatever the cause (a bad plan, a slow or silent engine,
    /// a wait for a load): what is left is set against a new run, and against the time the client gives.
    fn look_at_query(&mut self, i: usize, out: &mut dyn Writer) {
        let q = &self.queries[i];
        if q.over || q.moving {
            return;
        }
        let (time_left, again) = (q.due - self.now, self.alone(i));
        let Some(n) = q.open() else {
            // Held by its key's order: it goes when the key is free, and ends when it could not finish.
            if self.its_turn(i) {
                self.place(i, out);
            } else if again > time_left || time_left < ANSWER_MARGIN {
                self.finish_off(i, out);
            }
            return;
        };
        let s = q.submissions[n];
        let (age, noted) = (self.now - s.sent, s.noted - s.sent);
        let silent = self.engines[s.engine].suspect && self.engines[s.engine].silent;
        let left = if silent {
            f64::INFINITY
        } else if s.share > 0.0 {
            noted * (1.0 - s.share) / s.share - (age - noted)
        } else if age > PATIENCE * again + PATIENCE_FLOOR {
            f64::INFINITY
        } else {
            again
        };
        if s.share > 0.0 && left > HOPELESS * time_left {
            return self.finish_off(i, out);
        }
        let most = self.rule("limits.max-attempts").unwrap_or(1.0) as usize;
        let movable = left > MOVE_GAIN * again
            && again < time_left
            && q.count < most.min(MOST_SUBMISSIONS)
            && self.on("limits.cancelling")
            && self.may_repeat(i, None)
            && self.budget_left(self.moving);
        if movable {
            self.moving += 1;
            let q = &mut self.queries[i];
            q.moving = true;
            q.submissions[n].cancelled = true;
            out.cancel(q.id, n);
        }
    }

    // ---- Helpers ----

    /// The work a query is reckoned with: its estimate as its group's answers corrected it, else its threads.
    fn work(&self, i: usize) -> f64 {
        let q = &self.queries[i];
        let g = &self.groups[q.rg];
        if q.cost > 0.0 {
            q.cost * g.cost_factor
        } else {
            g.threads
        }
    }

    /// How long a run of the query takes now, by its estimate and its group's recent pace.
    fn alone(&self, i: usize) -> f64 {
        let q = &self.queries[i];
        let g = &self.groups[q.rg];
        let cost = if q.cost > 0.0 { q.cost } else { g.mean_cost };
        let pace = if g.paced > 0 { g.pace.exp() } else { 1.0 };
        cost / g.threads * pace
    }

    /// The usual work of a group, never taken for less than its target runtime's worth of one thread.
    fn usual_work(&self, rg: usize) -> f64 {
        let g = &self.groups[rg];
        if g.seen > 0 {
            g.mean_cost * g.cost_factor.max(1.0)
        } else {
            g.target * g.threads
        }
    }
}
