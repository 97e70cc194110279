//! How long a connection to an engine may idle and still be taken for alive. The other end, or what lies between, may
//! close what idles, and what then goes out is lost without a sign of whether it was read; but where every attempt
//! opens a connection of its own, a fleet opens more than it submits. How it stands is not told, so it is learned: from
//! connections that idled and were used again. No I/O, no clock.

/// What idled for less than this (ms) is trusted in any case, by anyone.
pub const LEAST: f64 = 50.0;
/// Spans of idling that are told apart, each twice as long as the one before.
const SPANS: usize = 12;
/// Evidence fades in so long (ms): a middlebox may be replaced, a reset may have been one process.
const FADES: f64 = 10_000.0;
/// What is held for known at the start, as uses and losses: trust, until it is disappointed.
const FIRST_USES: f64 = 5.0;
const FIRST_LOST: f64 = 0.25;
/// A longer idling is trusted while fewer of those used again are lost than this: each costs one more attempt of a
/// query that may be repeated, about as much as the connections that are opened otherwise.
const MAX_LOST: f64 = 0.1;

/// Fading counts, by spans of idling, of those that were used again.
#[derive(Debug, Default)]
pub struct KeepAlive {
    kept: [f64; SPANS],
    lost: [f64; SPANS],
    at: f64,
}

fn span_of(idled: f64) -> usize {
    ((idled / LEAST).max(1.0).log2() as usize).min(SPANS - 1)
}

impl KeepAlive {
    fn fade(&mut self, now: f64) {
        let fading = ((self.at - now) / FADES).min(0.0).exp();
        self.at = now.max(self.at);
        self.kept
            .iter_mut()
            .chain(&mut self.lost)
            .for_each(|count| *count *= fading);
    }

    /// One that had idled for so long (ms) was used again, and told something or was lost with what went out.
    pub fn learn(&mut self, now: f64, idled: f64, lost: bool) {
        self.fade(now);
        let counts = if lost { &mut self.lost } else { &mut self.kept };
        counts[span_of(idled)] += 1.0;
    }

    /// How long (ms) a connection may idle to be used again; at least [`LEAST`]. What was lost after a short while
    /// speaks against longer ones, what was kept after a long while for shorter ones.
    pub fn longest(&mut self, now: f64) -> f64 {
        self.fade(now);
        let (mut lost, mut kept) = (0.0, self.kept.iter().sum::<f64>());
        let mut longest = LEAST;
        for span in 0..SPANS {
            lost += self.lost[span];
            if lost + FIRST_LOST > MAX_LOST * (lost + kept + FIRST_USES) {
                return longest;
            }
            kept -= self.kept[span];
            longest *= 2.0;
        }
        f64::INFINITY
    }
}

#[cfg(test)]
mod tests;
