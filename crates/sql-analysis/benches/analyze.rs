//! Benchmarks of an analysis with a cached shape and with a new one: `cargo bench -p tansymux-sql-analysis`.

use tansymux_sql_analysis::{Config, StatementAnalyzer};

fn main() {
    divan::main();
}

fn statement(variant: u64) -> String {
    format!(
        "select a.lane_id, a.rate_{variant}, a.fuel, b.shipper_name, b.region, coalesce(a.note, 'none') as note from \
         sales_17.lanes a join sales_17.shippers b on a.shipper_id = b.id where a.lane_id = 81 and a.valid_from <= \
         date '2026-01-01' and a.status in (1, 2, 3) and b.region = 'NE' order by a.rate_{variant} desc limit 20"
    )
}

#[divan::bench]
fn hit(bencher: divan::Bencher) {
    let mut analyzer = StatementAnalyzer::new(Config::default(), [7; 16]);
    let text = statement(1);
    analyzer.analyze(text.as_bytes());
    bencher.bench_local(|| analyzer.analyze(divan::black_box(text.as_bytes())).shape_id);
}

#[divan::bench]
fn miss(bencher: divan::Bencher) {
    let mut analyzer = StatementAnalyzer::new(Config::default(), [7; 16]);
    let mut variant = 0;
    bencher
        .with_inputs(|| {
            variant += 1;
            statement(variant)
        })
        .bench_local_values(|text| analyzer.analyze(divan::black_box(text.as_bytes())).shape_id);
}
