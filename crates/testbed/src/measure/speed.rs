//! Measures the hit rate of the analyzer's cache, and the analysis time of hits and misses.

use super::analyzer;
use hdrhistogram::Histogram;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Zipf};
use rand_pcg::Pcg64;
use std::fmt::Write as _;
use std::hint::black_box;
use std::time::Instant;
use tansymux_sql_analysis::StatementAnalyzer;

/// Returns a statement of about 300 bytes. Statements with the same `shape` differ only in their literals.
fn typical_statement(shape: usize, rng: &mut Pcg64) -> String {
    format!(
        "select a.lane_id, a.rate_{shape}, a.fuel, b.shipper_name, b.region, coalesce(a.note, '{:x}') as note from \
         sales_{}.lanes a join sales_{}.shippers b on a.shipper_id = b.id where a.lane_id = {} and a.valid_from <= \
         date '2026-0{}-01' and a.status in ({}, {}, {}) and b.region = 'NE{:x}' order by a.rate_{shape} desc limit {}",
        rng.random::<u32>(),
        shape % 40,
        shape % 40,
        rng.random_range(0..1_000_000),
        rng.random_range(1..10),
        rng.random_range(0..9),
        rng.random_range(0..9),
        rng.random_range(0..9),
        rng.random::<u16>(),
        rng.random_range(1..100),
    )
}

/// Traffic of a hit rate measurement.
struct Traffic {
    name: &'static str,
    /// Number of recurring shapes; their popularity follows Zipf's law.
    shapes: usize,
    /// Statements of one-off shapes after each statement of a recurring shape.
    one_off_statements: usize,
}

/// Traffic of each row in the table of hit rates.
const TRAFFIC_KINDS: [Traffic; 4] = [
    Traffic {
        name: "2,000 shapes",
        shapes: 2000,
        one_off_statements: 0,
    },
    Traffic {
        name: "2,000 + 1 one-off",
        shapes: 2000,
        one_off_statements: 1,
    },
    Traffic {
        name: "2,000 + 4 one-off",
        shapes: 2000,
        one_off_statements: 4,
    },
    Traffic {
        name: "20,000 shapes",
        shapes: 20_000,
        one_off_statements: 0,
    },
];

/// Returns a table of hit rates on shapes whose popularity follows Zipf's law, with and without one-off shapes between
/// them. Runs evict different shapes, so the last digits of the rates differ from run to run.
pub fn cache_table(statement_count: usize, seed: u64) -> String {
    let mut table = format!(
        "{:<22} {:>7} {:>9} {:>9} {:>9} {:>9}\n",
        "traffic", "hits", "shapes", "kB", "costs", "RSS kB"
    );
    for traffic in &TRAFFIC_KINDS {
        let mut analyzer = analyzer();
        let hit_rate = hit_rate(&mut analyzer, traffic, statement_count, seed);
        let counts = analyzer.counts();
        let resident_kb =
            crate::program::resource_usage(std::process::id()).map_or(0, |(kb, _)| kb);
        let _ = writeln!(
            table,
            "{:<22} {hit_rate:>7.4} {:>9} {:>9} {:>9} {resident_kb:>9}",
            traffic.name,
            counts.shapes,
            counts.bytes / 1024,
            counts.learned_costs
        );
    }
    table
}

/// Returns the fraction of `statement_count` statements of recurring shapes that hit the cache. The first tenth fills
/// the cache and isn't counted.
fn hit_rate(
    analyzer: &mut StatementAnalyzer,
    traffic: &Traffic,
    statement_count: usize,
    seed: u64,
) -> f64 {
    let mut rng = Pcg64::seed_from_u64(seed);
    let popularity =
        Zipf::new(traffic.shapes as f64, 1.0).expect("the number of shapes is positive");
    let mut hits = 0;
    let mut counted = 0;
    let mut one_off_shape = 0_u64;
    for index in 0..statement_count {
        let shape = popularity.sample(&mut rng) as usize;
        let text = typical_statement(shape, &mut rng);
        let is_hit = analyzer.analyze(text.as_bytes()).is_cache_hit;
        if index >= statement_count / 10 {
            counted += 1;
            hits += usize::from(is_hit);
        }
        for _ in 0..traffic.one_off_statements {
            one_off_shape += 1;
            analyzer.analyze(format!("select f{one_off_shape} from flood where a = 1").as_bytes());
        }
    }
    hits as f64 / counted.max(1) as f64
}

fn nanosecond_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 1_000_000_000, 3).expect("the bounds are in order")
}

/// Returns a table of the analysis times of hits and misses, for statements of about 300 bytes, and the parse
/// throughput of one core.
pub fn time_table(statement_count: usize, seed: u64) -> String {
    let mut rng = Pcg64::seed_from_u64(seed);
    let mut analyzer = analyzer();
    let texts: Vec<String> = (0..statement_count)
        .map(|index| typical_statement(index % 64, &mut rng))
        .collect();
    let mean_bytes = texts.iter().map(String::len).sum::<usize>() as f64 / statement_count as f64;
    let hits = time_hits(&mut analyzer, &texts);
    let uncached_texts: Vec<String> = (0..statement_count / 10)
        .map(|index| typical_statement(1000 + index, &mut rng))
        .collect();
    let start = Instant::now();
    let misses = time_misses(&mut analyzer, &uncached_texts);
    let uncached_bytes = uncached_texts.iter().map(String::len).sum::<usize>() as f64;
    let throughput_mb_per_s = uncached_bytes / start.elapsed().as_secs_f64() / 1e6;
    let mut table = format!(
        "statements of {mean_bytes:.0} bytes\n{:<6} {:>10} {:>10} {:>10}\n",
        "", "p50 us", "p99 us", "count"
    );
    for (name, histogram) in [("hit", &hits), ("miss", &misses)] {
        let quantile_us = |quantile| histogram.value_at_quantile(quantile) as f64 / 1000.0;
        let _ = writeln!(
            table,
            "{name:<6} {:>10.2} {:>10.2} {:>10}",
            quantile_us(0.5),
            quantile_us(0.99),
            histogram.len()
        );
    }
    let _ = writeln!(
        table,
        "parsed {throughput_mb_per_s:.2} MB/s, {:.0} statements/s on one core",
        throughput_mb_per_s * 1e6 / mean_bytes
    );
    table
}

/// Analyzes all texts. Returns the times of the analyses that hit the cache (ns).
fn time_hits(analyzer: &mut StatementAnalyzer, texts: &[String]) -> Histogram<u64> {
    let mut histogram = nanosecond_histogram();
    for text in texts {
        let start = Instant::now();
        let analyzed = black_box(analyzer.analyze(black_box(text.as_bytes())));
        let elapsed_ns = start.elapsed().as_nanos() as u64;
        if analyzed.is_cache_hit {
            // Times above the histogram's upper bound of 1 s are not recorded.
            let _ = histogram.record(elapsed_ns);
        }
    }
    histogram
}

/// Analyzes texts that all miss the cache. Returns the times of the analyses (ns).
fn time_misses(analyzer: &mut StatementAnalyzer, texts: &[String]) -> Histogram<u64> {
    let mut histogram = nanosecond_histogram();
    for text in texts {
        let start = Instant::now();
        black_box(analyzer.analyze(black_box(text.as_bytes())));
        let _ = histogram.record(start.elapsed().as_nanos() as u64);
    }
    histogram
}
