//! The log: standard error behind one macro, at a bounded rate.

use std::cell::Cell;
use std::time::Instant;

const LINES_A_SECOND: f64 = 20.0;
const MOST_AT_ONCE: f64 = 60.0;

/// What may still be written, when that was reckoned, and how many lines were left out since the last one.
struct Allowance {
    lines: Cell<f64>,
    at: Cell<Option<Instant>>,
    left_out: Cell<u64>,
}

thread_local! {
    static ALLOWANCE: Allowance =
        const { Allowance { lines: Cell::new(MOST_AT_ONCE), at: Cell::new(None), left_out: Cell::new(0) } };
}

/// Whether a line may be written now, and how many were left out before it.
pub fn allowed() -> Option<u64> {
    ALLOWANCE.with(|a| {
        let now = Instant::now();
        let since = a.at.replace(Some(now)).map_or(0.0, |at| (now - at).as_secs_f64());
        let lines = (a.lines.get() + since * LINES_A_SECOND).min(MOST_AT_ONCE);
        if lines < 1.0 {
            a.lines.set(lines);
            a.left_out.set(a.left_out.get() + 1);
            return None;
        }
        a.lines.set(lines - 1.0);
        Some(a.left_out.replace(0))
    })
}

#[macro_export]
macro_rules! log {
    ($($format:tt)*) => {
        if let Some(left_out) = $crate::log::allowed() {
            if left_out > 0 {
                eprintln!("tansymux: {left_out} lines left out");
            }
            eprintln!("tansymux: {}", format_args!($($format)*));
        }
    };
}

#[cfg(test)]
mod tests {
    #[test]
    fn a_flood_of_lines_is_cut_and_counted() {
        let written = (0..1000).filter(|_| super::allowed().is_some()).count();
        assert!((60..100).contains(&written), "{written}");
        super::ALLOWANCE.with(|a| assert_eq!(a.left_out.get() as usize, 1000 - written));
    }
}
