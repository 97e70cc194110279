//! Judges a record by the seven rules. It is told the rules' figures and knows nothing of how a dispatcher decides.

use crate::record::{Entry, EventKind, Status};
use std::collections::{BTreeMap, HashMap};
use std::fmt;

/// Figures of the rules. Times are milliseconds; `slack` is added to every limit in time.
#[derive(Debug, Clone)]
pub struct Rules {
    pub slack: f64,
    /// Rule 3: how long after the list told it may still be sent to.
    pub grace: f64,
    /// Rule 4: none where it does not hold.
    pub cold: Option<Cold>,
    /// Rule 5: how long a key rests after an end that leaves in doubt what ran.
    pub rest: f64,
    /// Rule 7.
    pub budget: Option<Budget>,
    pub classes: HashMap<String, ClassRules>,
}

/// A cold engine bears in a span so many times what it can do then.
#[derive(Debug, Clone, Copy)]
pub struct Cold {
    pub multiple: f64,
    pub from: f64,
    pub span: f64,
    pub warm_after: f64,
}

/// In a span at most `free` further attempts, and a share of the queries asked.
#[derive(Debug, Clone, Copy)]
pub struct Budget {
    pub span: f64,
    pub free: f64,
    pub share: f64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    ReadOnly,
    IdempotencyKey,
    NonIdempotent,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope {
    All,
    Zone,
    Cell,
}

#[derive(Debug, Clone)]
pub struct ClassRules {
    pub effect: Effect,
    /// Of tokened queries: where and for how long a repeat is recognised.
    pub scope: Scope,
    pub window: f64,
    pub in_order: bool,
    /// Rule 6: none where it may run anywhere.
    pub zones: Option<Vec<String>>,
    pub kinds: Option<Vec<String>>,
}

impl ClassRules {
    pub fn of(effect: Effect) -> Self {
        ClassRules {
            effect,
            scope: Scope::All,
            window: 0.0,
            in_order: false,
            zones: None,
            kinds: None,
        }
    }
}

/// A rule that was broken: its number, when, and how.
#[derive(Debug, Clone, PartialEq)]
pub struct Violation {
    pub rule: u8,
    pub at: f64,
    pub how: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "rule {} at {:.0} ms: {}", self.rule, self.at, self.how)
    }
}

/// The ration of further attempts is wider on sockets by this part, and by one.
const WIDER: f64 = 1.15;

#[derive(Debug, Default)]
struct Query {
    class: String,
    asked: f64,
    wait: f64,
    key: Option<String>,
    answers: Vec<(f64, u16)>,
    left: Option<f64>,
    attempts: Vec<Attempt>,
    applied: Vec<String>,
}

#[derive(Debug)]
struct Attempt {
    engine: String,
    at: f64,
    /// When it ended, and whether it may have run.
    end: Option<(f64, bool)>,
    /// Its end left in doubt what ran.
    doubtful: bool,
}

#[derive(Debug, Default)]
struct Engine {
    zone: String,
    kind: String,
    cell: u32,
    /// Since when it is listed as draining or gone.
    closed: Option<f64>,
    started: Option<(f64, f64)>,
    arrived: Vec<(f64, f64)>,
}

struct ZoneHealthDetector<'a> {
    rules: &'a Rules,
    queries: BTreeMap<String, Query>,
    engines: BTreeMap<String, Engine>,
    asked: Vec<f64>,
    further: Vec<f64>,
    /// For each key, its queries in the order they were asked.
    lines: BTreeMap<String, Vec<String>>,
    broken: Vec<Violation>,
}

/// All breaches in a record, by time. Entries must be in the order of their times; those of the future, as in a
/// record that was cut, are no breach.
pub fn find_violations(entries: &[Entry], rules: &Rules) -> Vec<Violation> {
    let (queries, engines, asked, further, lines, broken) = Default::default();
    let mut find_violations = ZoneHealthDetector {
        rules,
        queries,
        engines,
        asked,
        further,
        lines,
        broken,
    };
    entries.iter().for_each(|entry| find_violations.take(entry));
    find_violations.end(entries.last().map_or(0.0, |entry| entry.at));
    find_violations.broken.sort_by(|a, b| a.at.total_cmp(&b.at));
    find_violations.broken
}

impl ZoneHealthDetector<'_> {
    fn breaks(&mut self, rule: u8, at: f64, how: impl Into<String>) {
        self.broken.push(Violation {
            rule,
            at,
            how: how.into(),
        });
    }

    fn take(&mut self, entry: &Entry) {
        let at = entry.at;
        match &entry.what {
            EventKind::Asked {
                id,
                class,
                wait,
                key,
            } => {
                self.asked.push(at);
                if let Some(key) = key {
                    self.lines.entry(key.clone()).or_default().push(id.clone());
                }
                let query = self.queries.entry(id.clone()).or_default();
                (query.class, query.asked, query.wait, query.key) =
                    (class.clone(), at, *wait, key.clone());
            }
            EventKind::Answered { id, status, .. } => self.answered(id, *status, at),
            EventKind::Left { id } => {
                if let Some(query) = self.queries.get_mut(id) {
                    query.left = Some(at);
                }
            }
            EventKind::Arrived { engine, id, work } => self.arrived(engine, id, *work, at),
            EventKind::Applied { engine, id } => {
                let mut twice = false;
                if let Some(query) = self.queries.get_mut(id) {
                    query.applied.push(engine.clone());
                    twice = query.applied.len() > 1;
                }
                if twice && self.effect_of(id) != Some(Effect::ReadOnly) {
                    self.applied_again(id, engine, at);
                }
            }
            EventKind::Ended {
                engine, id, ran, ..
            } => self.ended(engine, id, *ran, false, at),
            EventKind::GivenUp { engine, id } => self.ended(engine, id, true, true, at),
            EventKind::Listed {
                engine,
                status,
                zone,
                kind,
                cell,
            } => {
                let known = self.engines.entry(engine.clone()).or_default();
                (known.zone, known.kind, known.cell) = (zone.clone(), kind.clone(), *cell);
                known.closed = match status {
                    Status::Ready => None,
                    Status::Draining | Status::Gone => known.closed.or(Some(at)),
                };
            }
            EventKind::Started { engine, cores } => {
                self.engines.entry(engine.clone()).or_default().started = Some((at, *cores));
            }
            EventKind::Fault { .. } => {}
        }
    }

    fn effect_of(&self, id: &str) -> Option<Effect> {
        self.queries
            .get(id)
            .and_then(|query| self.rules.classes.get(&query.class))
            .map(|class| class.effect)
    }

    /// Rule 1: one final answer, in time; rule 2: none that invites a repeat of what may have run.
    fn answered(&mut self, id: &str, status: u16, at: f64) {
        let Some(query) = self.queries.get_mut(id) else {
            return self.breaks(1, at, format!("an answer to {id}, which nobody asked"));
        };
        query.answers.push((at, status));
        let (count, late) = (query.answers.len(), at - query.asked - query.wait);
        let may_have_run = query
            .attempts
            .iter()
            .any(|s| s.end.is_none_or(|(_, ran)| ran));
        if count > 1 {
            self.breaks(1, at, format!("answer {count} to {id}"));
        }
        if late > self.rules.slack {
            self.breaks(1, at, format!("the answer to {id} came {late:.0} ms late"));
        }
        let deferred = matches!(status, 429 | 503);
        if deferred && may_have_run && self.effect_of(id) == Some(Effect::NonIdempotent) {
            self.breaks(
                2,
                at,
                format!("{id} was deferred though a submission may have run"),
            );
        }
    }

    fn arrived(&mut self, engine: &str, id: &str, work: f64, at: f64) {
        let rules = self.rules;
        let known = self.engines.entry(engine.to_owned()).or_default();
        known.arrived.push((at, work));
        let (zone, kind) = (known.zone.clone(), known.kind.clone());
        if let Some(closed) = known
            .closed
            .filter(|closed| at > closed + rules.grace + rules.slack)
        {
            self.breaks(
                3,
                at,
                format!(
                    "{id} was sent to {engine}, which was closed {:.0} ms before",
                    at - closed
                ),
            );
        }
        self.look_at_cold(engine, at);
        let Some(query) = self.queries.get(id) else {
            return self.breaks(1, at, format!("{engine} was sent {id}, which nobody asked"));
        };
        let answered = query.answers.first().map(|(answered, _)| *answered);
        let again = !query.attempts.is_empty();
        let key = query.key.clone();
        if let Some(class) = rules.classes.get(&query.class) {
            let inside = |bound: &Option<Vec<String>>, it: &String| {
                bound.as_ref().is_none_or(|b| b.contains(it))
            };
            if !inside(&class.zones, &zone) || !inside(&class.kinds, &kind) {
                let how = format!(
                    "{id} of {} was sent to {engine} in {zone}, a {kind}",
                    query.class
                );
                self.breaks(6, at, how);
            }
            if again {
                self.look_at_repeat(id, engine, class, at);
            }
            if let Some(key) = key.filter(|_| class.in_order) {
                self.look_at_order(&key, id, again, at);
            }
        }
        if answered.is_some_and(|answered| at > answered + rules.slack) {
            self.breaks(1, at, format!("{id} was sent to {engine} after its answer"));
        }
        if again {
            self.further.push(at);
            self.look_at_budget(at);
        }
        if let Some(query) = self.queries.get_mut(id) {
            query.attempts.push(Attempt {
                engine: engine.to_owned(),
                at,
                end: None,
                doubtful: false,
            });
        }
    }

    /// Rule 2: a repeat must be harmless.
    fn look_at_repeat(&mut self, id: &str, engine: &str, class: &ClassRules, at: f64) {
        let Some(query) = self.queries.get(id) else {
            return;
        };
        let open = query.attempts.iter().any(|s| s.end.is_none());
        let first = query
            .attempts
            .iter()
            .find(|s| s.end.is_none_or(|(_, ran)| ran));
        let mut how = Vec::new();
        if let Some(first) = first {
            match class.effect {
                Effect::ReadOnly => {}
                Effect::NonIdempotent => how.push(format!(
                    "{id} was sent to {engine} again though it may have run"
                )),
                Effect::IdempotencyKey => {
                    let of = |name: &str| self.engines.get(name).map(|e| (e.zone.clone(), e.cell));
                    let (was, is) = (of(&first.engine), of(engine));
                    let same = match class.scope {
                        Scope::All => true,
                        Scope::Zone => was.map(|w| w.0) == is.map(|i| i.0),
                        Scope::Cell => was.map(|w| w.1) == is.map(|i| i.1),
                    };
                    if !same {
                        how.push(format!(
                            "{id} was sent to {engine} again, outside its dedup group"
                        ));
                    }
                    if at - first.at > class.window + self.rules.slack {
                        how.push(format!("{id} was sent to {engine} again, past its window"));
                    }
                }
            }
        }
        // Two out at once are two effects at worst, whatever their ends say later.
        if open && class.effect != Effect::ReadOnly {
            how.push(format!(
                "{id} was sent to {engine} while another submission was out"
            ));
        }
        how.dedup();
        how.into_iter().for_each(|how| self.breaks(2, at, how));
    }

    fn applied_again(&mut self, id: &str, engine: &str, at: f64) {
        let class = self
            .queries
            .get(id)
            .and_then(|query| self.rules.classes.get(&query.class));
        // A token recognised within its group applies once; a stand-in engine does not keep tokens.
        if class.is_some_and(|class| class.effect == Effect::NonIdempotent) {
            self.breaks(
                2,
                at,
                format!("{id} took effect a second time, on {engine}"),
            );
        }
    }

    fn ended(&mut self, engine: &str, id: &str, ran: bool, doubtful: bool, at: f64) {
        let Some(query) = self.queries.get_mut(id) else {
            return;
        };
        let open = query
            .attempts
            .iter_mut()
            .rev()
            .find(|s| s.engine == engine && s.end.is_none());
        if let Some(attempt) = open {
            attempt.end = Some((at, ran));
            attempt.doubtful = doubtful;
        }
    }

    /// Rule 4: what all send to a cold engine in any span.
    fn look_at_cold(&mut self, engine: &str, at: f64) {
        let (Some(cold), Some(known)) = (self.rules.cold, self.engines.get(engine)) else {
            return;
        };
        let Some((started, cores)) = known
            .started
            .filter(|(started, _)| at - started < cold.warm_after)
        else {
            return;
        };
        let sent: f64 = known
            .arrived
            .iter()
            .filter(|(when, _)| *when > at - cold.span && *when >= started)
            .map(|(_, w)| w)
            .sum();
        // One query alone never pushes an engine over by the rule.
        let alone = known
            .arrived
            .iter()
            .filter(|(when, _)| *when > at - cold.span)
            .count()
            < 2;
        let bears = cold.multiple * cold.from * cores * cold.span;
        if sent > bears && !alone {
            self.breaks(
                4,
                at,
                format!("{engine} is cold and was sent {sent:.0} ms of work in a span that bears {bears:.0}"),
            );
        }
    }

    /// Rule 5: the first of a key that is not over, and not before the key has rested.
    fn look_at_order(&mut self, key: &str, id: &str, again: bool, at: f64) {
        let Some(line) = self.lines.get(key) else {
            return;
        };
        let mut how = None;
        for earlier in line.iter().take_while(|earlier| *earlier != id) {
            let Some(query) = self.queries.get(earlier) else {
                continue;
            };
            let over = query.left.is_some() || !query.answers.is_empty();
            let out = query.attempts.iter().any(|s| s.end.is_none());
            let rests = query
                .attempts
                .iter()
                .filter(|s| s.doubtful)
                .filter_map(|s| s.end.map(|(end, _)| end));
            let rested = rests
                .map(|end| end + self.rules.rest)
                .fold(f64::NEG_INFINITY, f64::max);
            if !over || out {
                how = Some(format!(
                    "{id} was sent before {earlier} of its key was over"
                ));
            } else if !again && at + self.rules.slack < rested {
                how = Some(format!(
                    "{id} was sent before its key had rested after {earlier}"
                ));
            }
        }
        if let Some(how) = how {
            self.breaks(5, at, how);
        }
    }

    /// Rule 7: further attempts in the span that ends now.
    fn look_at_budget(&mut self, at: f64) {
        let Some(budget) = self.rules.budget else {
            return;
        };
        let within = |times: &[f64]| {
            times
                .iter()
                .rev()
                .take_while(|when| **when > at - budget.span)
                .count() as f64
        };
        let (further, asked) = (within(&self.further), within(&self.asked));
        let allowed = WIDER * (budget.free + budget.share * asked) + 1.0;
        if further > allowed {
            self.breaks(
                7,
                at,
                format!("{further} further submissions in a span that allows {allowed:.1}"),
            );
        }
    }

    fn end(&mut self, at: f64) {
        let unanswered: Vec<(String, f64)> = self
            .queries
            .iter()
            .filter(|(_, q)| {
                q.answers.is_empty() && q.left.is_none() && at > q.asked + q.wait + self.rules.slack
            })
            .map(|(id, q)| (id.clone(), q.asked + q.wait))
            .collect();
        for (id, due) in unanswered {
            self.breaks(1, due, format!("no answer to {id}"));
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn rules() -> Rules {
        let bound = ClassRules {
            zones: Some(vec!["east".into()]),
            ..ClassRules::of(Effect::ReadOnly)
        };
        let keyed = ClassRules {
            in_order: true,
            ..ClassRules::of(Effect::NonIdempotent)
        };
        let tokened = ClassRules {
            scope: Scope::Zone,
            window: 1000.0,
            ..ClassRules::of(Effect::IdempotencyKey)
        };
        Rules {
            slack: 50.0,
            grace: 100.0,
            cold: Some(Cold {
                multiple: 2.0,
                from: 0.25,
                span: 100.0,
                warm_after: 5000.0,
            }),
            rest: 500.0,
            budget: Some(Budget {
                span: 1000.0,
                free: 1.0,
                share: 0.1,
            }),
            classes: HashMap::from([
                ("look".to_owned(), ClassRules::of(Effect::ReadOnly)),
                ("load".to_owned(), ClassRules::of(Effect::NonIdempotent)),
                ("keyed".to_owned(), keyed),
                ("tokened".to_owned(), tokened),
                ("bound".to_owned(), bound),
            ]),
        }
    }

    fn asked(class: &str, id: &str, key: Option<&str>) -> EventKind {
        EventKind::Asked {
            id: id.into(),
            class: class.into(),
            wait: 1000.0,
            key: key.map(Into::into),
        }
    }

    fn answered(id: &str, status: u16) -> EventKind {
        EventKind::Answered {
            id: id.into(),
            status,
            retry_after: None,
        }
    }

    fn arrived(engine: &str, id: &str) -> EventKind {
        EventKind::Arrived {
            engine: engine.into(),
            id: id.into(),
            work: 10.0,
        }
    }

    fn ended(engine: &str, id: &str, ran: bool) -> EventKind {
        EventKind::Ended {
            engine: engine.into(),
            id: id.into(),
            word: "X".into(),
            ran,
        }
    }

    fn given_up(engine: &str, id: &str) -> EventKind {
        EventKind::GivenUp {
            engine: engine.into(),
            id: id.into(),
        }
    }

    fn listed(engine: &str, status: Status, zone: &str) -> EventKind {
        EventKind::Listed {
            engine: engine.into(),
            status,
            zone: zone.into(),
            kind: "std".into(),
            cell: 0,
        }
    }

    /// The numbers of the rules that a run breaks.
    fn broken(run: &[(f64, EventKind)]) -> Vec<u8> {
        let entries: Vec<Entry> = run
            .iter()
            .map(|(at, what)| Entry {
                at: *at,
                what: what.clone(),
            })
            .collect();
        find_violations(&entries, &rules())
            .iter()
            .map(|broken| broken.rule)
            .collect()
    }

    #[test]
    fn a_run_that_keeps_all_rules_is_found_to() {
        let run = [
            (0.0, listed("e", Status::Ready, "east")),
            (0.0, listed("w", Status::Ready, "west")),
            (1.0, asked("look", "1", None)),
            (2.0, arrived("e", "1")),
            (3.0, ended("e", "1", true)),
            (4.0, answered("1", 200)),
            (5.0, asked("load", "2", None)),
            (6.0, arrived("e", "2")),
            (7.0, ended("e", "2", false)),
            (8.0, arrived("w", "2")),
            (
                9.0,
                EventKind::Applied {
                    engine: "w".into(),
                    id: "2".into(),
                },
            ),
            (9.0, ended("w", "2", true)),
            (10.0, answered("2", 200)),
            (11.0, asked("keyed", "3", Some("k"))),
            (11.0, asked("keyed", "4", Some("k"))),
            (12.0, arrived("e", "3")),
            (13.0, ended("e", "3", true)),
            (14.0, answered("3", 200)),
            (15.0, arrived("e", "4")),
            (16.0, ended("e", "4", true)),
            (17.0, answered("4", 200)),
            (20.0, asked("look", "5", None)),
            (21.0, EventKind::Left { id: "5".into() }),
            (5000.0, asked("look", "6", None)),
        ];
        assert_eq!(broken(&run), [0; 0]);
    }

    #[test]
    fn rule_1_one_answer_in_time_and_nothing_after() {
        assert_eq!(
            broken(&[
                (0.0, asked("look", "1", None)),
                (5.0, answered("1", 200)),
                (6.0, answered("1", 429))
            ]),
            [1]
        );
        assert_eq!(
            broken(&[
                (0.0, asked("look", "1", None)),
                (1051.0, answered("1", 200))
            ]),
            [1]
        );
        assert_eq!(
            broken(&[
                (0.0, asked("look", "1", None)),
                (2000.0, asked("look", "2", None))
            ]),
            [1]
        );
        assert_eq!(broken(&[(0.0, answered("9", 200))]), [1]);
        assert_eq!(broken(&[(0.0, arrived("e", "9"))]), [1]);
        let after = [
            (0.0, asked("look", "1", None)),
            (5.0, answered("1", 429)),
            (90.0, arrived("e", "1")),
        ];
        assert_eq!(broken(&after), [1]);
    }

    #[test]
    fn rule_2_no_effect_twice_and_no_invitation_to_one() {
        let again = |end: EventKind| {
            broken(&[
                (0.0, asked("load", "1", None)),
                (1.0, arrived("e", "1")),
                (2.0, end),
                (3.0, arrived("w", "1")),
            ])
        };
        assert_eq!(again(ended("e", "1", false)), [0; 0]);
        assert_eq!(again(ended("e", "1", true)), [2]);
        assert_eq!(again(given_up("e", "1")), [2]);
        let deferred = |ran: bool| {
            broken(&[
                (0.0, asked("load", "1", None)),
                (1.0, arrived("e", "1")),
                (2.0, ended("e", "1", ran)),
                (3.0, answered("1", 429)),
            ])
        };
        assert_eq!((deferred(false), deferred(true)), (vec![], vec![2]));
        let out = [
            (0.0, asked("load", "1", None)),
            (1.0, arrived("e", "1")),
            (2.0, arrived("w", "1")),
        ];
        assert!(broken(&out).contains(&2));
        let twice = |id: &str| EventKind::Applied {
            engine: "e".into(),
            id: id.into(),
        };
        assert_eq!(
            broken(&[
                (0.0, asked("load", "1", None)),
                (1.0, twice("1")),
                (2.0, twice("1"))
            ]),
            [2]
        );
        // A token counts within its zone and window only.
        let tokened = |zone: &str, at: f64| {
            broken(&[
                (0.0, listed("e", Status::Ready, "east")),
                (0.0, listed("w", Status::Ready, zone)),
                (
                    0.0,
                    EventKind::Asked {
                        id: "1".into(),
                        class: "tokened".into(),
                        wait: 9e3,
                        key: None,
                    },
                ),
                (1.0, arrived("e", "1")),
                (2.0, given_up("e", "1")),
                (at, arrived("w", "1")),
            ])
        };
        assert_eq!(
            (
                tokened("east", 3.0),
                tokened("west", 3.0),
                tokened("east", 1100.0)
            ),
            (vec![], vec![2], vec![2])
        );
    }

    #[test]
    fn rule_3_nothing_to_a_closed_engine_past_the_grace() {
        let sent = |status: Status, at: f64| {
            broken(&[
                (0.0, listed("e", status, "east")),
                (1.0, asked("look", "1", None)),
                (at, arrived("e", "1")),
            ])
        };
        assert_eq!(
            (sent(Status::Draining, 149.0), sent(Status::Draining, 151.0)),
            (vec![], vec![3])
        );
        assert_eq!(
            (sent(Status::Gone, 500.0), sent(Status::Ready, 500.0)),
            (vec![3], vec![])
        );
    }

    #[test]
    fn rule_4_a_cold_engine_is_not_pushed_over() {
        let run = |many: usize, at: f64| {
            let mut run = vec![(
                0.0,
                EventKind::Started {
                    engine: "e".into(),
                    cores: 1.0,
                },
            )];
            for n in 0..many {
                run.push((at, asked("look", &n.to_string(), None)));
                run.push((at, arrived("e", &n.to_string())));
            }
            broken(&run).contains(&4)
        };
        // A span bears 2 x 0.25 x 1 core x 100 ms = 50 ms, five of 10.
        assert_eq!(
            (run(5, 10.0), run(6, 10.0), run(6, 5001.0)),
            (false, true, false)
        );
    }

    #[test]
    fn rule_5_order_and_rest_of_a_key() {
        let order = |between: Vec<(f64, EventKind)>, at: f64| {
            let mut run = vec![
                (0.0, asked("keyed", "1", Some("k"))),
                (0.0, asked("keyed", "2", Some("k"))),
                (1.0, arrived("e", "1")),
            ];
            run.extend(between);
            run.push((at, arrived("e", "2")));
            broken(&run)
        };
        assert_eq!(order(vec![], 2.0), [5]);
        assert_eq!(
            order(
                vec![(2.0, ended("e", "1", true)), (3.0, answered("1", 200))],
                4.0
            ),
            [0; 0]
        );
        let doubt = || vec![(2.0, given_up("e", "1")), (3.0, answered("1", 500))];
        assert_eq!(
            (order(doubt(), 300.0), order(doubt(), 510.0)),
            (vec![5], vec![])
        );
    }

    #[test]
    fn rule_6_placement_on_every_attempt() {
        let sent = |zone: &str| {
            broken(&[
                (0.0, listed("e", Status::Ready, zone)),
                (1.0, asked("bound", "1", None)),
                (2.0, arrived("e", "1")),
            ])
        };
        assert_eq!((sent("east"), sent("west")), (vec![], vec![6]));
    }

    #[test]
    fn rule_7_further_attempts_within_the_budget() {
        let again = |many: usize| {
            let mut run = vec![(0.0, asked("look", "1", None)), (0.0, arrived("e", "1"))];
            (0..many).for_each(|n| run.push((n as f64, arrived("e", "1"))));
            broken(&run).contains(&7)
        };
        // 1.15 x (1 + 0.1) + 1 = 2.3.
        assert_eq!((again(2), again(3)), (false, true));
    }

    #[test]
    fn a_record_is_read_back_as_it_was_written() {
        let entry = Entry {
            at: 7.5,
            what: asked("look", "1", Some("k")),
        };
        let text = serde_json::to_string(&entry).unwrap();
        assert_eq!(
            serde_json::from_str::<Entry>(&text).unwrap(),
            entry,
            "{text}"
        );
    }
}
