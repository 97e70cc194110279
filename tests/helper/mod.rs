//! What the tests share: settings, a dispatcher with engines, and a writer that keeps what was decided.

use tansymux::control::Control;
use tansymux::interface::{Bounds, EngineStatus, Feed, ListForm, Outcome, Text, Writer};
use tansymux::told::Map;

const SETTINGS: &str = "balancers=2 zone=h1 kinds=small,big family-info.cores-by-kind=8,16 \
    family-info.kind-memory-mb=1000,2000 family-info.dop=1,2,2,2 family-info.class-load=0,0,1,1 \
    family-info.class-waits=1,0,0,0 limits.max-attempts=4 limits.cancelling=1 limits.probes=0 \
    limits.max-retry-after-us=300000 services.count=4 \
    services.0.name=look services.0.effect=read_like services.0.aim-us=500000 \
    services.1.name=rep services.1.effect=read_like services.1.aim-us=2000000 services.1.aim-stretch=2.5 \
    services.2.name=load services.2.effect=non_idempotent services.2.aim-us=4000000 \
    services.3.name=tok services.3.effect=idempotency_key services.3.aim-us=4000000 \
    services.3.repeat-window-us=10000000 services.3.dedup-scope=all services.3.in-order=1";

/// The settings above, with `more` put over them.
pub fn settings(more: &str) -> Map {
    let pairs = SETTINGS.split_whitespace().chain(more.split_whitespace());
    pairs
        .map(|p| p.split_once('=').unwrap())
        .map(|(n, v)| (n.to_owned(), v.to_owned()))
        .collect()
}

#[derive(Default)]
pub struct Kept(pub Vec<String>, pub Vec<Bounds>);

impl Writer for Kept {
    fn submit(&mut self, id: u64, engine_id: u64, bounds: Bounds) {
        self.1.push(bounds);
        self.0.push(format!("submit {id} {engine_id}"));
    }
    fn reject(&mut self, id: u64, retry_after: f64) {
        self.0.push(format!("reject {id} {retry_after}"));
    }
    fn fail(&mut self, id: u64) {
        self.0.push(format!("fail {id}"));
    }
    fn cancel(&mut self, id: u64, attempt: usize) {
        self.0.push(format!("cancel {id} {attempt}"));
    }
    fn grant(&mut self, id: u64, priority: u8, memory: f64) {
        self.0.push(format!("grant {id} {priority} {memory}"));
    }
    fn probe(&mut self, engine_id: u64) {
        self.0.push(format!("probe {engine_id}"));
    }
    fn tell(&mut self, peer: Option<u32>, content: &[u8]) {
        self.0.push(format!("tell {peer:?} {content:?}"));
    }
    fn timer(&mut self, _delay: f64, _handle: u64) {}
    fn watch_list(&mut self) {
        self.0.push("watch".into());
    }
    fn note(&mut self, _text: &str) {}
}

pub struct Do<F>(pub Option<F>);

impl<F: FnOnce(&mut Control, &mut dyn Writer)> Feed for Do<F> {
    fn deliver(&mut self, control: &mut Control, out: &mut dyn Writer) {
        (self.0.take().unwrap())(control, out);
    }
}

pub const T0: f64 = 1e6;

/// One round at `T0 + at` ms; what was decided in it.
pub fn round(
    c: &mut Control,
    at: f64,
    events: impl FnOnce(&mut Control, &mut dyn Writer),
) -> Vec<String> {
    let mut kept = Kept::default();
    c.round(T0 + at, &mut Do(Some(events)), &mut kept);
    kept.0
}

/// A dispatcher with engines numbered from 1, each given as kind and zone, all started long ago.
pub fn dispatcher(more: &str, engines: &[(&str, &str)]) -> Control {
    let mut c = Control::new(7, &settings(more)).unwrap();
    round(&mut c, 0.0, |c, out| {
        c.list_begins(ListForm::Full);
        for (i, (kind, zone)) in engines.iter().enumerate() {
            c.listed(i as u64 + 1, kind, zone, EngineStatus::Ready, None, 0);
        }
        c.list_ends(ListForm::Full, out);
    });
    c
}

/// A query of `rg` with this estimate, given up 20 s after it comes.
pub fn ask(c: &mut Control, at: f64, id: u64, rg: &str, cost: f64) -> Vec<String> {
    ask_for(c, at, id, rg, cost, None, 0)
}

pub fn ask_for(
    c: &mut Control,
    at: f64,
    id: u64,
    rg: &str,
    cost: f64,
    key: Option<u64>,
    tables: u32,
) -> Vec<String> {
    round(c, at, |c, out| {
        c.query(
            id,
            rg,
            "",
            key,
            T0 + at + 20_000.0,
            cost,
            10.0,
            tables,
            Text::UNREAD,
            out,
        )
        .unwrap()
    })
}

/// The end of a query's attempt on an engine.
pub fn close(
    c: &mut Control,
    at: f64,
    id: u64,
    sub: usize,
    outcome: Outcome,
    engine_id: u64,
) -> Vec<String> {
    let complete = outcome == Outcome::Completed;
    round(c, at, |c, out| {
        c.closed(id, sub, complete, outcome, engine_id, 100.0, 0.0, 0.0, out)
    })
}

pub fn starts(decided: &[String], with: &str) -> bool {
    decided.iter().any(|d| d.starts_with(with))
}
