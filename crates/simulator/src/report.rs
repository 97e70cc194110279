//! Tables, JSON lines, plots and a page.

use crate::compare::{mean, paired, Mean};
use crate::schema::Experiment;
use crate::world::Outcomes;
use minijinja::{context, Environment};
use std::fmt::Write as _;
use std::path::Path;
use tansymux_testbed::plot::{plot, Line};

/// What is shown of a run: a name, and how it is read.
type Figure = (&'static str, fn(&Outcomes) -> f64);

pub const FIGURES: [Figure; 11] = [
    ("value before", |o| o.value[0]),
    ("value during faults", |o| o.value[1]),
    ("value in the minute after", |o| o.value[2]),
    ("deferred (part)", |o| {
        o.deferred as f64 / o.asked.max(1) as f64
    }),
    ("late (part)", |o| o.late as f64 / o.asked.max(1) as f64),
    ("p99 of the fast lane (ms)", |o| o.p99_fast as f64),
    ("most spilled (part of the limit)", |o| o.spill),
    ("most sent to a cold engine (part of its fall)", |o| o.cold),
    ("engines that fell", |o| o.fell as f64),
    ("full service after (ms)", |o| {
        o.full_after.unwrap_or(f64::NAN)
    }),
    ("rules broken", |o| o.broken as f64),
];

fn shown(mean: Mean) -> String {
    let places = if mean.mean.abs() >= 100.0 { 0 } else { 3 };
    match (mean.count, mean.half.is_finite()) {
        (0, _) => "-".into(),
        (_, true) => format!("{:.places$} +- {:.places$}", mean.mean, mean.half),
        (_, false) => format!("{:.places$}", mean.mean),
    }
}

/// A table of all arms, and how each differs from the first, seed by seed.
pub fn table(e: &Experiment, arms: &[Vec<Outcomes>]) -> String {
    let mut text = format!(
        "{}: {} dispatchers, {} halls, {} engines, {} s, {} seeds (the lab's emulator)\n{:<46}",
        e.name(),
        e.dispatchers(),
        e.hall.len(),
        e.hall.iter().map(|zone| zone.engines()).sum::<u32>(),
        e.seconds(),
        e.seeds(),
        ""
    );
    e.arm
        .iter()
        .for_each(|arm| text += &format!("{:>22}", arm.name()));
    e.arm.iter().skip(1).for_each(|arm| {
        text += &format!("{:>22}", format!("{} - {}", arm.name(), e.arm[0].name()))
    });
    text.push('\n');
    for (name, of) in FIGURES {
        let _ = write!(text, "{name:<46}");
        for arm in arms {
            let _ = write!(text, "{:>22}", shown(mean(arm.iter().map(of))));
        }
        for arm in arms.iter().skip(1) {
            let _ = write!(text, "{:>22}", shown(paired(&arms[0], arm, of)));
        }
        text.push('\n');
    }
    let pace = mean(arms.iter().flatten().map(|o| o.pace));
    let _ = writeln!(
        text,
        "virtual seconds played in a real one, each on one core: {}",
        shown(pace)
    );
    for broken in arms
        .iter()
        .flatten()
        .filter_map(|o| Some((o, o.first_broken.as_ref()?)))
        .take(5)
    {
        let _ = writeln!(
            text,
            "broken: arm {} seed {}: {}",
            broken.0.arm, broken.0.seed, broken.1
        );
    }
    text
}

/// One JSON object a run.
pub fn lines(arms: &[Vec<Outcomes>]) -> String {
    let line = |o: &Outcomes| serde_json::to_string(o).unwrap_or_default() + "\n";
    arms.iter().flatten().map(line).collect()
}

/// Plots of one run: served value, deferrals, threads of each zone and what spilled.
///
/// # Errors
/// The file can't be written.
pub fn svg(e: &Experiment, o: &Outcomes, to: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let smooth = |of: &dyn Fn(usize) -> f64| -> Vec<(f64, f64)> {
        (0..o.samples.len())
            .map(|n| {
                let near = n.saturating_sub(3)..=n;
                let many = near.clone().count() as f64;
                (o.samples[n].at, near.map(of).sum::<f64>() / many)
            })
            .collect()
    };
    let most = o
        .samples
        .iter()
        .flat_map(|s| s.threads.iter().copied())
        .fold(1.0, f64::max);
    let mut names: Vec<String> = vec![
        "value (part of the worth asked)".into(),
        "deferred a second / 100".into(),
    ];
    let mut points = vec![
        smooth(&|n| o.samples[n].value / o.samples[n].most.max(1e-9)),
        smooth(&|n| o.samples[n].deferred as f64 * 4.0 / 100.0),
    ];
    for (n, zone) in e.hall.iter().enumerate() {
        names.push(format!("threads in {} / {most:.0}", zone.name()));
        points.push(smooth(&|s| o.samples[s].threads[n] / most));
        names.push(format!("spilled into {} / {most:.0}", zone.name()));
        points.push(smooth(&|s| o.samples[s].spilled[n] / most));
    }
    let lines: Vec<Line> = names
        .iter()
        .zip(points)
        .map(|(name, points)| Line { name, points })
        .collect();
    plot(
        to,
        &format!(
            "{}, arm {}, seed {} (the lab's emulator)",
            e.name(),
            o.arm,
            o.seed
        ),
        "s",
        &lines,
    )
}

const PAGE: &str = "<!doctype html><html lang=en><meta charset=utf-8><title>{{ name }}</title>\
<style>body{font:15px sans-serif;max-width:70em;margin:2em auto}pre{background:#f4f4f4;padding:1em;overflow:auto}</style>\
<h1>{{ name }}</h1><p>Figures of the lab's emulator round the real decisions. Intervals hold the mean in 95 of 100 \
cases; differences are taken seed by seed.</p><pre>{{ table }}</pre>{% for svg in plots %}<p>{{ svg|safe }}</p>\
{% endfor %}<h2>The experiment</h2><pre>{{ text }}</pre></html>";

/// One page with table, plots and the experiment itself.
///
/// # Errors
/// The template can't be filled.
pub fn page(
    e: &Experiment,
    text: &str,
    table: &str,
    plots: &[String],
) -> Result<String, minijinja::Error> {
    let mut environment = Environment::new();
    environment.set_auto_escape_callback(|_| minijinja::AutoEscape::Html);
    environment.render_str(PAGE, context! { name => e.name(), table, text, plots })
}
