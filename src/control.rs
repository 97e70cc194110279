//! All decisions of tansymux: which engine runs a query, what is rejected, moved, cancelled or failed.
//!
//! A protocol (today `crates/adapter`) calls `Control::round` once a round with all that came in. Its feed
//! calls the handlers below with decoded fields; decisions go straight into the writer. Both traits are in
//! `interface.rs`, the records in `state.rs`. Times are milliseconds. docs/design.md tells the why.
//!
//! Order: tuned values, start, list of engines, a query comes, placement, sending, answers, the regular look.

use crate::events::{
    AttemptEnded, AttemptLimits, DecisionSink, EndpointListKind, EndpointState, EndpointUpdate,
    HealthCheckEnded, NoteKind, Outcome, PeerMessage, ProgressNote, QueryArrived, ResourceUsage,
};
use crate::interner::Interner;
use crate::pcg::Pcg;
use crate::peer_codec;
use crate::settings::{RawSettings, SettingsError, SettingsMap};
pub use crate::state::Control;
use crate::state::*;

// The design page's values; credit is the thread time (ms) that the low lane may save up or overdraw.
const DEMOTE_FACTOR: f64 = 4.0;
const THREADS_A_CORE: f64 = 1.0;
const MAX_THREADS_A_CORE: f64 = 1.2;
const RETRY_AFTER: f64 = 1000.0;
const WELL_INSIDE: f64 = 0.5;
const CREDIT: f64 = 12_000.0;
// Pressure: answers take this many times the best, or a refusal as full came this lately, or our own crowd of
// threads a core (it grows with quick answers) or of memory will press it before answers can tell.
const PRESSURE: f64 = 1.5;
const FULL_LASTS: f64 = 2000.0;
const CROWD_A_CORE: f64 = 1.2;
const MAX_CROWD: f64 = 1.5;
const CROWD_MEMORY: f64 = 0.35;
const GENEROUS: f64 = 2.0;
// Learning: steps of medians (log ratio) and means, answers for a best, most factor, scatter forgiven.
const STEP: f64 = 0.05;
const MEAN_STEP: f64 = 0.02;
const FIRST_SEEN: u32 = 20;
const MAX_FACTOR: f64 = 5.0;
const SCATTER: f64 = 0.5;
// A pace is remembered up to a little above pressure only. An engine's own fades towards its zone's, a zone's
// towards the pool's, that towards none; after a long gap one answer moves it this much further.
const MAX_PACE: f64 = 0.8;
const ENGINE_FADES: f64 = 5000.0;
const ZONE_FADES: f64 = 10_000.0;
const GAP_STEP: f64 = 0.4;
// Moving: what is left is so many times a new run; nothing was noted for so many runs and a floor, or for so
// many notes' time. Hopeless: what is left is so many times the time the client gives.
const MOVE_GAIN: f64 = 2.5;
const PATIENCE: f64 = 5.0;
const PATIENCE_FLOOR: f64 = 400.0;
const NOTES_MISSED: f64 = 2.5;
const HOPELESS: f64 = 1.25;
// Unproven: errors weigh in by a step and raise it above a level; trials back off. Nothing heard for so long
// with attempts out is silence, and asked about where probes are allowed.
const ERROR_STEP: f64 = 0.2;
const ERROR_DOUBT: f64 = 0.35;
const TRIAL_FIRST: f64 = 500.0;
const MAX_TRIAL: f64 = 4000.0;
const SILENCE: f64 = 900.0;
const PROBE_AFTER: f64 = 300.0;
// Cold engines: the part used of what the rule allows all, the part of that by lot, how busy capacity is.
const COLD_PART: f64 = 0.8;
const COLD_LOT: f64 = 0.25;
const CAPACITY_BUSY: f64 = 0.85;
// Tables are taken for held for so many notes' time after one told of a wait for a load. A tenant is over
// its share when its rate over a span passes its even part by a factor.
const HELD_NOTES: f64 = 1.5;
const SHARE_SPAN: f64 = 2000.0;
const SHARE_SLACK: f64 = 1.35;
// Dispatchers that may talk: so many add up what all run and tell it; what is not renewed is forgotten.
const COLLECTORS: u32 = 2;
const SUM_EVERY: f64 = 300.0;
const SUM_LASTS: f64 = 2000.0;
const REPORT_EVERY: f64 = 4000.0;
const REPORT_LASTS: f64 = 10_000.0;
const LOOK_EVERY: f64 = 20.0;
const LIST_RETRY: f64 = 1000.0;

/// One round's events, in order. `deliver` calls the handlers of [`Control`] with decoded fields.
pub trait EventSource {
    /// Hands over all events of the round.
    fn deliver(&mut self, control: &mut Control, out: &mut dyn DecisionSink);
}

/// A query names a resource group that the settings do not have.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("unknown resource group {name:?}")]
pub struct UnknownResourceGroup {
    /// The name that came with the query.
    pub name: String,
}

impl Control {
    pub fn new(seed: u64, told: &SettingsMap) -> Result<Self, SettingsError> {
        let mut interner = Interner::default();
        let groups = ResourceGroup::read_all(told, &mut interner)?;
        let dispatchers = told.required("balancers")?.max(1.0);
        let tenants = Tenants::read(told, dispatchers, &mut interner.tenants);
        let zone = told.get("zone").map_or(NONE, |z| interner.zones.index(z));
        Ok(Control {
            dispatchers,
            zone,
            interner,
            groups,
            tenants,
            list_wanted: told
                .get("membership-mode")
                .is_some_and(|mode| mode == "on_request"),
            sum_heard: LONG_AGO,
            began: f64::INFINITY,
            rng: Pcg::new(seed),
            allowed: Allowed::read(told),
            told: told.clone(),
            ..Control::default()
        })
    }

    /// One round: all that came in, then the regular look when it is due.
    pub fn run_round(
        &mut self,
        now: f64,
        source: &mut dyn EventSource,
        out: &mut dyn DecisionSink,
    ) {
        self.now = now;
        self.began = self.began.min(now);
        source.deliver(self, out);
        if now - self.looked >= LOOK_EVERY {
            let earned = self.pool_spare() * (now - self.looked).min(CREDIT);
            self.credit = (self.credit + earned).clamp(-CREDIT, CREDIT);
            self.looked = now;
            self.look_for_list(out);
            self.look_at_engines(out);
            self.tell_others(out);
            (0..self.queries.capacity()).for_each(|i| self.look_at_query(i, out));
        }
        let watched = self.list_wanted || self.engines.iter().any(|e| e.suspect && e.ready);
        if now + 1.0 > self.timer_due && (watched || !self.queries.is_empty()) {
            self.timer_due = now + LOOK_EVERY;
            out.set_timer(LOOK_EVERY, 0);
        }
    }

    // ---- The list of engines ----

    pub fn begin_update(&mut self, form: EndpointListKind) {
        if matches!(form, EndpointListKind::Snapshot | EndpointListKind::Cached) {
            self.engines.iter_mut().for_each(|e| e.listed = false);
        }
    }

    pub fn upsert_endpoint(&mut self, update: &EndpointUpdate) {
        let EndpointUpdate {
            engine_id,
            kind,
            zone,
            state,
            started_ms: start,
            cell,
        } = *update;
        let (i, first) = self.slot_of(engine_id);
        if first {
            let engine = Engine::read(&self.told, engine_id, kind, zone, cell, &mut self.interner);
            self.zones.resize(
                self.zones.len().max(engine.zone as usize + 1),
                Paces::default(),
            );
            self.engines
                .splice(i..(i + 1).min(self.engines.len()), [engine]);
        }
        let e = &mut self.engines[i];
        e.listed = state != EndpointState::Gone;
        e.ready = state == EndpointState::Ready;
        if first || start.is_some_and(|start| start > e.started) {
            e.started = start.unwrap_or(LONG_AGO);
            e.suspect = false;
            e.errors = 0.0;
            e.paces = Paces::default();
            (e.bound, e.crowd) = (THREADS_A_CORE, e.cores * CROWD_A_CORE);
        }
    }

    pub fn finish_update(&mut self, form: EndpointListKind, out: &mut dyn DecisionSink) {
        match form {
            EndpointListKind::Failed => (self.list_wanted, self.list_asked) = (true, self.now),
            EndpointListKind::Cached => self.look_for_list(out),
            EndpointListKind::Delta | EndpointListKind::Snapshot => self.list_wanted = false,
        }
        if form != EndpointListKind::Failed {
            self.engines
                .iter_mut()
                .filter(|e| !e.listed)
                .for_each(|e| e.ready = false);
        }
    }

    fn look_for_list(&mut self, out: &mut dyn DecisionSink) {
        if self.list_wanted && self.now - self.list_asked > LIST_RETRY {
            self.list_asked = self.now;
            out.watch_endpoints();
        }
    }

    // ---- A query comes ----

    pub fn on_query_arrived(
        &mut self,
        query: &QueryArrived,
        out: &mut dyn DecisionSink,
    ) -> Result<(), UnknownResourceGroup> {
        let QueryArrived {
            query_id: id,
            group: rg,
            tenant,
            key,
            deadline_ms: due,
            memory_mb: memory,
            tables,
            ..
        } = *query;
        let (mut cost, text) = (query.estimated_cost_ms, query.statement);
        let rg_index = self.interner.groups.index(rg) as usize;
        if rg_index >= self.groups.len() {
            return Err(UnknownResourceGroup {
                name: rg.to_owned(),
            });
        }
        self.taken.push(self.now);
        let g = &mut self.groups[rg_index];
        let mut low = g.load || g.threads > 1.0;
        if cost > 0.0 {
            // Demoted once, at admission; the mean does not follow what it is to tell apart.
            let most = if g.seen >= FIRST_SEEN {
                DEMOTE_FACTOR * self.level.demotion_factor * g.mean_cost
            } else {
                f64::INFINITY
            };
            cost = g.trusted(cost, text.confidence);
            low |= cost > most;
            g.learn_cost(cost.min(most), MEAN_STEP);
        }
        // Without an estimate a query weighs its group's threads and takes its group's usual time; before the
        // first answer that is its target runtime: nothing is known of it, not that it takes none.
        let work = if cost > 0.0 {
            cost * g.cost_factor
        } else {
            g.threads
        };
        let usual = if g.seen > 0 {
            g.mean_cost
        } else {
            g.target * g.threads
        };
        let (guessed, cost) = (cost <= 0.0, if cost > 0.0 { cost } else { usual });
        let key = key.filter(|_| g.in_order);
        self.low_work += if low {
            MEAN_STEP * (work / g.threads - self.low_work)
        } else {
            0.0
        };
        let tenant = self.interner.tenants.index(tenant);
        // Over its share by what was told and against all others: when all send more, nobody is singled out.
        let (own, all) = self.tenants.count(tenant as usize, self.now, SHARE_SPAN);
        let over_share = own > SHARE_SLACK * all.max(1.0);
        let query = Query::new(id, rg_index, self.now, due);
        let effect = self.groups[rg_index].effect_of(text);
        let query = Query {
            over_share,
            tables,
            cost,
            guessed,
            work,
            memory,
            low,
            ..query
        };
        let query = Query {
            effect,
            confidence: text.confidence,
            ..query
        };
        let i = self.queries.insert(query);
        self.interner.queries.insert(id, i);
        self.queries[i].key = key.map_or(NONE, |key| self.lines.join(key, i, self.now));
        // No time for a run even at its best, or, of a client that gives less than half of the usual, for one
        // as answers come of late: it is given up at once, as it would end late more often than not and keep
        // others from theirs.
        let (q, g, time) = (&self.queries[i], &self.groups[rg_index], due - self.now);
        let short = time < WELL_INSIDE * g.longest_wait;
        let slow = if short { g.pace } else { g.best };
        let hopeless = q.cost / g.threads * slow.exp() > time;
        if self.its_turn(i) && !hopeless {
            self.place(i, out);
        } else if hopeless || self.now + self.alone(i) > due {
            self.finish_off(i, out);
        }
        Ok(())
    }

    // ---- Placement ----

    /// Sends the query to the lighter of two engines drawn from those it may use, or ends it.
    fn place(&mut self, i: usize, out: &mut dyn DecisionSink) {
        let Some(e) = self.choose(i) else {
            return self.finish_off(i, out);
        };
        self.send(i, e, out);
    }

    fn choose(&mut self, i: usize) -> Option<usize> {
        let mut drawn = std::mem::take(&mut self.drawn);
        let (low, mut standing) = (self.queries[i].low, false);
        let pool_room = low && self.pool_has_room(i);
        // First the engines in good standing that it has not tried, where no load makes it stand still and
        // its group does not hang; then all in good standing; only when none is, any that the rules allow.
        for stage in 0..3 {
            drawn.clear();
            for e in 0..self.engines.len() {
                let tried = self.queries[i].sent().iter().any(|s| s.engine == e);
                let fresh = !tried && !self.stands_still(i, e) && !self.hangs(i, e);
                let stands = self.in_standing(i, e);
                // A plan for zones keeps low work out, and the fast lane while there is any other engine.
                let open = stage > 1 && !low || self.open_to(i, e);
                if (stage > 0 || fresh) && (stage > 1 || stands) && open && self.may_send(i, e) {
                    standing |= stands;
                    if !low || self.has_room(i, e, pool_room) && !self.stands_still(i, e) {
                        drawn.push(e);
                    }
                }
            }
            if !drawn.is_empty() || stage == 1 && standing {
                break;
            }
        }
        let mut choice = None;
        if !drawn.is_empty() {
            let nearest = drawn.iter().map(|&e| self.rank(i, e)).min();
            drawn.retain(|&e| Some(self.rank(i, e)) == nearest);
            // One draw from all, one from our zone; both from our zone while an engine there is at ease.
            let home = |e: &usize| self.engines[*e].zone == self.zone;
            let easy = |e: &usize| self.spare(*e) >= 0.0 && !self.pressure(*e);
            let stay = drawn.iter().any(|e| home(e) && easy(e));
            let any = drawn[self.rng.below(drawn.len())];
            if drawn.iter().any(home) {
                drawn.retain(home);
            }
            let (a, b) = (
                drawn[self.rng.below(drawn.len())],
                drawn[self.rng.below(drawn.len())],
            );
            let a = if stay { a } else { any };
            choice = Some(if self.weight(i, a) < self.weight(i, b) {
                a
            } else {
                b
            });
        }
        self.drawn = drawn;
        choice
    }

    fn weight(&self, i: usize, e: usize) -> f64 {
        let engine = &self.engines[e];
        (engine.work + engine.others * self.low_work + self.queries[i].work) / engine.cores
    }

    /// Pressure as answers show it, or as our own part will: a burst fills an engine before its answers tell.
    pub fn pressure(&self, e: usize) -> bool {
        let slow = self.crawls(e, true) || self.crawls(e, false);
        let e = &self.engines[e];
        let crowded = e.low_threads + e.others >= e.crowd * self.level.concurrency_factor
            || e.memory > 0.0 && e.granted >= CROWD_MEMORY * e.memory;
        slow || crowded || self.now - e.full < FULL_LASTS
    }

    /// Whether a lane's answers there lie far above their best, as far as its own or its zone's answers tell.
    fn crawls(&self, e: usize, low: bool) -> bool {
        let engine = &self.engines[e];
        let pool = self.pool.lane(low).at(self.now, 0.0, ZONE_FADES);
        let zone = self.zones[engine.zone as usize]
            .lane(low)
            .at(self.now, pool, ZONE_FADES);
        engine.paces.lane(low).at(self.now, zone, ENGINE_FADES) > PRESSURE.ln()
    }

    fn learn_slowness(&mut self, e: usize, low: bool, above: f64, step: f64) {
        let (now, engine) = (self.now, &mut self.engines[e]);
        let above = above.min(MAX_PACE);
        let pool = self.pool.lane_mut(low);
        pool.take(now, above, 0.0, ZONE_FADES, step, GAP_STEP);
        let zone = self.zones[engine.zone as usize].lane_mut(low);
        zone.take(now, above, pool.level, ZONE_FADES, step, GAP_STEP);
        engine
            .paces
            .lane_mut(low)
            .take(now, above, zone.level, ENGINE_FADES, step, GAP_STEP);
    }

    /// The low-lane bound: binds under pressure only, and never keeps out the only low query. Where an even
    /// share of an engine is less than a query, that exception would let every dispatcher put one on each:
    /// under pressure it rests while our low threads in the pool have used up the sum of our bounds.
    fn has_room(&self, i: usize, e: usize, pool_room: bool) -> bool {
        let (q, engine, at_ease) = (&self.queries[i], &self.engines[e], !self.pressure(e));
        // A reduced level leaves a group's low work a part of that room, or none.
        let part = self.level.headroom_fraction(q);
        if part <= 0.0 {
            return false;
        }
        let within = self.groups[q.rg].threads <= part * self.spare(e);
        let alone = engine.low_open == 0 && engine.others <= 0.0 && (at_ease || pool_room);
        // What a tenant sends beyond its share has room only where both the bound and the engine allow.
        alone || within && at_ease || (within || at_ease) && !q.over_share
    }

    /// Whether our low threads leave room for this query in the sum of our bounds. Where that is less than
    /// one query, one may enter while none runs, as often as keeps to the sum over time.
    fn pool_has_room(&self, i: usize) -> bool {
        let idle = self.credit >= 0.0 && self.engines.iter().all(|e| e.low_open == 0);
        idle || self.pool_spare() >= self.groups[self.queries[i].rg].threads
    }

    fn pool_spare(&self) -> f64 {
        (0..self.engines.len())
            .filter(|&e| self.engines[e].ready)
            .map(|e| self.spare(e))
            .sum()
    }

    fn spare(&self, e: usize) -> f64 {
        let engine = &self.engines[e];
        self.level.concurrency_factor * engine.bound * engine.cores * self.share()
            - engine.low_threads
            - engine.others
    }

    /// This dispatcher's share of an engine: an even one, or, while it hears what all run there, the whole.
    pub fn share(&self) -> f64 {
        let hears = self.now - self.sum_heard < SUM_LASTS;
        1.0 / if hears { 1.0 } else { self.dispatchers }
    }

    fn stands_still(&self, i: usize, e: usize) -> bool {
        let (q, g, held) = (
            &self.queries[i],
            &self.groups[self.queries[i].rg],
            &self.engines[e].held,
        );
        (g.waits || g.load)
            && held
                .iter()
                .any(|&(t, until)| t == q.tables && until > self.now)
    }

    /// Whether its group hangs there: something keeps it from its end, while others may go on as ever.
    fn hangs(&self, i: usize, e: usize) -> bool {
        let hung = self.engines[e].hangs.get(self.queries[i].rg);
        hung.is_some_and(|hung| hung.at(self.now, 0.0, ENGINE_FADES) > ERROR_DOUBT)
    }

    /// A doubted engine gets one trial at a time, of a read-only query in the fast lane; one that fell silent
    /// only once a probe was answered, where probes are allowed.
    fn in_standing(&self, i: usize, e: usize) -> bool {
        let (q, engine) = (&self.queries[i], &self.engines[e]);
        let may_try = !q.low && q.effect == Effect::ReadOnly;
        let shown = !(engine.silent && self.allowed.probes) || engine.heard >= engine.trial;
        !engine.suspect || may_try && self.now >= engine.trial && shown
    }

    // ---- Sending: every attempt passes here, and here the rules are kept ----

    fn may_send(&mut self, i: usize, e: usize) -> bool {
        // Rule 7: the budget of further attempts, also across zones; a level may leave low work none.
        let withheld = self.level.withhold_low_retries && self.queries[i].low;
        if self.queries[i].count > 0
            && (withheld || self.may_not_cross(i, e) || !self.budget_left(0.0))
        {
            return false;
        }
        let (q, engine) = (&self.queries[i], &self.engines[e]);
        let g = &self.groups[q.rg];
        // Rule 1: nothing after the final answer. Rule 3: nothing to an engine that drains or is gone.
        if q.over || !engine.ready || self.now >= q.due {
            return false;
        }
        // Rule 2: an effect only once; never two attempts at a time, and no more than are told.
        if q.open().is_some()
            || q.count >= self.allowed.max_attempts
            || !self.may_repeat(i, Some(e))
        {
            return false;
        }
        // Rule 4: a cold engine gets this dispatcher's part of what it bears, in its groups' usual work. Where
        // that is less than a query, one goes in a span by lot: else nobody would use it until it is warm.
        let (sent, usual) = (
            engine.sent_cold.iter().map(|&(_, work)| work).sum::<f64>(),
            self.usual_work(q.rg),
        );
        let by_lot = |allowed: f64| sent <= 0.0 && engine.lot * usual < COLD_LOT * allowed;
        if self
            .cold_allowance(e)
            .is_some_and(|allowed| sent + usual > allowed && !by_lot(allowed))
        {
            return false;
        }
        // Rule 5: the key's turn. Rule 6: the zones and kinds it is bound to.
        self.its_turn(i) && g.allows(engine)
    }

    fn send(&mut self, i: usize, e: usize, out: &mut dyn DecisionSink) {
        if !self.may_send(i, e) {
            return self.finish_off(i, out);
        }
        let (work, now, usual) = (
            self.queries[i].work,
            self.now,
            self.usual_work(self.queries[i].rg),
        );
        let took = self.takes_room(i, e);
        if self.cold_allowance(e).is_some() {
            self.engines[e].sent_cold.push_back((now, usual));
        }
        let start_by_ms = self.start_by(i);
        let q = &mut self.queries[i];
        if q.count > 0 {
            self.further.push(now);
        }
        let g = &self.groups[q.rg];
        let engine = &mut self.engines[e];
        let memory = q.memory * g.memory_factor;
        let trial = engine.suspect;
        engine.trial = if trial {
            now + engine.trial_wait
        } else {
            engine.trial
        };
        let s = Attempt {
            took,
            ..Attempt::new(e, now, work, memory, trial)
        };
        engine.add(&s, q.low, g.threads, g.load.then_some((q.tables, q.due)));
        q.attempts[q.count] = s;
        q.count += 1;
        let (id, engine_id, low) = (q.id, engine.engine_id, q.low);
        let bounds = AttemptLimits {
            deadline_ms: q.due,
            start_by_ms,
            side_effect_free: q.effect == Effect::ReadOnly,
        };
        self.low_changed |= low;
        let generous = (GENEROUS * self.level.grant_factor).max(1.0);
        if self.allowed.pages || self.allowed.priorities {
            out.grant(
                id,
                if low { 1 } else { 3 },
                if self.allowed.pages {
                    generous * memory
                } else {
                    0.0
                },
            );
        }
        out.submit(id, engine_id, bounds);
    }

    /// Rule 2: whether the query may run again, on `e` if given, else whether a rejection may say so.
    fn may_repeat(&self, i: usize, e: Option<usize>) -> bool {
        let q = &self.queries[i];
        let g = &self.groups[q.rg];
        let Some(first) = q.sent().iter().find(|s| s.may_have_run) else {
            return true;
        };
        let (was, to) = (&self.engines[first.engine], e.map(|e| &self.engines[e]));
        let same_group = match g.dedup {
            DedupGroup::All => true,
            DedupGroup::Zone => to.is_some_and(|to| to.zone == was.zone),
            DedupGroup::Cell => to.is_some_and(|to| to.cell == was.cell),
        };
        let in_window = self.now - first.sent < g.window;
        q.effect == Effect::ReadOnly
            || q.effect == Effect::IdempotencyKey && in_window && same_group
    }

    /// Rules 1 and 2: a repeat by its token has to be out in its window, all before the client leaves.
    fn start_by(&self, i: usize) -> f64 {
        let q = &self.queries[i];
        let first = q
            .sent()
            .iter()
            .find(|s| s.may_have_run && q.effect == Effect::IdempotencyKey);
        first.map_or(q.due, |first| {
            q.due.min(first.sent + self.groups[q.rg].window)
        })
    }

    /// Rule 4: the work that this dispatcher may send to `e` in the rule's span, if the engine is cold.
    fn cold_allowance(&self, e: usize) -> Option<f64> {
        let (rule, engine) = (self.allowed.cold?, &self.engines[e]);
        let bears = rule.multiple * rule.from * engine.cores * CAPACITY_BUSY * rule.span;
        // Where it was cold before this dispatcher began, one that died in its place may have sent its part
        // within this span: what that leaves of all is the newcomer's.
        let newcomer = engine.started < self.began && self.now - self.began < rule.span;
        let part = if newcomer { 1.0 - COLD_PART } else { COLD_PART };
        (self.now - engine.started < rule.warm_after + rule.span)
            .then_some(part * bears / self.dispatchers)
    }

    /// Rule 5: the first of its key whose earlier ones are over and whose key has rested.
    fn its_turn(&self, i: usize) -> bool {
        let q = &self.queries[i];
        let (first, rests_until) = self.lines.first(q.key);
        q.key == NONE || first == Some(i) && (q.count > 0 || self.now >= rests_until)
    }

    fn budget_left(&mut self, under_way: f64) -> bool {
        let Some(Budget { span, free, share }) = self.allowed.budget else {
            return true;
        };
        let allowed = free + share * self.taken.after(self.now - span);
        self.further.after(self.now - span - LOOK_EVERY) + under_way + 1.0 <= allowed
    }

    fn may_move(&mut self, i: usize) -> bool {
        let could = !(self.level.withhold_low_retries && self.queries[i].low)
            && self.allowed.cancelling
            && self.queries[i].count < self.allowed.max_attempts;
        could && self.budget_left(self.moving) && self.may_repeat(i, None)
    }

    // ---- What dispatchers tell each other, where they may ----

    /// Reports our low threads to the dispatchers that add up, or, as one of them, tells all the sum. They do it
    /// alike, so that each may die or be cut off; without any, the even share holds again.
    fn tell_others(&mut self, out: &mut dyn DecisionSink) {
        if !self.allowed.peers || self.dispatchers < 2.0 {
            return;
        }
        let now = self.now;
        let renew =
            now - self.reported > REPORT_EVERY && self.engines.iter().any(|e| e.low_open > 0);
        if self.low_changed || renew {
            (self.low_changed, self.reported) = (false, now);
            let own = self
                .engines
                .iter()
                .filter(|e| e.low_open > 0)
                .map(|e| (e.engine_id, e.low_threads));
            let collectors =
                || (0..COLLECTORS.min(self.dispatchers as u32)).filter(|&c| c != self.allowed.me);
            peer_codec::write(peer_codec::OWN, own, |content| {
                collectors().for_each(|c| out.send_to_peer(Some(c), content))
            });
        }
        if self.allowed.me < COLLECTORS && now - self.sum_told > SUM_EVERY {
            (self.sum_told, self.sum_heard) = (now, now);
            self.reports.add_up(now - REPORT_LASTS, &mut self.engines);
            let all = self
                .engines
                .iter()
                .filter(|e| e.ready)
                .map(|e| (e.engine_id, e.low_threads + e.others));
            peer_codec::write(peer_codec::SUM, all, |content| {
                out.send_to_peer(None, content)
            });
        }
    }

    pub fn on_peer_message(&mut self, message: &PeerMessage) {
        let PeerMessage { peer, content } = *message;
        match content.first() {
            Some(&peer_codec::OWN) if f64::from(peer) < self.dispatchers => {
                self.reports.keep(peer, self.now, content, &self.engines);
            }
            Some(&peer_codec::SUM) if self.allowed.me >= COLLECTORS => {
                self.sum_heard = self.now;
                for (mark, all) in peer_codec::read(content) {
                    let told = self
                        .engines
                        .iter_mut()
                        .find(|e| peer_codec::mark_of(e.engine_id) == mark);
                    told.into_iter()
                        .for_each(|e| e.others = (all - e.low_threads).max(0.0));
                }
            }
            _ => {}
        }
    }

    // ---- Answers ----

    pub fn on_attempt_ended(&mut self, event: &AttemptEnded, out: &mut dyn DecisionSink) {
        let AttemptEnded {
            query_id: id,
            attempt,
            engine_id,
            outcome,
            answer_delivered: complete,
            latency_ms: latency,
            used,
        } = *event;
        let ResourceUsage {
            thread_ms: work,
            memory_mb: memory,
        } = used.unwrap_or(ResourceUsage {
            thread_ms: 0.0,
            memory_mb: 0.0,
        });
        let Some(&i) = self.interner.queries.get(&id) else {
            return;
        };
        let Some(e) = self.interner.engine_ids.find(engine_id) else {
            return;
        };
        let q = &mut self.queries[i];
        let Some(s) = q.attempts.get_mut(attempt).filter(|s| s.open) else {
            return;
        };
        s.open = false;
        s.may_have_run = !matches!(
            outcome,
            Outcome::Full | Outcome::NoConnection | Outcome::NotSent
        );
        let (s, g, engine) = (*s, &mut self.groups[q.rg], &mut self.engines[e]);
        engine.remove(&s, q.low, g.threads, g.load.then_some(q.tables));
        if std::mem::take(&mut q.moving) {
            self.moving -= 1.0;
        }
        let (low, key, rg) = (q.low, q.key, q.rg);
        q.over |= complete;
        self.low_changed |= low;
        if matches!(
            outcome,
            Outcome::Timeout | Outcome::Reset | Outcome::Cancelled
        ) {
            self.lines.rest(key, self.now + self.allowed.doubt_rest);
        }
        let target = g.target_of(q.cost * g.cost_factor);
        if outcome == Outcome::Completed {
            engine
                .hang(q.rg)
                .take(self.now, 0.0, 0.0, ENGINE_FADES, ERROR_STEP, 0.0);
            g.learn_need(work / q.cost, memory / q.memory, MEAN_STEP, MAX_FACTOR);
            self.learn_pace(i, e, latency);
        }
        let share = self.share();
        let engine = &mut self.engines[e];
        // The bound: up by one on a low answer well inside its target, halved once for each lot of trouble.
        if outcome == Outcome::Completed && low && latency <= WELL_INSIDE * target {
            engine.bound = (engine.bound + 1.0 / (engine.cores * share)).min(MAX_THREADS_A_CORE);
            engine.crowd = (engine.crowd + 1.0).min(MAX_CROWD * engine.cores);
        }
        engine.full = if outcome == Outcome::Full {
            self.now
        } else {
            engine.full
        };
        let late = outcome == Outcome::Completed && low && latency > target;
        if (late || matches!(outcome, Outcome::Full | Outcome::Timeout)) && s.sent > engine.halved {
            engine.halved = self.now;
            engine.bound /= 2.0;
            engine.crowd = CROWD_A_CORE * engine.cores;
        }
        self.judge(e, outcome, &s, attempt > 0);
        self.gives_back(s.took, rg, e);
        if self.queries[i].over {
            self.leave(i, out);
        } else if outcome != Outcome::NotSent && self.now + self.alone(i) < self.queries[i].due {
            self.place(i, out);
        } else {
            self.finish_off(i, out);
        }
    }

    fn learn_pace(&mut self, i: usize, e: usize, latency: f64) {
        let q = &self.queries[i];
        let g = &mut self.groups[q.rg];
        // Without an estimate an answer counts against those before it, and the first against none.
        let (cost, first) = (
            if q.guessed { g.mean_cost } else { q.cost },
            q.guessed && g.seen == 0,
        );
        if q.guessed {
            g.learn_cost(latency * g.threads, MEAN_STEP);
        }
        if first {
            return;
        }
        let ratio = (latency.max(0.1) * g.threads / cost.max(0.1)).ln();
        // Past its target runtime it is slow whatever the best was: one that began in trouble knows no other.
        let late = latency > g.target_of(q.cost * g.cost_factor);
        let above = g.learn_ratio(ratio, STEP, MEAN_STEP, FIRST_SEEN) - SCATTER * g.min_scatter;
        let (low, above) = (q.low, if late { MAX_PACE } else { above });
        self.learn_slowness(e, low, above, 2.0 * STEP);
    }

    /// What an outcome says of the engine. Guards against fast failure, silence and refusal of connections,
    /// whatever the cause: a doubted engine gets single trials until one passes.
    fn judge(&mut self, e: usize, outcome: Outcome, s: &Attempt, again: bool) {
        let (now, trial) = (self.now, s.trial);
        let engine = &mut self.engines[e];
        let failed = match outcome {
            Outcome::Completed => false,
            // All that waited for one connection are one sign.
            Outcome::NoConnection if engine.unreached == now => return,
            // A query that failed elsewhere before may be at fault itself, as one that no engine can use is.
            Outcome::Error if again => return,
            Outcome::Error | Outcome::Reset | Outcome::NoConnection => true,
            // On an engine that else answers, or before a first note: crowded out, or stood behind a load.
            Outcome::Timeout
                if engine.heard > s.sent || now - s.sent < self.allowed.notes_every =>
            {
                return self.learn_slowness(e, false, MAX_PACE, 2.0 * STEP);
            }
            Outcome::Timeout => true,
            Outcome::Full | Outcome::Cancelled | Outcome::NotSent => return,
        };
        if matches!(outcome, Outcome::Completed | Outcome::Error) {
            engine.heard = now;
        }
        engine.unreached = if outcome == Outcome::NoConnection {
            now
        } else {
            LONG_AGO
        };
        engine.errors += ERROR_STEP * (f64::from(u8::from(failed)) - engine.errors);
        if !engine.suspect && engine.errors > ERROR_DOUBT {
            self.doubt(e, outcome != Outcome::Error);
        } else if engine.suspect && failed && trial {
            engine.trial_wait = (2.0 * engine.trial_wait).min(MAX_TRIAL);
            engine.trial = now + engine.trial_wait;
        } else if engine.suspect && !failed {
            engine.suspect = false;
            engine.errors = ERROR_STEP;
        }
    }

    fn doubt(&mut self, e: usize, silent: bool) {
        let engine = &mut self.engines[e];
        (engine.suspect, engine.silent) = (true, silent);
        (engine.trial_wait, engine.trial) = (TRIAL_FIRST, self.now + TRIAL_FIRST);
    }

    pub fn on_progress_note(&mut self, event: &ProgressNote) {
        let ProgressNote {
            query_id: id,
            attempt,
            kind: note,
            amount,
        } = *event;
        let Some(&i) = self.interner.queries.get(&id) else {
            return;
        };
        let q = &mut self.queries[i];
        let (rg, cost) = (q.rg, q.cost);
        let Some(s) = q.attempts.get_mut(attempt).filter(|s| s.open) else {
            return;
        };
        (s.heard, self.engines[s.engine].heard) = (self.now, self.now);
        s.waits |= note == NoteKind::Waiting;
        if note == NoteKind::Waiting && amount == 2.0 {
            let until = self.now + HELD_NOTES * self.allowed.notes_every;
            self.engines[s.engine].held.push((q.tables, until));
        }
        if note == NoteKind::Progress {
            let first = s.run().is_none();
            s.progressed(self.now, amount.clamp(0.0, 1.0));
            let (run, g) = (s.run().unwrap_or(0.0), &mut self.groups[rg]);
            if run <= 0.0 || cost <= 0.0 || g.paced == 0 {
                return;
            }
            let ratio = (run * g.threads / cost).ln();
            follow(&mut g.pace, ratio, STEP);
            // Once for each: one bad plan tells of itself at every note, not of its engine.
            if first {
                let (e, above) = (s.engine, ratio - g.best);
                self.learn_slowness(e, true, above, STEP);
            }
        }
    }

    pub fn on_health_check_ended(&mut self, event: &HealthCheckEnded) {
        let HealthCheckEnded { engine_id, outcome } = *event;
        let Some(e) = self.interner.engine_ids.find(engine_id) else {
            return;
        };
        let engine = &mut self.engines[e];
        if outcome == Outcome::Completed {
            engine.heard = self.now;
            engine.trial = if engine.silent {
                self.now
            } else {
                engine.trial
            };
            // Doubted as no connection came up: one has, and its process answers.
            if engine.suspect && engine.unreached > LONG_AGO {
                (engine.suspect, engine.errors) = (false, ERROR_STEP);
            }
        } else if !engine.suspect && self.now - engine.heard > SILENCE {
            self.doubt(e, true);
        }
    }

    pub fn on_client_gone(&mut self, id: u64, out: &mut dyn DecisionSink) {
        let Some(&i) = self.interner.queries.get(&id) else {
            return;
        };
        self.end(i, out);
    }

    // ---- Final answers: every one that is not an engine's passes here ----

    /// Ends the query at once: rejected where a retry is harmless, failed where it may not be.
    fn finish_off(&mut self, i: usize, out: &mut dyn DecisionSink) {
        let Some(q) = Some(&self.queries[i]).filter(|q| !q.over) else {
            return;
        };
        let read_only = q.effect == Effect::ReadOnly;
        if self.may_repeat(i, None) && (read_only || q.open().is_none()) {
            let most = self.allowed.longest_wait;
            out.reject(
                q.id,
                self.level.retry_after_ms(RETRY_AFTER, most, &mut self.rng),
            );
        } else {
            out.fail(q.id);
        }
        self.end(i, out);
    }

    fn end(&mut self, i: usize, out: &mut dyn DecisionSink) {
        self.queries[i].over = true;
        self.call_off(i, out);
        self.leave(i, out);
    }

    fn call_off(&mut self, i: usize, out: &mut dyn DecisionSink) {
        let Some(n) = self.queries[i].open().filter(|_| self.allowed.cancelling) else {
            return;
        };
        let q = &mut self.queries[i];
        if !std::mem::replace(&mut q.attempts[n].cancelled, true) {
            out.cancel(q.id, n);
        }
    }

    fn leave(&mut self, i: usize, out: &mut dyn DecisionSink) {
        let q = &self.queries[i];
        if !q.over || q.open().is_some() {
            return;
        }
        let (id, key) = (q.id, q.key);
        self.interner.queries.remove(&id);
        self.queries.remove(i);
        self.lines.leave(key, i);
        let next = self
            .lines
            .first(key)
            .0
            .filter(|&n| self.queries[n].count == 0 && self.its_turn(n));
        next.into_iter().for_each(|next| self.place(next, out));
    }

    // ---- The regular look ----

    fn look_at_engines(&mut self, out: &mut dyn DecisionSink) {
        // Where no notes tell that it works, an engine may be silent for as long as the quickest group takes.
        let quickest = self
            .groups
            .iter()
            .map(|g| g.target)
            .fold(f64::INFINITY, f64::min);
        let notes_every = self.allowed.notes_every;
        let (now, probe_after) = (
            self.now,
            PROBE_AFTER
                + if notes_every > 0.0 {
                    notes_every
                } else {
                    quickest
                },
        );
        let span = self.allowed.cold.map_or(0.0, |rule| rule.span);
        for engine in &mut self.engines {
            engine.sent_cold.retain(|&(at, _)| now - at <= span);
            if now - engine.lot_drawn > span {
                engine.lot_drawn = now;
                engine.lot = self.rng.next_unit();
            }
            let unheard =
                engine.open > 0 && now - engine.heard.max(engine.busy_since) > probe_after;
            let ask = if engine.suspect {
                engine.silent && now >= engine.trial
            } else {
                unheard
            };
            if self.allowed.probes && ask && engine.ready && now - engine.probed > TRIAL_FIRST {
                engine.probed = now;
                out.check_health(engine.engine_id);
            }
        }
    }

    /// Guards against attempts that hang or crawl, whatever the cause (a bad plan, a slow or silent
    /// engine, a wait for a load): what is left is set against a new run and the time the client gives.
    fn look_at_query(&mut self, i: usize, out: &mut dyn DecisionSink) {
        let Some(q) = self.queries.get(i).filter(|q| !q.over && !q.moving) else {
            return;
        };
        let (time_left, again) = (q.due - self.now, self.alone(i));
        let Some(n) = q.open() else {
            // Held by its key's order: it goes when the key is free, and ends when it could not finish.
            if self.its_turn(i) {
                self.place(i, out);
            } else if again + LOOK_EVERY > time_left {
                self.finish_off(i, out);
            }
            return;
        };
        let s = q.attempts[n];
        let age = self.now - s.sent;
        let silent = self.engines[s.engine].suspect && self.engines[s.engine].silent && !s.trial;
        // No note for longer than notes take: the work ended and its answer was lost, or nothing runs it.
        let fell_silent = self.allowed.notes_every > 0.0
            && self.now - s.heard > NOTES_MISSED * self.allowed.notes_every;
        let overdue = fell_silent || s.share <= 0.0 && age > PATIENCE * again + PATIENCE_FLOOR;
        let left = if silent || overdue {
            f64::INFINITY
        } else {
            s.left(self.now).unwrap_or(again)
        };
        // Hopeless: by its note past its time. Under pressure a new run would only keep others from theirs.
        let hopeless = s.run().is_some() && left > HOPELESS * time_left;
        let gains = left > MOVE_GAIN * again && again < time_left;
        if gains && !(hopeless && self.pressure(s.engine)) && self.may_move(i) {
            self.moving += 1.0;
            let (now, q) = (self.now, &mut self.queries[i]);
            q.moving = true;
            let step = if overdue { ERROR_STEP } else { 0.0 };
            self.engines[s.engine]
                .hang(q.rg)
                .take(now, 1.0, 0.0, ENGINE_FADES, step, 0.0);
            self.call_off(i, out);
        } else if hopeless {
            self.finish_off(i, out);
        }
    }

    pub fn alone(&self, i: usize) -> f64 {
        let (q, g) = (&self.queries[i], &self.groups[self.queries[i].rg]);
        q.cost / g.threads * g.pace.exp()
    }

    /// The usual work of a group, by estimates, what answers told of them, and how long the best took.
    fn usual_work(&self, rg: usize) -> f64 {
        let g = &self.groups[rg];
        let learned = g.mean_cost * g.cost_factor.max(g.best.exp()).max(1.0);
        Some(learned)
            .filter(|_| g.seen > 0)
            .unwrap_or(g.target * g.threads)
    }
}
