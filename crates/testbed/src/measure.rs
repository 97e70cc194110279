//! Measurements of the statement analysis: accuracy, false proofs, hit rate, time, learned costs. Each gives a table.

use crate::corpus::{corpus, may_change, mutated, LabelledStatement, Split};
use hdrhistogram::Histogram;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Normal, Zipf};
use rand_pcg::Pcg64;
use std::fmt::Write as _;
use std::hint::black_box;
use std::time::Instant;
use tansymux_sql_analysis::{Class, Config, Effect, Execution, ExecutionEnd, StatementAnalyzer};

/// Forms of each pattern of the corpus.
pub const FORMS: usize = 8;
/// Statements of each form.
pub const EACH: usize = 10;
const KEY: [u8; 16] = [3; 16];

fn analyzer() -> StatementAnalyzer {
    StatementAnalyzer::new(Config::default(), KEY)
}

/// Accuracy on one part.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Accuracy {
    /// Statements analyzed.
    pub asked: usize,
    /// Of them, those with the true class.
    pub right_class: usize,
    /// Of them, those with the true effect.
    pub right_effect: usize,
    /// Of them, those taken for read-only that are not.
    pub false_read_only: usize,
}

/// Analyzes one part of the corpus; its accuracy, and a line for each statement that was not analyzed right.
pub fn accuracy_of(all: &[LabelledStatement], split: Split) -> (Accuracy, Vec<String>) {
    let mut analyzer = analyzer();
    let (mut accuracy, mut wrong) = (Accuracy::default(), Vec::new());
    for labelled in all.iter().filter(|labelled| labelled.split == split) {
        let analysis = analyzer.analyze(labelled.statement.as_bytes()).analysis;
        let (class, effect) = (
            analysis.class.name() == labelled.class,
            analysis.effect.name() == labelled.effect,
        );
        accuracy.asked += 1;
        accuracy.right_class += usize::from(class);
        accuracy.right_effect += usize::from(effect);
        accuracy.false_read_only +=
            usize::from(analysis.effect == Effect::ReadOnly && labelled.effect != "read-only");
        if !(class && effect) {
            wrong.push(format!(
                "{} {} taken for {} {}: {} ({})",
                labelled.class,
                labelled.effect,
                analysis.class.name(),
                analysis.effect.name(),
                labelled.statement.replace('\n', " "),
                analysis.reason.as_deref().unwrap_or("")
            ));
        }
    }
    (accuracy, wrong)
}

/// The accuracy on both parts as a table, with up to `show` wrong statements of each.
pub fn accuracy(seed: u64, show: usize) -> String {
    let all = corpus(FORMS, EACH, seed);
    let mut table = format!(
        "{:<10} {:>6} {:>8} {:>8} {:>16}\n",
        "part", "asked", "class", "effect", "false read-only"
    );
    let mut shown = String::new();
    for (name, part) in [
        ("building", Split::Development),
        ("measuring", Split::Evaluation),
    ] {
        let (a, wrong) = accuracy_of(&all, part);
        let of = |right: usize| right as f64 / a.asked.max(1) as f64;
        let _ = writeln!(
            table,
            "{name:<10} {:>6} {:>8.4} {:>8.4} {:>16}",
            a.asked,
            of(a.right_class),
            of(a.right_effect),
            a.false_read_only
        );
        for wrong in wrong.iter().take(show) {
            let _ = writeln!(shown, "{name}: {wrong}");
        }
    }
    table + &shown
}

/// Mutates statements of the corpus: how many are proven read-only, and those of them that change something in some
/// dialect.
pub fn false_proofs(many: usize, seed: u64) -> (usize, Vec<Vec<u8>>) {
    let all = corpus(FORMS, EACH, seed);
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    let part = |thread: usize| {
        let mut rng = Pcg64::seed_from_u64(seed.wrapping_add(thread as u64 + 1));
        let mut analyzer = analyzer();
        let (mut proven, mut wrong) = (0, Vec::new());
        for _ in 0..many.div_ceil(threads) {
            let one = &all[rng.random_range(0..all.len())];
            let other = &all[rng.random_range(0..all.len())];
            let text = mutated(&one.statement, &other.statement, &mut rng);
            if analyzer.analyze(&text).analysis.effect == Effect::ReadOnly {
                proven += 1;
                if may_change(&text) {
                    wrong.push(text);
                }
            }
        }
        (proven, wrong)
    };
    let parts: Vec<(usize, Vec<Vec<u8>>)> = std::thread::scope(|scope| {
        let part = &part;
        let running: Vec<_> = (0..threads)
            .map(|thread| scope.spawn(move || part(thread)))
            .collect();
        running
            .into_iter()
            .map(|running| running.join().expect("no reader panics"))
            .collect()
    });
    let proven = parts.iter().map(|(proven, _)| proven).sum();
    (
        proven,
        parts.into_iter().flat_map(|(_, wrong)| wrong).collect(),
    )
}

/// Mutates statements; a table, in which a line that begins with `false: ` is one falsely proven read-only.
pub fn mutations(many: usize, seed: u64) -> String {
    let (proven, wrong) = false_proofs(many, seed);
    let mut table = format!(
        "{many} mutated statements, {proven} proven read-only, {} of them falsely\n",
        wrong.len()
    );
    for text in wrong.iter().take(20) {
        let _ = writeln!(table, "false: {}", String::from_utf8_lossy(text));
    }
    table
}

/// A form of statements with columns of its own, of about 300 bytes.
fn common(form: usize, rng: &mut Pcg64) -> String {
    format!(
        "select a.lane_id, a.rate_{form}, a.fuel, b.shipper_name, b.region, coalesce(a.note, '{:x}') as note from \
         sales_{}.lanes a join sales_{}.shippers b on a.shipper_id = b.id where a.lane_id = {} and a.valid_from <= \
         date '2026-0{}-01' and a.status in ({}, {}, {}) and b.region = 'NE{:x}' order by a.rate_{form} desc limit {}",
        rng.random::<u32>(),
        form % 40,
        form % 40,
        rng.random_range(0..1_000_000),
        rng.random_range(1..10),
        rng.random_range(0..9),
        rng.random_range(0..9),
        rng.random_range(0..9),
        rng.random::<u16>(),
        rng.random_range(1..100),
    )
}

/// Hit rate on shapes that come by Zipf's law, alone and with a flood of ever new ones between them.
pub fn cache(many: usize, seed: u64) -> String {
    let mut table = format!(
        "{:<22} {:>7} {:>9} {:>9} {:>9} {:>9}\n",
        "traffic", "hits", "shapes", "kB", "costs", "RSS kB"
    );
    for (name, forms, flood) in [
        ("2,000 shapes", 2000, 0),
        ("2,000 and 1 flood", 2000, 1),
        ("2,000 and 4 floods", 2000, 4),
        ("20,000 shapes", 20_000, 0),
    ] {
        let mut rng = Pcg64::seed_from_u64(seed);
        let zipf = Zipf::new(forms as f64, 1.0).expect("a law of more than one");
        let mut analyzer = analyzer();
        let (mut hits, mut asked, mut new) = (0, 0, 0_u64);
        for n in 0..many {
            let form = zipf.sample(&mut rng) as usize;
            let hit = analyzer
                .analyze(common(form, &mut rng).as_bytes())
                .is_cache_hit;
            // The first tenth fills the cache.
            if n >= many / 10 {
                asked += 1;
                hits += usize::from(hit);
            }
            for _ in 0..flood {
                new += 1;
                analyzer.analyze(format!("select f{new} from flood where a = 1").as_bytes());
            }
        }
        let counts = analyzer.counts();
        let resident = crate::program::used(std::process::id()).map_or(0, |(kb, _)| kb);
        let _ = writeln!(
            table,
            "{name:<22} {:>7.4} {:>9} {:>9} {:>9} {resident:>9}",
            hits as f64 / asked.max(1) as f64,
            counts.shapes,
            counts.bytes / 1024,
            counts.learned_costs
        );
    }
    table
}

/// Time of a read on a hit and on a miss, for statements of about 300 bytes, and parse throughput of one core.
pub fn time(many: usize, seed: u64) -> String {
    let mut rng = Pcg64::seed_from_u64(seed);
    let mut analyzer = analyzer();
    let histogram =
        || Histogram::<u64>::new_with_bounds(1, 1_000_000_000, 3).expect("bounds in order");
    let (mut hit, mut miss) = (histogram(), histogram());
    let texts: Vec<String> = (0..many).map(|n| common(n % 64, &mut rng)).collect();
    let bytes = texts.iter().map(String::len).sum::<usize>() as f64 / many as f64;
    for text in &texts {
        let from = Instant::now();
        let read = black_box(analyzer.analyze(black_box(text.as_bytes())));
        let took = from.elapsed().as_nanos() as u64;
        let _ = if read.is_cache_hit {
            hit.record(took)
        } else {
            Ok(())
        };
    }
    let new: Vec<String> = (0..many / 10).map(|n| common(1000 + n, &mut rng)).collect();
    let whole = Instant::now();
    for text in &new {
        let from = Instant::now();
        black_box(analyzer.analyze(black_box(text.as_bytes())));
        let _ = miss.record(from.elapsed().as_nanos() as u64);
    }
    let throughput =
        new.iter().map(String::len).sum::<usize>() as f64 / whole.elapsed().as_secs_f64() / 1e6;
    let mut table = format!(
        "statements of {bytes:.0} bytes\n{:<6} {:>10} {:>10} {:>10}\n",
        "", "p50 us", "p99 us", "count"
    );
    for (name, histogram) in [("hit", &hit), ("miss", &miss)] {
        let us = |q: f64| histogram.value_at_quantile(q) as f64 / 1000.0;
        let _ = writeln!(
            table,
            "{name:<6} {:>10.2} {:>10.2} {:>10}",
            us(0.5),
            us(0.99),
            histogram.len()
        );
    }
    let _ = writeln!(
        table,
        "parsed {throughput:.2} MB/s, {:.0} statements/s on one core",
        throughput * 1e6 / bytes
    );
    table
}

/// Ratio (over or under, at least 1) of learned to true costs: median and nine of ten.
fn errors(analyzer: &mut StatementAnalyzer, shapes: &[ShapeCost], now: f64) -> (f64, f64) {
    let mut ratios: Vec<f64> = shapes
        .iter()
        .map(|shape| {
            let read = analyzer.analyze(shape.text.as_bytes());
            (analyzer.estimate(&read, now).cost_ms / shape.cost_ms)
                .ln()
                .abs()
                .exp()
        })
        .collect();
    ratios.sort_by(f64::total_cmp);
    (ratios[ratios.len() / 2], ratios[ratios.len() * 9 / 10])
}

/// A shape of statements, and what one truly costs.
#[derive(Debug, Clone)]
struct ShapeCost {
    text: String,
    cost_ms: f64,
}

/// The analyzer, and executions of statements on engines of which one is slow, with waits, bad plans and cut-offs.
struct Learning {
    analyzer: StatementAnalyzer,
    rng: Pcg64,
    /// Spread (log) of latencies about the true cost.
    noise: Normal<f64>,
    now_ms: f64,
    table: String,
}

impl Learning {
    fn play_rounds(&mut self, shapes: &[ShapeCost], rounds: usize) {
        for _ in 0..rounds {
            for shape in shapes {
                self.execute(shape);
            }
        }
    }

    fn execute(&mut self, shape: &ShapeCost) {
        self.now_ms += 5.0;
        let rng = &mut self.rng;
        let engine_id = rng.random_range(0..6_u64);
        let mut latency_ms = shape.cost_ms * f64::exp(self.noise.sample(rng));
        latency_ms *= if engine_id == 5 { 1.9 } else { 1.0 };
        let bad_plan = rng.random_bool(0.02);
        latency_ms *= if bad_plan { 15.0 } else { 1.0 };
        let waited = rng.random_bool(0.1);
        if waited {
            latency_ms += rng.random_range(50.0..800.0);
        }
        let interrupted = rng.random_bool(0.03);
        let mut end = ExecutionEnd::Completed;
        if interrupted {
            end = ExecutionEnd::Interrupted;
            latency_ms *= rng.random_range(0.2..0.9);
        }
        let read = self.analyzer.analyze(shape.text.as_bytes());
        let execution = Execution {
            ended_at_ms: self.now_ms,
            engine_id,
            latency_ms,
            threads: 1.0,
            end,
            waited,
            warming_up: false,
        };
        self.analyzer.record_execution(
            read.shape_id,
            read.analysis.class,
            read.analysis.cost_ms,
            &execution,
        );
    }

    fn add_row(&mut self, name: &str, shapes: &[ShapeCost]) {
        let (median, p90) = errors(&mut self.analyzer, shapes, self.now_ms);
        let _ = writeln!(self.table, "{name:<34} {median:>8.2} {p90:>8.2}");
    }
}

/// Learned against true costs, before and after the cost of one shape in five changes a hundredfold.
pub fn learning(seed: u64) -> String {
    let mut shapes: Vec<ShapeCost> = corpus(3, 1, seed)
        .into_iter()
        .filter(|labelled| labelled.class != "unknown")
        .map(|labelled| ShapeCost {
            text: labelled.statement,
            cost_ms: labelled.work_ms,
        })
        .collect();
    let mut learning = Learning {
        analyzer: analyzer(),
        rng: Pcg64::seed_from_u64(seed),
        noise: Normal::new(0.0, 0.25).expect("a finite spread"),
        now_ms: 0.0,
        table: format!(
            "{:<34} {:>8} {:>8}\n",
            "ratio of learned to true cost", "median", "p90"
        ),
    };
    learning.add_row("never seen", &shapes);
    for (name, rounds) in [
        ("after 1 query a shape", 1),
        ("after 5", 4),
        ("after 30", 25),
    ] {
        learning.play_rounds(&shapes, rounds);
        learning.add_row(name, &shapes);
    }
    for (n, shape) in shapes.iter_mut().enumerate() {
        shape.cost_ms *= match n % 10 {
            0 => 100.0,
            5 => 0.01,
            _ => 1.0,
        };
    }
    let changed: Vec<ShapeCost> = shapes.iter().step_by(5).cloned().collect();
    for (name, rounds) in [
        ("changed, after 1", 1),
        ("changed, after 3", 2),
        ("changed, after 5", 2),
        ("changed, after 10", 5),
    ] {
        learning.play_rounds(&shapes, rounds);
        learning.add_row(name, &changed);
    }
    learning.table
}

/// The classes by name, as the program counts them.
pub fn class_of(name: &str) -> Class {
    Class::ALL
        .into_iter()
        .find(|class| class.name() == name)
        .unwrap_or(Class::Unknown)
}
