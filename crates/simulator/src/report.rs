//! Reports on an experiment: table, JSON lines, plots and an HTML page.

use crate::compare::{mean, paired_difference, Mean};
use crate::schema::Experiment;
use crate::simulation::{Outcomes, Sample};
use minijinja::{context, Environment};
use std::fmt::Write as _;
use std::path::Path;
use tansymux_testbed::plot::{plot, Line};

/// Maximum number of violations that a table shows.
const MAX_SHOWN_VIOLATIONS: usize = 5;
/// Number of samples in the moving average of a plot's lines.
const SMOOTHING_WINDOW: usize = 4;
/// Samples per second in a run.
const SAMPLES_PER_S: f64 = 4.0;

/// The points of a plotted line: time (s) and value.
type Points = Vec<(f64, f64)>;

/// A row of the table: its name, and its value in a run's outcomes.
pub type Figure = (&'static str, fn(&Outcomes) -> f64);

fn fraction_of_queries(outcomes: &Outcomes, count: u64) -> f64 {
    count as f64 / outcomes.asked.max(1) as f64
}

/// The rows of the table.
pub const FIGURES: [Figure; 11] = [
    ("value before", |run| run.value[0]),
    ("value during faults", |run| run.value[1]),
    ("value in the minute after", |run| run.value[2]),
    ("rejected (fraction)", |run| {
        fraction_of_queries(run, run.rejected)
    }),
    ("late (fraction)", |run| fraction_of_queries(run, run.late)),
    ("p99 of the fast lane (ms)", |run| run.fast_p99_ms as f64),
    ("max spilled (fraction of the limit)", |run| run.max_spill),
    ("max load of a warming engine (of its limit)", |run| {
        run.max_cold_load
    }),
    ("engine failures under load", |run| {
        run.engine_failures as f64
    }),
    ("full service after (ms)", |run| {
        run.full_service_after_ms.unwrap_or(f64::NAN)
    }),
    ("rule violations", |run| run.violations as f64),
];

fn format_mean(mean: Mean) -> String {
    let places = if mean.mean.abs() >= 100.0 { 0 } else { 3 };
    if mean.count == 0 {
        "-".into()
    } else if mean.half_width.is_finite() {
        format!("{:.places$} +- {:.places$}", mean.mean, mean.half_width)
    } else {
        format!("{:.places$}", mean.mean)
    }
}

/// The table of all variants: the mean of each figure, and its mean difference from the first variant, paired by seed.
pub fn table(experiment: &Experiment, runs: &[Vec<Outcomes>]) -> String {
    let mut text = heading(experiment);
    for (name, figure) in FIGURES {
        let _ = write!(text, "{name:<46}");
        for variant in runs {
            let _ = write!(
                text,
                "{:>22}",
                format_mean(mean(variant.iter().map(figure)))
            );
        }
        for variant in runs.iter().skip(1) {
            let _ = write!(
                text,
                "{:>22}",
                format_mean(paired_difference(&runs[0], variant, figure))
            );
        }
        text.push('\n');
    }
    let speed = mean(runs.iter().flatten().map(|run| run.virtual_s_per_s));
    let _ = writeln!(
        text,
        "simulated seconds per real second, one core per run: {}",
        format_mean(speed)
    );
    text += &violations(runs);
    text
}

/// One line with the first violation of a run, for at most [`MAX_SHOWN_VIOLATIONS`] runs.
fn violations(runs: &[Vec<Outcomes>]) -> String {
    let mut text = String::new();
    let mut shown = 0;
    for run in runs.iter().flatten() {
        if let Some(violation) = run
            .first_violation
            .as_ref()
            .filter(|_| shown < MAX_SHOWN_VIOLATIONS)
        {
            shown += 1;
            let _ = writeln!(
                text,
                "violation: arm {} seed {}: {violation}",
                run.variant, run.seed
            );
        }
    }
    text
}

/// The experiment's parameters and the column names.
fn heading(experiment: &Experiment) -> String {
    let mut text = format!(
        "{}: {} dispatchers, {} zones, {} engines, {} s, {} seeds (simulated)\n{:<46}",
        experiment.name(),
        experiment.dispatchers(),
        experiment.hall.len(),
        experiment
            .hall
            .iter()
            .map(|zone| zone.engines())
            .sum::<u32>(),
        experiment.seconds(),
        experiment.seeds(),
        ""
    );
    for arm in &experiment.arm {
        let _ = write!(text, "{:>22}", arm.name());
    }
    let base = experiment.arm[0].name();
    for arm in experiment.arm.iter().skip(1) {
        let _ = write!(text, "{:>22}", format!("{} - {base}", arm.name()));
    }
    text.push('\n');
    text
}

/// One JSON object per run and line.
pub fn json_lines(runs: &[Vec<Outcomes>]) -> String {
    runs.iter()
        .flatten()
        .map(|run| serde_json::to_string(run).unwrap_or_default() + "\n")
        .collect()
}

/// The moving average of a figure, with the time of each sample.
fn smoothed(samples: &[Sample], figure: impl Fn(&Sample) -> f64) -> Points {
    (0..samples.len())
        .map(|last| {
            let window = &samples[last.saturating_sub(SMOOTHING_WINDOW - 1)..=last];
            let sum: f64 = window.iter().map(&figure).sum();
            (samples[last].at_s, sum / window.len() as f64)
        })
        .collect()
}

/// Plots one run: value of answers, rejections, and threads and spilled threads per zone.
///
/// # Errors
/// The file cannot be written.
pub fn write_svg(
    experiment: &Experiment,
    run: &Outcomes,
    path: &Path,
) -> Result<(), Box<dyn std::error::Error>> {
    let named_points = plotted_figures(experiment, &run.samples);
    let lines: Vec<Line> = named_points
        .iter()
        .map(|(name, points)| Line {
            name,
            points: points.clone(),
        })
        .collect();
    let title = format!(
        "{}, arm {}, seed {} (simulated)",
        experiment.name(),
        run.variant,
        run.seed
    );
    plot(path, &title, "s", &lines)
}

/// The names and points of the lines in a run's plot.
fn plotted_figures(experiment: &Experiment, samples: &[Sample]) -> Vec<(String, Points)> {
    let max_threads = samples
        .iter()
        .flat_map(|sample| sample.threads.iter().copied())
        .fold(1.0, f64::max);
    let mut named_points: Vec<(String, Points)> = vec![
        (
            "value (fraction of the maximum)".into(),
            smoothed(samples, |sample| sample.value / sample.max_value.max(1e-9)),
        ),
        (
            "rejected per second / 100".into(),
            smoothed(samples, |sample| {
                sample.rejected as f64 * SAMPLES_PER_S / 100.0
            }),
        ),
    ];
    for (index, zone) in experiment.hall.iter().enumerate() {
        named_points.push((
            format!("threads in {} / {max_threads:.0}", zone.name()),
            smoothed(samples, |sample| sample.threads[index] / max_threads),
        ));
        named_points.push((
            format!("spilled into {} / {max_threads:.0}", zone.name()),
            smoothed(samples, |sample| sample.spilled[index] / max_threads),
        ));
    }
    named_points
}

/// The template of the page with an experiment's results.
const PAGE: &str = "<!doctype html><html lang=en><meta charset=utf-8><title>{{ name }}</title>\
<style>body{font:15px sans-serif;max-width:70em;margin:2em auto}pre{background:#f4f4f4;padding:1em;overflow:auto}</style>\
<h1>{{ name }}</h1><p>Figures of a simulation around the real admission controller. Intervals are 95% confidence \
intervals; differences are paired by seed.</p><pre>{{ table }}</pre>{% for svg in plots %}<p>{{ svg|safe }}</p>\
{% endfor %}<h2>The experiment</h2><pre>{{ text }}</pre></html>";

/// The HTML page with table, plots and the text of the experiment.
///
/// # Errors
/// The template cannot be rendered.
pub fn html_page(
    experiment: &Experiment,
    text: &str,
    table: &str,
    plots: &[String],
) -> Result<String, minijinja::Error> {
    let mut environment = Environment::new();
    environment.set_auto_escape_callback(|_| minijinja::AutoEscape::Html);
    environment.render_str(
        PAGE,
        context! { name => experiment.name(), table, text, plots },
    )
}
